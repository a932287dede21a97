package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// startWait bounds how long a request waits at a node that has just started until the node can
	// serve; so does startWaitShare, a share of the time that the caller waits. A start takes about
	// a tenth of a second, and callers that return after a power failure have one attempt left.
	startWait      = 500 * time.Millisecond
	startWaitShare = 0.25

	// startPollInterval is how often a request checks whether the node has started.
	startPollInterval = 5 * time.Millisecond
)

// AwaitStart waits, within bounds, until a node that has just started can serve. It never waits at
// a node that has been able to serve before.
func (d *Dispatcher) AwaitStart(ctx context.Context, arrived time.Time, r *Request) {
	limit := startWait
	if r.Patience > 0 {
		limit = min(limit, time.Duration(startWaitShare*float64(r.Patience)))
	}
	for now := arrived; !d.hasStarted(now) && d.Ready(now) != Stopping && now.Sub(arrived) < limit && ctx.Err() == nil; now = clock.Now() {
		pause.For(ctx, startPollInterval)
	}
}

// hasStarted reports whether this node can serve or once could.
func (d *Dispatcher) hasStarted(now time.Time) bool {
	if !d.started.Load() && d.Ready(now) == "" && d.placement.HasEngines() {
		d.started.Store(true)
	}
	return d.started.Load()
}
