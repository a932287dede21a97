package edge

import (
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
)

// enoughNearby is how many nodes of a caller's hall make those of other halls
// unnecessary as its entry points.
const enoughNearby = 2

// Ready reports whether this node takes callers.
func (e *Edge) Ready(now time.Time) bool { return e.dispatcher.Ready(now) == "" }

// Entries returns the addresses that callers in a hall should use: of the nodes
// there that are ready, or of all nodes where there are too few. Where none is
// ready, as when the platform's store is away, those that are alive are named:
// callers come back to them, and need not ask again first.
func (e *Edge) Entries(now time.Time, hall string) []string {
	var near, ready, alive []string
	add := func(address, at string, isReady bool) {
		alive = append(alive, address)
		if !isReady {
			return
		}
		ready = append(ready, address)
		if at == hall {
			near = append(near, address)
		}
	}
	if e.dispatcher.Ready(now) != dispatch.Stopping {
		add(e.settings.CallerAddress, e.settings.Hall, e.Ready(now))
	}
	for _, p := range e.gossip.Peers(now) {
		if !p.Said.Stopping {
			add(p.CallerAddress, p.Hall, p.Said.Ready)
		}
	}
	switch {
	case len(near) >= enoughNearby:
		return near
	case len(ready) > 0:
		return ready
	}
	return alive
}
