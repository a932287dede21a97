package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// linkWaitPart is the inverse of the share of its time left for which a request that was tried before waits for
	// the link.
	linkWaitPart = 4

	// baseHeadBytes is about what the head of a request takes besides the headers of its caller.
	baseHeadBytes = 300
)

// Link is this machine's link to the network, whose queue is kept short.
type Link interface {
	// Await waits until the link may take a request of a tier, and counts its bytes. It returns false where this
	// takes too long, and when the context ends.
	Await(ctx context.Context, now time.Time, tier, bytes int, longest time.Duration) bool

	// Queue returns how long the link takes for what is queued in it.
	Queue(now time.Time) time.Duration
}

// WithLink makes requests wait while the link is full, where they can still be withheld.
func WithLink(l Link) Option {
	return func(d *Dispatcher) { d.link = l }
}

// awaitLink waits until the link may take the request, or returns a refusal: other nodes have links of their own.
func (x *exchange) awaitLink(ctx context.Context) *Refusal {
	if x.d.link == nil {
		return nil
	}
	now := clock.Now()
	x.linkQueue = x.d.link.Queue(now)
	ok := x.d.link.Await(ctx, now, x.tier(), x.sendBytes(), x.linkWaitLimit(now))
	x.linkWait = clock.Since(now)
	switch {
	case x.callerLeft(ctx):
		return &Refusal{Reason: x.unlessMayHaveRun(CallerLeft)}
	case !ok:
		return &Refusal{Reason: x.unlessMayHaveRun(Busy), RetryAfter: shortRetryAfter}
	}
	return nil
}

// linkWaitLimit returns how long the request may wait for the link.
func (x *exchange) linkWaitLimit(now time.Time) time.Duration {
	left := x.deadline.Sub(now)
	switch {
	case x.sent > 0 || x.unreachable > 0:
		return left / linkWaitPart
	case x.route.Target > 0:
		return min(left, time.Duration(queueWaitShare*float64(x.route.Target))-now.Sub(x.arrived))
	}
	return min(left, time.Duration(permitWaitShare*float64(x.deadline.Sub(x.arrived))))
}

// sendBytes returns about how many bytes the request takes.
func (x *exchange) sendBytes() int {
	n := baseHeadBytes + len(x.req.Target) + len(x.req.Body)
	for name, values := range x.req.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
