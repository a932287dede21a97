package gossip

import (
	"testing"
	"time"
)

// Network exposes network to tests outside the package.
type Network struct{ *network }

// RoundInterval exposes roundInterval.
const RoundInterval = roundInterval

// NewNetwork returns a network of stopped nodes that know no peers.
func NewNetwork(t *testing.T, halls, each int) Network {
	n := newNetwork(t, halls, each, 0, 1)
	for _, node := range n.nodes {
		clear(node.peers)
		node.dead = true
	}
	return Network{n}
}

func (n Network) Names() []string { return n.order }

func (n Network) Node(name string) *Gossip { return n.nodes[name].Gossip }

// Info returns the NodeInfo of a node.
func (n Network) Info(name string) NodeInfo { return n.nodes[name].self }

func (n Network) Now() time.Time { return n.now }

// Start lets a node send and receive.
func (n Network) Start(name string) {
	n.nodes[name].dead = false
	n.nodes[name].next = n.round
}

// Kill ends a node; it has no peers when it starts again.
func (n Network) Kill(name string) {
	old := n.nodes[name]
	self := old.self
	self.Incarnation++
	n.nodes[name] = &simulated{Gossip: newGossip(self, old.log), state: old.state, dead: true}
	n.nodes[name].node = n.nodes[name]
}

// Load sets the request rate that each node reports.
func (n Network) Load(rate float32) {
	for _, node := range n.nodes {
		node.state.Rate = rate
	}
}

func (n Network) Hubs(hall string) []string { return n.hubs(hall) }

// Run simulates a period of time.
func (n Network) Run(d time.Duration) { n.run(d) }

// Agree returns an error unless all running nodes agree on the hubs, as in network.agree.
func (n Network) Agree(halls int) error { return n.agree(halls) }
