package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/entry"
)

// In a large cluster the nodes that take the callers of a hall are its hubs, and the others are
// spokes. Hubs exchange their loads often. A spoke sends only a rare sign of life to the hubs of its
// hall, and learns from them which nodes are hubs and which table versions are newest. Spokes do not
// talk to each other or to other halls.
//
// So the messages of a node grow with the number of hubs, which follows the request rate, and with its
// hall's share of the spokes. When every node talked to every other, 295 nodes sent about 100,000
// messages a second (calculated), and all their work took 568 s of processor time in 37 s.
//
// The hubs of a hall choose its hubs among the nodes they hear, and send their choice with their
// messages. A node is a hub if a hub that it hears says so. A node that hears no hub of a hall takes
// the first nodes of that hall as its hubs, in an order known to all nodes, and more of them the
// longer it hears none.

const (
	// maxFullMeshPeers is the number of peers up to which every node is a hub.
	maxFullMeshPeers = 12

	// initialHubs is how many nodes of a hall are taken as its hubs if none is heard. The number
	// doubles after each widenInterval; the rarest messages from a hub to a spoke come once a second.
	initialHubs   = 4
	widenInterval = 700 * time.Millisecond

	// hubSilenceTimeout is how long none of the advertised hubs may be heard before the nodes that
	// advertise them count as hubs, too. The rarest message from a hub to a spoke comes within this
	// time.
	hubSilenceTimeout = spokeRounds * roundInterval
)

// fullMesh reports whether there are so few nodes that each is a hub: this node knows few, and no peer
// reports more. The caller holds the lock.
func (g *Gossip) fullMesh() bool {
	if len(g.peers) > maxFullMeshPeers {
		return false
	}
	for _, p := range g.peers {
		if p.State.Nodes.All > maxFullMeshPeers+1 {
			return false
		}
	}
	return true
}

// IsHub reports whether this node is a hub.
func (g *Gossip) IsHub() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fullMesh() || g.isHub
}

// Hubs returns the hubs that are alive, without this node.
func (g *Gossip) Hubs(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for name, p := range g.peers {
		if (g.fullMesh() || g.hubs[name]) && g.alive(now, p) {
			out = append(out, *p)
		}
	}
	return out
}

// UpdateHubs recomputes which nodes are hubs, including this one. Each round calls it; it may also be
// called in between, such as when many nodes have just become known. Several goroutines call it, so a
// time older than that of the last update counts as that one.
func (g *Gossip) UpdateHubs(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fullMesh() {
		return
	}
	if now.Before(g.hubsUpdatedAt) {
		now = g.hubsUpdatedAt
	}
	g.hubsUpdatedAt = now
	advertised := g.advertisedHubs(now)
	hubs := map[string]bool{}
	g.addHubs(now, hubs, g.self.Hall, advertised)
	if len(advertised[g.self.Hall]) == 0 && g.isHub {
		hubs[g.self.Name] = true // No hub is left that could say otherwise.
	}
	g.isHub = hubs[g.self.Name]
	before := g.chosenHubs
	g.chosenHubs = nil
	if g.isHub {
		g.chosenHubs = g.chooseHubs(now)
		g.addRemoteHubs(now, hubs, advertised)
	} else {
		g.forgetRemoteHubs()
	}
	if !slices.Equal(before, g.chosenHubs) {
		g.urgent = true
		g.choiceVersion++
	}
	for _, name := range g.chosenHubs {
		hubs[name] = true
	}
	g.hubs = hubs
}

// addHubs adds the hubs of a hall: the advertised ones or, if no hub there is heard, the fallback
// hubs.
func (g *Gossip) addHubs(now time.Time, hubs map[string]bool, hall string, advertised map[string][]string) {
	names := advertised[hall]
	if len(names) > 0 {
		g.hubHeardAt[hall] = now
	} else {
		names = g.fallbackHubs(now, hall)
	}
	for _, name := range names {
		hubs[name] = true
	}
}

// addRemoteHubs adds the hubs of the other halls.
func (g *Gossip) addRemoteHubs(now time.Time, hubs map[string]bool, advertised map[string][]string) {
	for hall := range g.halls() {
		if hall != g.self.Hall {
			g.addHubs(now, hubs, hall, advertised)
		}
	}
}

// forgetRemoteHubs forgets when hubs of other halls were heard. A spoke hears none of them; when it
// becomes a hub it must start with the first few nodes of each hall, not with all of them as after a
// long silence.
func (g *Gossip) forgetRemoteHubs() {
	for hall := range g.hubHeardAt {
		if hall != g.self.Hall {
			delete(g.hubHeardAt, hall)
		}
	}
}

// halls returns the halls of all known nodes.
func (g *Gossip) halls() map[string]bool {
	out := map[string]bool{g.self.Hall: true}
	for _, p := range g.peers {
		out[p.Hall] = true
	}
	return out
}

