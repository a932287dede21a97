package duty

import (
	"time"

	"github.com/croftturn/croftturn/internal/scaling"
	"github.com/croftturn/croftturn/internal/usage"
)

// Status is the state shown to operators. Only the holder knows the windows and orders.
type Status struct {
	Holder          Holder
	PreviousHolders []string // PreviousHolders are the former holders, the newest last, as last read by this node.
	Windows         []usage.Window
	Orders          []scaling.Order
	Need            map[string]int // Need is, by pool, how many engines the load requires.
}

// Replacements returns, by interactive pool, how many on-demand engines are ordered in place of spot engines. Only the holder
// knows.
func (d *Duties) Replacements(now time.Time) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int{}
	if _, ok := d.activeTerm(now); ok {
		for pool, s := range d.scalers {
			if n, ok := s.Replacements(); ok {
				out[pool] = n
			}
		}
	}
	return out
}

// Status returns the state shown to operators.
func (d *Duties) Status(now time.Time) Status {
	out := Status{Holder: d.Holder(now), Need: map[string]int{}}
	out.Windows, _ = d.ledger.RecentWindows()
	d.mu.Lock()
	defer d.mu.Unlock()
	out.PreviousHolders = d.lease.Record().Recent
	for pool, s := range d.scalers {
		out.Orders = append(out.Orders, s.Orders()...)
		out.Need[pool] = s.Need(now)
	}
	return out
}
