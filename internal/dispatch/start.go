package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// startWait bounds how long a request waits at a node that has just started until
	// it can be served, as does startShare of the time that the caller waits. A start
	// takes about a tenth of a second, and callers that come back after a loss of power
	// have one try left.
	startWait  = 500 * time.Millisecond
	startShare = 0.25

	// startPoll is how often a node looks whether its start is done.
	startPoll = 5 * time.Millisecond
)

// AwaitStart waits until a node that has just started can serve, within bounds; it
// never waits at one that could serve before.
func (d *Dispatcher) AwaitStart(ctx context.Context, arrived time.Time, r *Request) {
	limit := startWait
	if r.Patience > 0 {
		limit = min(limit, time.Duration(startShare*float64(r.Patience)))
	}
	for now := arrived; !d.hasStarted(now) && d.Ready(now) != Stopping && now.Sub(arrived) < limit && ctx.Err() == nil; now = clock.Now() {
		pause.For(ctx, startPoll)
	}
}

// hasStarted reports whether this node is able to serve, or was once.
func (d *Dispatcher) hasStarted(now time.Time) bool {
	if !d.started.Load() && d.Ready(now) == "" && d.placement.HasEngines() {
		d.started.Store(true)
	}
	return d.started.Load()
}
