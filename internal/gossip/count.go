package gossip

import "time"

// reachLife is for how long a node that is heard no more counts as one that may be there.
const reachLife = 30 * time.Second

// ReachableShare returns which part of the nodes that were heard within reachLife is alive as far as this node knows, this one among
// them. It is the part that a side of a cut has; nodes that stop as planned don't count.
func (g *Gossip) ReachableShare(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	alive, all := 1, 1
	for _, p := range g.peers {
		switch {
		case p.heard.IsZero() || p.State.Stopping:
		case g.heardLately(now, p):
			alive++
			all++
		case now.Sub(p.heard) <= reachLife:
			all++
		}
	}
	return float64(alive) / float64(all)
}

// KnowsHall reports whether any node of a hall is known, heard lately or not.
func (g *Gossip) KnowsHall(hall string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.halls()[hall]
}

// TotalNodes returns how many nodes there are, this one among them, heard lately or not. A hub knows the nodes of its own hall,
// and the hubs of other halls tell it of theirs; a spoke is told by its hubs. sure says that the nodes of all halls are
// counted.
func (g *Gossip) TotalNodes() (nodes int, sure bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes = g.count().All
	if g.few() || g.hub {
		return nodes, true
	}
	for _, p := range g.peers {
		if p.State.Nodes.All > 0 {
			nodes, sure = max(nodes, p.State.Nodes.All), true
		}
	}
	return nodes, sure
}

// count returns the nodes that this one knows, and those that hubs of other halls know of their own. The caller holds the
// lock.
func (g *Gossip) count() NodeCount {
	known, told := map[string]int{g.self.Hall: 1}, map[string]int{}
	for _, p := range g.peers {
		known[p.Hall]++
		told[p.Hall] = max(told[p.Hall], p.State.Nodes.Hall)
	}
	c := NodeCount{Hall: known[g.self.Hall]}
	for hall, n := range known {
		c.All += max(n, told[hall])
	}
	return c
}

// tellCount returns what peers are told of the number of nodes, which is nothing where this node is no hub.
func (g *Gossip) tellCount() NodeCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.few() || !g.hub {
		return NodeCount{}
	}
	return g.count()
}
