package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/entry"
)

// Where nodes are many, those that take the callers of a hall are its hubs, and the others
// its spokes. Hubs tell each other often what work they have at engines. A spoke tells the
// hubs of its hall now and then that it lives, and hears from them who the hubs are and
// which tables are the newest; spokes do not talk to each other, nor to other halls.
//
// So a node's messages grow with the number of hubs, which follows the number of requests,
// and with its hall's share of the spokes. With each node telling every other, 295 nodes
// sent some 100,000 messages a second (worked out), and all they did took 568 s of processor
// time in 37 s.
//
// The hubs of a hall choose its hubs, from the nodes that they hear; each tells its choice
// with its messages. A node is a hub if a hub that it hears says so. A node that hears no hub
// of a hall takes the first nodes of that hall for its hubs, by an order that all know,
// and more of them the longer it hears none.

const (
	// manyPeers is how many peers make hubs of some nodes; with fewer each node is one.
	manyPeers = 12

	// firstHubs is how many nodes of a hall are taken for its hubs where none is heard,
	// and widenEvery the time after which it is twice as many: the rarest messages of a hub
	// to a spoke come once a second.
	firstHubs  = 4
	widenEvery = 700 * time.Millisecond

	// hubUnheard is how long none of the hubs that others name is heard until those that name them count, too: a hub's
	// rarest message to a spoke comes within it.
	hubUnheard = spokeTurns * every
)

// few reports whether there are so few nodes that each is a hub: this node knows few, and no hub knows more. The caller
// holds the lock.
func (g *Gossip) few() bool {
	if len(g.peers) > manyPeers {
		return false
	}
	for _, p := range g.peers {
		if p.Said.Nodes.All > manyPeers+1 {
			return false
		}
	}
	return true
}

// Hub reports whether this node is a hub.
func (g *Gossip) Hub() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.few() || g.hub
}

// Hubs returns the hubs that are alive, this node not among them.
func (g *Gossip) Hubs(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for name, p := range g.peers {
		if (g.few() || g.hubs[name]) && g.alive(now, p) {
			out = append(out, *p)
		}
	}
	return out
}

// Settle works out which nodes are hubs, this one among them or not. Each turn does so; it may
// be called between, as where many nodes have just become known.
func (g *Gossip) Settle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.few() {
		return
	}
	told := g.toldHubs(now)
	hubs := map[string]bool{}
	g.addHubs(now, hubs, g.self.Hall, told)
	if len(told[g.self.Hall]) == 0 && g.hub {
		hubs[g.self.Name] = true // No hub is left that could say otherwise.
	}
	g.hub = hubs[g.self.Name]
	before := g.chosen
	g.chosen = nil
	if g.hub {
		g.chosen = g.chooseHubs(now)
		g.addFarHubs(now, hubs, told)
	} else {
		g.forgetFarHubs()
	}
	if !slices.Equal(before, g.chosen) {
		g.urgent = true
		g.choices++
	}
	for _, name := range g.chosen {
		hubs[name] = true
	}
	g.hubs = hubs
}

// addHubs adds the hubs of a hall: as hubs there say or, where none is heard, by their order.
func (g *Gossip) addHubs(now time.Time, hubs map[string]bool, hall string, told map[string][]string) {
	names := told[hall]
	if len(names) > 0 {
		g.hubHeard[hall] = now
	} else {
		names = g.firstNodes(now, hall)
	}
	for _, name := range names {
		hubs[name] = true
	}
}

// addFarHubs adds the hubs of the other halls.
func (g *Gossip) addFarHubs(now time.Time, hubs map[string]bool, told map[string][]string) {
	for hall := range g.halls() {
		if hall != g.self.Hall {
			g.addHubs(now, hubs, hall, told)
		}
	}
}

// forgetFarHubs forgets when hubs of other halls were heard. A spoke hears none of them; one
// that becomes a hub should take the first few nodes of each hall for its hubs, and not all
// as it would where they have been silent for long.
func (g *Gossip) forgetFarHubs() {
	for hall := range g.hubHeard {
		if hall != g.self.Hall {
			delete(g.hubHeard, hall)
		}
	}
}

// halls returns the halls of all nodes that are known.
func (g *Gossip) halls() map[string]bool {
	out := map[string]bool{g.self.Hall: true}
	for _, p := range g.peers {
		out[p.Hall] = true
	}
	return out
}

