package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/reach"
)

// WithReach makes a dispatcher report what it sees of its way to engines.
func WithReach(m *reach.Monitor) Option {
	return func(d *Dispatcher) { d.reach = m }
}

// reachOf returns what this node knows of its way to the engines of a pool, nil if that is not watched.
func (d *Dispatcher) reachOf(pool string) *reach.Pool {
	if d.reach == nil {
		return nil
	}
	return d.reach.Pool(pool)
}

// watchSilence suspects the way to the engines if the current attempt and all other requests of the
// pool get no sign of an engine for some time.
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

// noteUnheard records that an attempt failed on its way to the engine or back, unless this node ended it.
func (x *exchange) noteUnheard(ctx context.Context, now time.Time, connected bool) {
	switch {
	case x.reach == nil || context.Cause(ctx) != nil:
	case connected:
		x.reach.Suspect(now)
	default:
		x.reach.ConnectFailed(now, x.choice.Engine.ID)
	}
}
