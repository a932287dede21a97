package dispatch

import "time"

const (
	// noLimit is logged for an answer without a rate limit.
	noLimit = -1

	// brittleBackoff is how long a node sends nothing to a brittle engine that rejected a request.
	brittleBackoff = time.Second
)

// LeaveObserver is notified of engines that leave.
type LeaveObserver interface {
	// Leaves records that an incarnation of an engine announced in an answer that it leaves.
	Leaves(now time.Time, engine string, incarnation int64)
}

// WithLeaveObserver makes a dispatcher report engines that announce that they leave.
func WithLeaveObserver(l LeaveObserver) Option {
	return func(d *Dispatcher) { d.leaveObserver = l }
}

// recordSignals records what an engine says about itself in the head of an answer, whatever happens
// to the request.
func (x *exchange) recordSignals(now time.Time, resp *Response) {
	engine := x.choice.Engine.ID
	x.engineLimit = noLimit
	if resp.Limited {
		x.engineLimit = resp.Limit
	}
	if resp.BackOff > 0 {
		x.d.log.Info("engine asked to back off", "request", x.req.ID, "engine", engine, "rest_ms", resp.BackOff.Milliseconds(), "status", resp.Status, "not_run", resp.NotRun)
		x.d.placement.BackOff(now, engine, resp.BackOff)
	}
	if x.d.placement.NoteBrittle(now, x.pool, resp.Brittle) {
		x.d.log.Info("engines of a pool changed between brittle and sound", "pool", x.pool, "brittle", resp.Brittle, "request", x.req.ID, "engine", engine)
	}
	if resp.Brittle && resp.NotRun {
		x.d.placement.BackOff(now, engine, brittleBackoff)
	}
	if x.d.leaveObserver != nil && resp.Leaving {
		x.d.leaveObserver.Leaves(now, engine, x.choice.Engine.Incarnation)
	}
	if x.d.permits != nil {
		x.d.permits.Answered(now, x.sentAt, engine, resp.Limit, resp.Limited)
	}
}
