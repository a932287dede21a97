// Package pause waits for a time that the end of a context cuts short.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and reports whether the context still goes on.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// ForOrWake waits for a duration, which the end of a context and a wake-up cut short. A nil channel never wakes.
func ForOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
