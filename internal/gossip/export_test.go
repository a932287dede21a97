package gossip

import (
	"testing"
	"time"
)

// Network carries the messages of simulated nodes for tests of other packages' parts.
type Network struct{ *network }

// Every is the time between two turns.
const Every = every

// NewNetwork returns a network of halls with some nodes each that know nobody.
func NewNetwork(t *testing.T, halls, each int) Network {
	n := newNetwork(t, halls, each, 0, 1)
	for _, node := range n.nodes {
		clear(node.peers)
		node.dead = true
	}
	return Network{n}
}

// Names returns the names of all nodes.
func (n Network) Names() []string { return n.order }

// Node returns a node.
func (n Network) Node(name string) *Gossip { return n.nodes[name].Gossip }

// Self returns what a node says of itself.
func (n Network) Self(name string) NodeInfo { return n.nodes[name].self }

// Now returns the simulated time.
func (n Network) Now() time.Time { return n.now }

// Start lets a node send and hear.
func (n Network) Start(name string) {
	n.nodes[name].dead = false
	n.nodes[name].next = n.turn
}

// Kill ends a node, which knows nobody when it starts again.
func (n Network) Kill(name string) {
	old := n.nodes[name]
	self := old.self
	self.Incarnation++
	n.nodes[name] = &simulated{Gossip: newGossip(self, old.log), say: old.say, dead: true}
	n.nodes[name].node = n.nodes[name]
}

// Load lets each node say that it serves so many requests a second.
func (n Network) Load(rate float32) {
	for _, node := range n.nodes {
		node.say.Rate = rate
	}
}

// Hubs returns the hubs of a hall.
func (n Network) Hubs(hall string) []string { return n.hubs(hall) }

// Run plays some time.
func (n Network) Run(d time.Duration) { n.run(d) }

// Agree reports whether all living nodes of each hall name its hubs alone, and each hub those of the other halls.
func (n Network) Agree(halls int) error { return n.agree(halls) }
