package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and backoffMost bound the pause after a failed call to the platform's
	// store, which answers within some 10 ms and is away for seconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Backoff is the pause after failures in a row. It doubles with each of them. The zero
// value is ready for use.
type Backoff struct{ next time.Duration }

// Reset makes the next pause the first one again; it is called after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Wait pauses after a failure.
func (b *Backoff) Wait(ctx context.Context) { Jittered(ctx, b.step()) }

// step returns the usual length of the present pause and doubles the next.
func (b *Backoff) step() time.Duration {
	d := max(b.next, minBackoff)
	b.next = min(2*d, maxBackoff)
	return d
}

// Jittered pauses for a duration drawn by chance between half of it and half as long
// again, so that nodes which start together do not call together.
func Jittered(ctx context.Context, mean time.Duration) { For(ctx, mean/2+rand.N(mean)) }
