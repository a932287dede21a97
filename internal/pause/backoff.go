package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call to the platform's store,
	// which answers within about 10 ms and has outages of some seconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Backoff is an exponential backoff that doubles with each consecutive failure. The zero value
// is ready for use.
type Backoff struct{ next time.Duration }

// Reset restarts the backoff at its minimum; call it after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Wait waits for the jittered delay after a failure.
func (b *Backoff) Wait(ctx context.Context) { Jittered(ctx, b.step()) }

// step returns the current delay before jitter and doubles the next one.
func (b *Backoff) step() time.Duration {
	d := max(b.next, minBackoff)
	b.next = min(2*d, maxBackoff)
	return d
}

// Jittered waits for a random duration between half the mean and one and a half times the mean,
// so that nodes which start together do not call together.
func Jittered(ctx context.Context, mean time.Duration) { For(ctx, mean/2+rand.N(mean)) }