// advertisedHubs returns, by hall, the nodes that the heard hubs there list as hubs. What a hub says
// about itself counts only if none of the listed nodes has been heard for a while. So a silent hub is
// dropped as soon as the others drop it, and a node that cannot reach the listed hubs keeps those that
// it hears.
func (g *Gossip) advertisedHubs(now time.Time) map[string][]string {
	out := map[string][]string{}
	advertisers := map[string][]string{}
	for name, p := range g.peers {
		if !g.choiceIsCurrent(now, p) {
			continue
		}
		advertisers[p.Hall] = append(advertisers[p.Hall], name)
		for _, hub := range p.chosenHubs {
			if hub != name {
				out[p.Hall] = append(out[p.Hall], hub)
			}
		}
	}
	maps.DeleteFunc(g.unheardSince, func(hall string, _ time.Time) bool { return len(advertisers[hall]) == 0 })
	for hall, names := range advertisers {
		switch {
		case slices.ContainsFunc(out[hall], func(name string) bool { return g.reaches(now, name) }):
			delete(g.unheardSince, hall)
		case len(out[hall]) == 0:
			out[hall] = names
		case g.unheardSince[hall].IsZero():
			g.unheardSince[hall] = now
		case now.Sub(g.unheardSince[hall]) >= hubSilenceTimeout:
			out[hall] = append(out[hall], names...)
		}
	}
	return out
}

// reaches reports whether a node is this one or was heard recently. The caller holds the lock.
func (g *Gossip) reaches(now time.Time, name string) bool {
	p := g.peers[name]
	return name == g.self.Name || p != nil && g.heardRecently(now, p)
}

// fallbackHubs returns the first nodes of a hall, more of them the longer no hub there has been heard.
func (g *Gossip) fallbackHubs(now time.Time, hall string) []string {
	if g.hubHeardAt[hall].IsZero() {
		g.hubHeardAt[hall] = now
	}
	doubled := min(int(now.Sub(g.hubHeardAt[hall])/widenInterval), 8)
	var nodes []entry.Node
	if hall == g.self.Hall {
		nodes = append(nodes, g.selfPeer().Entry())
	}
	for _, p := range g.peers {
		if p.Hall == hall {
			nodes = append(nodes, p.Entry())
		}
	}
	return nodeNames(entry.SortedBySize(nodes)[:min(len(nodes), initialHubs<<doubled)])
}

// chooseHubs returns the nodes of this node's hall that should be its hubs: those that take its
// callers. If too few are ready, nodes that are not ready count as well.
func (g *Gossip) chooseHubs(now time.Time) []string {
	var ready, all []entry.Node
	add := func(p *Peer) {
		if p.State.Stopping {
			return
		}
		all = append(all, p.Entry())
		if p.State.Ready {
			ready = append(ready, p.Entry())
		}
	}
	add(g.selfPeer())
	for _, p := range g.peers {
		if p.Hall == g.self.Hall && g.heardRecently(now, p) {
			add(p)
		}
	}
	if len(ready) < initialHubs {
		ready = all
	}
	return nodeNames(entry.Points(ready))
}

// chosenHubInfo returns the hubs that this node chose for its hall, with their addresses.
func (g *Gossip) chosenHubInfo() []HubInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []HubInfo
	for _, name := range g.chosenHubs {
		info := g.self
		if p := g.peers[name]; p != nil {
			info = p.NodeInfo
		}
		out = append(out, HubInfo{Name: info.Name, Incarnation: info.Incarnation, PeerAddress: info.PeerAddress, CallerAddress: info.CallerAddress, Cores: info.Cores})
	}
	return out
}

// addChosenHubs adds the hubs that a hub chose for its hall as peers.
func (g *Gossip) addChosenHubs(now time.Time, hall string, chosen []HubInfo) {
	for _, k := range chosen {
		g.AddPeer(now, NodeInfo{Name: k.Name, Incarnation: k.Incarnation, PeerAddress: k.PeerAddress, CallerAddress: k.CallerAddress, Hall: hall, Cores: k.Cores})
	}
}

// selfPeer returns this node as its peers see it.
func (g *Gossip) selfPeer() *Peer { return &Peer{NodeInfo: g.self, State: g.lastState} }

// Entry returns the peer as a node that may take callers.
func (p *Peer) Entry() entry.Node {
	return entry.Node{Name: p.Name, Address: p.CallerAddress, Hall: p.Hall, Ready: p.State.Ready, Cores: p.Cores, Rate: float64(p.State.Rate)}
}

// nodeNames returns the sorted names of nodes.
func nodeNames(nodes []entry.Node) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	slices.Sort(out)
	return out
}