// toldHubs returns, by hall, the nodes that hubs there which are heard say are hubs. What a
// hub says of itself counts only where none of these has been heard for a while, so that one that is silent is
// passed over as soon as the others do, and a node that can't reach the others keeps the hubs that it hears.
func (g *Gossip) toldHubs(now time.Time) map[string][]string {
	out := map[string][]string{}
	tellers := map[string][]string{}
	for name, p := range g.peers {
		if !g.choiceCounts(now, p) {
			continue
		}
		tellers[p.Hall] = append(tellers[p.Hall], name)
		for _, hub := range p.hubs {
			if hub != name {
				out[p.Hall] = append(out[p.Hall], hub)
			}
		}
	}
	maps.DeleteFunc(g.unheardSince, func(hall string, _ time.Time) bool { return len(tellers[hall]) == 0 })
	for hall, names := range tellers {
		switch {
		case slices.ContainsFunc(out[hall], func(name string) bool { return g.hears(now, name) }):
			delete(g.unheardSince, hall)
		case len(out[hall]) == 0:
			out[hall] = names
		case g.unheardSince[hall].IsZero():
			g.unheardSince[hall] = now
		case now.Sub(g.unheardSince[hall]) >= hubUnheard:
			out[hall] = append(out[hall], names...)
		}
	}
	return out
}

// hears reports whether a node is this one, or was heard lately. The caller holds the lock.
func (g *Gossip) hears(now time.Time, name string) bool {
	p := g.peers[name]
	return name == g.self.Name || p != nil && g.heardLately(now, p)
}

// firstNodes returns the first nodes of a hall, more of them the longer no hub there has
// been heard.
func (g *Gossip) firstNodes(now time.Time, hall string) []string {
	if g.hubHeard[hall].IsZero() {
		g.hubHeard[hall] = now
	}
	doubled := min(int(now.Sub(g.hubHeard[hall])/widenEvery), 8)
	var nodes []entry.Node
	if hall == g.self.Hall {
		nodes = append(nodes, g.own().Entry())
	}
	for _, p := range g.peers {
		if p.Hall == hall {
			nodes = append(nodes, p.Entry())
		}
	}
	return names(entry.SortedBySize(nodes)[:min(len(nodes), firstHubs<<doubled)])
}

// chooseHubs returns the nodes of this node's hall that should be its hubs: those that take
// its callers. Where too few are ready, others count as well.
func (g *Gossip) chooseHubs(now time.Time) []string {
	var ready, all []entry.Node
	add := func(p *Peer) {
		if p.Said.Stopping {
			return
		}
		all = append(all, p.Entry())
		if p.Said.Ready {
			ready = append(ready, p.Entry())
		}
	}
	add(g.own())
	for _, p := range g.peers {
		if p.Hall == g.self.Hall && g.heardLately(now, p) {
			add(p)
		}
	}
	if len(ready) < firstHubs {
		ready = all
	}
	return names(entry.Points(ready))
}

// knownChosen returns how others reach the hubs that this node wants in its hall.
func (g *Gossip) knownChosen() []Known {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Known
	for _, name := range g.chosen {
		self := g.self
		if p := g.peers[name]; p != nil {
			self = p.Self
		}
		out = append(out, Known{Name: self.Name, Incarnation: self.Incarnation, PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress, Cores: self.Cores})
	}
	return out
}

// meetChosen takes the hubs that a hub of a hall wants there.
func (g *Gossip) meetChosen(now time.Time, hall string, chosen []Known) {
	for _, k := range chosen {
		g.Meet(now, Self{Name: k.Name, Incarnation: k.Incarnation, PeerAddress: k.PeerAddress, CallerAddress: k.CallerAddress, Hall: hall, Cores: k.Cores})
	}
}

// own returns this node as its peers know it.
func (g *Gossip) own() *Peer { return &Peer{Self: g.self, Said: g.said} }

// Entry returns the peer as a node that may take callers.
func (p *Peer) Entry() entry.Node {
	return entry.Node{Name: p.Name, Address: p.CallerAddress, Hall: p.Hall, Ready: p.Said.Ready, Cores: p.Cores, Rate: float64(p.Said.Rate)}
}

// names returns the names of nodes.
func names(nodes []entry.Node) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	slices.Sort(out)
	return out
}
