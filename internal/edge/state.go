package edge

import (
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/entry"
)

// rollPart is the inverse of the share of nodes from which on those that stop are taken for a rolling restart. In a large
// cluster some node nearly always stops.
const rollPart = 10

// stopCount counts how many of some nodes stop.
type stopCount struct{ nodes, stopping int }

// Ready reports whether this node serves callers.
func (e *Edge) Ready(now time.Time) bool { return e.dispatcher.Ready(now) == "" }

// Entries returns the addresses that callers in a hall should use, of nodes that are alive and not
// stopping. A spoke names its hubs, since these serve the callers, and names itself only if it
// hears from no other node.
func (e *Edge) Entries(now time.Time, hall string) []string {
	var nodes []entry.Node
	peers := e.gossip.Peers(now)
	if e.dispatcher.Ready(now) != dispatch.Stopping && (e.gossip.IsHub() || len(peers) == 0) {
		nodes = append(nodes, entry.Node{
			Name: e.settings.Instance, Address: e.settings.CallerAddress, Hall: e.settings.Hall, Ready: e.Ready(now), Cores: cores(e.settings), Rate: e.dispatcher.Rate(now),
		})
	}
	for _, p := range peers {
		if !p.State.Stopping {
			nodes = append(nodes, p.Entry())
		}
	}
	return entry.Choose(hall, nodes, rand.Float64)
}

// Rolling reports whether so many nodes stop, of a hall or of all that this node hears, that the next ones may stop while callers
// use the addresses that they were given.
func (e *Edge) Rolling(now time.Time, hall string) bool {
	var all, local stopCount
	add := func(in string, stopping bool) {
		all.add(stopping)
		if in == hall {
			local.add(stopping)
		}
	}
	add(e.settings.Hall, e.dispatcher.Stopping())
	for _, p := range e.gossip.Peers(now) {
		add(p.Hall, p.State.Stopping)
	}
	return all.rolling() || local.rolling()
}

// add counts a node.
func (c *stopCount) add(stopping bool) {
	c.nodes++
	if stopping {
		c.stopping++
	}
}

// rolling reports whether enough of the nodes stop.
func (c stopCount) rolling() bool { return c.stopping > 0 && c.stopping*rollPart >= c.nodes }
