package dispatch

import (
	"context"
	"time"
)

// LeavingObserver records metrics about requests that interactive pools send to engines which leave.
type LeavingObserver interface {
	SentToLeaving(pool string)
	CutOffByLeaving(pool string)
}

// WithLeavingObserver counts requests to leaving engines.
func WithLeavingObserver(o LeavingObserver) Option {
	return func(d *Dispatcher) { d.leavingObserver = o }
}

// noteLeaving records before each attempt whether its engine is leaving. until is when the engine's use
// ends; zero if it is not leaving.
func (x *exchange) noteLeaving(now, until time.Time) {
	x.sendBefore, x.leavingFor, x.events = until, 0, 0
	if until.IsZero() {
		return
	}
	x.leavingFor = until.Sub(now)
	if o := x.d.leavingObserver; o != nil {
		o.SentToLeaving(x.pool)
	}
}

// leftEarly handles an attempt that a leaving engine broke off: the engine has most likely left before
// its time, and gets no further requests of this node.
func (x *exchange) leftEarly(ctx context.Context, notSent bool) {
	if x.sendBefore.IsZero() || ctx.Err() != nil {
		return
	}
	x.d.placement.DrainIncarnation(x.choice.Engine)
	if o := x.d.leavingObserver; o != nil && !notSent {
		o.CutOffByLeaving(x.pool)
	}
}

// stopLeaving ends the use of a leaving engine that rejected the request, unless it asked for a backoff.
func (x *exchange) stopLeaving(resp *Response) {
	if !x.sendBefore.IsZero() && resp.BackOff == 0 {
		x.d.placement.DrainIncarnation(x.choice.Engine)
	}
}
