package edge

import (
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/routing"
	"github.com/croftturn/croftturn/platform"
)

// applyConfig applies changes to the operators' table; it is a feed.Consumer. Evacuations are
// applied before the configuration, so that a starting node accepts no request before it knows of
// them.
func (e *Edge) applyConfig(now time.Time, rows []feed.Row) {
	begin := clock.Now()
	e.evacuations.Apply(now, platform.EvacuationChanges(rows))
	table, err := platform.LatestConfig(rows)
	if err != nil {
		e.configsRefused.Add(1)
		e.log.Error("configuration rejected; the previous one stays in force", "in_force", e.dispatcher.Version(), "error", err.Error())
		return
	}
	if table == nil {
		return
	}
	for _, p := range table.Pools() {
		e.placement.SetColdLimit(p.Name, e.coldLimit(p))
	}
	before, old := e.dispatcher.Version(), e.dispatcher.Table()
	taken := e.dispatcher.SetTable(table)
	if taken && old != nil && old.RequiresKey() && !table.RequiresKey() {
		e.log.Warn("requests need no key any more", "version", table.Version, "before", before)
	}
	e.versions.Wake()
	e.log.Info("configuration", "version", table.Version, "before", before, "taken", taken, "ms", clock.Since(begin).Milliseconds())
}

// coldLimit returns how many requests a cold engine of a pool may get in any second from all nodes
// together; 0 for no limit.
func (e *Edge) coldLimit(p *routing.Pool) float64 {
	if p.ColdRate <= 0 {
		return 0
	}
	return p.ColdRate*e.settings.ColdOverage + e.settings.ColdSlack
}
