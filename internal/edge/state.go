package edge

import "time"

// enoughNearby is how many nodes of a caller's hall make those of other halls
// unnecessary as its entry points.
const enoughNearby = 2

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
		if p.Said.Ready {
			add(p.CallerAddress, p.Hall)
		}
	}
	if len(near) >= enoughNearby {
		return near
	}
	return all
}
