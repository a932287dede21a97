package dispatch

import "time"

// noLimit stands in the log for an answer that named no limit.
const noLimit = -1

// LeaveObserver takes which engines leave.
type LeaveObserver interface {
	// Leaves takes that an incarnation of an engine said in an answer that it leaves.
	Leaves(now time.Time, engine string, born int64)
}

// WithLeaveObserver has a dispatcher tell which engines say that they leave.
func WithLeaveObserver(l LeaveObserver) Option {
	return func(d *Dispatcher) { d.leavers = l }
}

// noteSaid takes what an engine says of itself in the head of an answer, whatever becomes of the request.
func (w *walk) noteSaid(now time.Time, resp *Response) {
	engine := w.choice.Engine.ID
	w.limit = noLimit
	if resp.Limited {
		w.limit = resp.Limit
	}
	if resp.Rest > 0 {
		w.d.log.Info("engine rests", "request", w.req.ID, "engine", engine, "rest_ms", resp.Rest.Milliseconds(), "status", resp.Status, "not_run", resp.NotRun)
		w.d.placement.Rest(now, engine, resp.Rest)
	}
	if w.d.leavers != nil && resp.Leaving {
		w.d.leavers.Leaves(now, engine, w.choice.Engine.Born)
	}
	if w.d.permits != nil {
		w.d.permits.Answered(now, w.sentAt, engine, resp.Limit, resp.Limited)
	}
}
