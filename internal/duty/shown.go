package duty

import (
	"time"

	"github.com/croftturn/croftturn/internal/scaling"
	"github.com/croftturn/croftturn/internal/usage"
)

// Shown is what operators are shown. Windows and orders are known at the holder alone.
type Shown struct {
	Holder  Holder
	Before  []string // Before are the holders before, the newest last, as this node last read them.
	Windows []usage.Window
	Orders  []scaling.Order
	Need    map[string]int // Need is, by pool, how many engines the load needs.
}

// Shown returns what operators are shown.
func (d *Duties) Shown(now time.Time) Shown {
	out := Shown{Holder: d.Holder(now), Need: map[string]int{}}
	out.Windows, _ = d.ledger.Shown()
	d.mu.Lock()
	defer d.mu.Unlock()
	out.Before = d.lease.Record().Recent
	for pool, s := range d.scalers {
		out.Orders = append(out.Orders, s.Orders()...)
		out.Need[pool] = s.Need(now)
	}
	return out
}
