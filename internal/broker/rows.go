package broker

import (
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

// Waiting returns the waiting requests as rows.
func (p *Pool) Waiting(now time.Time) []wire.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []wire.Row
	for _, it := range p.queue.Items() {
		out = append(out, wire.Row{
			Name: it.ID, State: "queued", Class: it.Class, Tier: p.classes[it.Class].Tier, Team: it.Team,
			Pool: p.name, AgeMs: int(now.Sub(it.Arrived).Milliseconds()),
		})
	}
	return out
}

// Engines returns the engines as rows; Count is how many requests each has.
func (p *Pool) Engines() []wire.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []wire.Row
	for _, e := range p.order {
		row := wire.Row{Name: e.Name, Engine: e.Name, Pool: p.name, State: "active", Count: e.inFlight}
		switch {
		case e.Draining || e.leaving:
			row.State = "draining"
		case e.failures > 0:
			row.State = "failed"
		case e.slotFraction < 1:
			row.State = "slow"
		}
		row.Reason = fmt.Sprintf("limit %d, %d tokens, %.1f ms a token", e.limit(), e.tokens, float64(e.timePerToken.Microseconds())/1000)
		out = append(out, row)
	}
	return out
}
