package edge

import (
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/entry"
)

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
