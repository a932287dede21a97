package dispatch

import "time"

// noLimit is logged for an answer without a rate limit.
const noLimit = -1

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
	if x.d.leaveObserver != nil && resp.Leaving {
		x.d.leaveObserver.Leaves(now, engine, x.choice.Engine.Incarnation)
	}
	if x.d.permits != nil {
		x.d.permits.Answered(now, x.sentAt, engine, resp.Limit, resp.Limited)
	}
}
