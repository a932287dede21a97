package dispatch

import "time"

// noLimit stands in the log for an answer that named no limit.
const noLimit = -1

// Leavers takes which engines leave.
type Leavers interface {
	// Leaves takes that an incarnation of an engine said in an answer that it leaves.
	Leaves(now time.Time, engine string, born int64)
}

// WithLeavers has a dispatcher tell which engines say that they leave.
func WithLeavers(l Leavers) Option {
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
		w.d.placement.BackOff(now, engine, resp.Rest)
	}
	if w.d.leavers != nil && resp.Leaving {
		w.d.leavers.Leaves(now, engine, w.choice.Engine.Incarnation)
	}
	if w.d.permits != nil {
		w.d.permits.Answered(now, w.sentAt, engine, resp.Limit, resp.Limited)
	}
}
