package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/limit"
)

// issuer returns the node that issues the permits for an engine: one of the hubs of the engine's hall, by rendezvous hashing,
// and one of all hubs where that hall has no nodes. Where it has some and none is heard, requests would not get there either.
func (e *Edge) issuer(now time.Time, hall, engine string) (place limit.Place, ok bool) {
	empty := !e.gossip.InHall(hall)
	best := uint64(0)
	consider := func(name, in string, p limit.Place) {
		if rank := xxhash.Sum64String(engine + name); (empty || in == hall) && (!ok || rank > best) {
			best, place, ok = rank, p, true
		}
	}
	if e.gossip.Hub() && e.dispatcher.Ready(now) != dispatch.Stopping {
		consider(e.settings.Instance, e.settings.Hall, limit.Place{Self: true})
	}
	for _, p := range e.gossip.Hubs(now) {
		if !p.Said.Stopping {
			consider(p.Name, p.Hall, limit.Place{Address: p.PeerAddress})
		}
	}
	return place, ok
}
