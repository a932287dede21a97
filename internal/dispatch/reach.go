package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/reach"
)

// WithReach makes a dispatcher report to a monitor which engines respond.
func WithReach(m *reach.Monitor) Option {
	return func(d *Dispatcher) { d.reach = m }
}

// reachOf returns the connectivity to the engines of a pool, nil if it is not monitored.
func (d *Dispatcher) reachOf(pool string) *reach.Pool {
	if d.reach == nil {
		return nil
	}
	return d.reach.Pool(pool)
}

// watchSilence returns a timer that reports the pool as suspect if no engine of it responds to this node
// for some time.
func (x *exchange) watchSilence(now time.Time) *time.Timer {
	if x.reach == nil {
		return time.NewTimer(reach.Silence)
	}
	return time.AfterFunc(reach.Silence, func() { x.reach.CheckSilence(clock.Now(), now) })
}

// noteHeard records that the engine sent something.
func (x *exchange) noteHeard(now time.Time) {
	if x.reach != nil {
		x.reach.Heard(now)
	}
}

// noteLinkFailure records that the connection to the engine failed, or could not be opened, unless this
// node ended the attempt.
func (x *exchange) noteLinkFailure(ctx context.Context, now time.Time, connected bool) {
	switch {
	case x.reach == nil || context.Cause(ctx) != nil:
	case connected:
		x.reach.Suspect(now)
	default:
		x.reach.ConnectFailed(now, x.choice.Engine.ID)
	}
}
