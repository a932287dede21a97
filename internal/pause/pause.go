// Package pause provides waits that end early when a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns false if the context ended first.
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

// ForOrWake waits for a duration, the end of the context or a wake-up, whichever comes first. A
// nil channel never wakes it.
func ForOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
