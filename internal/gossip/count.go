package gossip

import "time"

// reachWindow is how long a node still counts as possibly running after its last message.
const reachWindow = 30 * time.Second

// ReachableShare returns the share of the nodes heard within reachWindow that are alive as seen by
// this node, itself included. During a network partition this is the share on this side. Nodes that
// are shutting down as planned do not count.
func (g *Gossip) ReachableShare(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	alive, all := 1, 1
	for _, p := range g.peers {
		switch {
		case p.heardAt.IsZero() || p.State.Stopping:
		case g.heardRecently(now, p):
			alive++
			all++
		case now.Sub(p.heardAt) <= reachWindow:
			all++
		}
	}
	return float64(alive) / float64(all)
}

// KnowsHall reports whether any node of a hall is known, alive or not.
func (g *Gossip) KnowsHall(hall string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.halls()[hall]
}

// TotalNodes returns the number of nodes, this one included, alive or not. A hub knows the nodes of
// its own hall and gets the counts of other halls from their hubs; a spoke gets the total from its
// hubs. sure reports whether the nodes of all halls are counted.
func (g *Gossip) TotalNodes() (nodes int, sure bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes = g.count().All
	if g.fullMesh() || g.isHub {
		return nodes, true
	}
	for _, p := range g.peers {
		if p.State.Nodes.All > 0 {
			nodes, sure = max(nodes, p.State.Nodes.All), true
		}
	}
	return nodes, sure
}

// count returns the number of known nodes, with the counts that hubs of other halls report for their
// own hall. The caller holds the lock.
func (g *Gossip) count() NodeCount {
	known, advertised := map[string]int{g.self.Hall: 1}, map[string]int{}
	for _, p := range g.peers {
		known[p.Hall]++
		advertised[p.Hall] = max(advertised[p.Hall], p.State.Nodes.Hall)
	}
	c := NodeCount{Hall: known[g.self.Hall]}
	for hall, n := range known {
		c.All += max(n, advertised[hall])
	}
	return c
}

// advertisedCount returns the node counts sent to peers; they are zero unless this node is a hub.
func (g *Gossip) advertisedCount() NodeCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fullMesh() || !g.isHub {
		return NodeCount{}
	}
	return g.count()
}
