package dispatch

import "time"

// Leavers takes which engines leave.
type Leavers interface {
	// Leaves takes that an engine said in an answer that it leaves.
	Leaves(now time.Time, engine string)
}

// WithLeavers has a dispatcher tell which engines say that they leave.
func WithLeavers(l Leavers) Option {
	return func(d *Dispatcher) { d.leavers = l }
}
