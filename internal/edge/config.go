package edge

import (
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/routing"
	"github.com/croftturn/croftturn/platform"
)

// takeConfig puts changes of the operators in force; it is a feed.Consumer. Evacuations go before a
// configuration: no request is taken by a node that starts before it knows of them.
func (e *Edge) takeConfig(now time.Time, rows []feed.Row) {
	begin := clock.Now()
	e.evacuations.Apply(now, platform.Evacuations(rows))
	table, err := platform.Config(rows)
	if err != nil {
		e.configsRefused.Add(1)
		e.log.Error("configuration not understood; the one before stays in force", "in_force", e.dispatcher.Version(), "error", err.Error())
		return
	}
	if table == nil {
		return
	}
	for _, p := range table.Pools() {
		e.placement.SetColdLimit(p.Name, e.coldLimit(p))
	}
	before := e.dispatcher.Version()
	taken := e.dispatcher.SetTable(table)
	e.log.Info("configuration", "version", table.Version, "before", before, "taken", taken, "ms", clock.Since(begin).Milliseconds())
}

// coldLimit returns how many requests an engine of a pool may get in any second while it is cold, from all nodes together; 0
// for any number.
func (e *Edge) coldLimit(p *routing.Pool) float64 {
	if p.ColdRate <= 0 {
		return 0
	}
	return p.ColdRate*e.settings.ColdOverage + e.settings.ColdSlack
}
