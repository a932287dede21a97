package edge

import (
	"time"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// enoughNearby is how many nodes of a caller's hall make those of other halls
// unnecessary as its entry points.
const enoughNearby = 2

// SetTable puts a version of the configuration in force.
func (e *Edge) SetTable(_ time.Time, t *routing.Table) {
	before := 0
	if old := e.dispatcher.Table(); old != nil {
		before = old.Version
	}
	taken := e.dispatcher.SetTable(t)
	e.log.Info("configuration", "version", t.Version, "before", before, "taken", taken)
}

// Proven records that the configuration in force was the newest at a moment.
func (e *Edge) Proven(at time.Time) { e.proof.Renew(at) }

// SetEngine adds or changes an engine.
func (e *Edge) SetEngine(_ time.Time, engine placement.Engine) {
	e.log.Info("engine", "engine", engine.ID, "pool", engine.Pool, "address", engine.Address, "hall", engine.Hall, "draining", engine.Draining)
	e.placement.Set(engine)
}

// RemoveEngine forgets an engine.
func (e *Edge) RemoveEngine(_ time.Time, id, reason string) {
	e.log.Info("engine removed", "engine", id, "reason", reason)
	e.placement.Remove(id)
}

// Engines returns the engines that are known.
func (e *Edge) Engines() []placement.Engine { return e.placement.Engines() }

// Ready reports whether this node takes callers.
func (e *Edge) Ready(now time.Time) bool { return e.dispatcher.Ready(now) == "" }

// Entries returns the addresses that callers in a hall should use: of the nodes
// there, or of all nodes where there are too few.
func (e *Edge) Entries(now time.Time, hall string) []string {
	var near, all []string
	add := func(address, at string) {
		all = append(all, address)
		if at == hall {
			near = append(near, address)
		}
	}
	if e.Ready(now) {
		add(e.settings.CallerAddress, e.settings.Hall)
	}
	for _, p := range e.gossip.Peers(now) {
		if p.Ready {
			add(p.CallerAddress, p.Hall)
		}
	}
	if len(near) >= enoughNearby {
		return near
	}
	return all
}
