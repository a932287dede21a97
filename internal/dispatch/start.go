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

	// versionWait bounds how long a forwarded request waits for the configuration that its first node knows. A node that was
	// suspended has it a few milliseconds after it has woken.
	versionWait = 100 * time.Millisecond

	// startPollInterval is how often a request checks whether the node has started, or has a configuration.
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

// AwaitVersion waits, within bounds, until this node knows a version of the configuration, and reports whether it does.
func (d *Dispatcher) AwaitVersion(ctx context.Context, now time.Time, version int) bool {
	for begun := now; d.Version() < version && now.Sub(begun) < versionWait && ctx.Err() == nil; now = clock.Now() {
		pause.For(ctx, startPollInterval)
	}
	return d.Version() >= version
}

// hasStarted reports whether this node can serve or once could.
func (d *Dispatcher) hasStarted(now time.Time) bool {
	if !d.started.Load() && d.Ready(now) == "" && d.placement.HasEngines() {
		d.started.Store(true)
	}
	return d.started.Load()
}
