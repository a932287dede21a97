// Package entry selects the entry points: the nodes whose addresses callers are given. In a hall
// with many nodes only as many serve callers as its request rate needs. These nodes then know most
// of the hall's load themselves and keep their connections to engines busy, while the others have
// little to report. Larger nodes are selected first and get more callers.
package entry

import (
	"fmt"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLocalNodes is how many ready nodes in the caller's hall make entry points in other halls
	// unnecessary.
	minLocalNodes = 2

	// minEntryNodes is the least number of nodes of a hall that serve callers: with three, two are
	// left when one fails. Above it only the request rate decides. Nodes that serve callers report
	// their load to each other, so if a fixed share of the nodes served callers, messages would
	// grow with the square of the number of nodes.
	minEntryNodes = 3

	// maxAddresses is how many addresses a caller reads.
	maxAddresses = 64

	// targetUtilization is the share of a node's processor that requests are planned to use; it
	// leaves room for bursts of three times the rate.
	targetUtilization = 0.3

	// requestCPUSeconds is the processor time planned per request: about twice the 1.2 ms measured
	// at 12 requests a second on one node.
	requestCPUSeconds = 0.0025
)

// Node is a node that may serve callers.
type Node struct {
	Name    string
	Address string
	Hall    string
	Ready   bool
	Cores   float64 // Cores is the processor capacity the node may use; 0 counts as 1.
	Rate    float64 // Rate is the number of requests a second that it serves.
}

// plannedRate returns how many requests a second the node is planned to serve.
func (n Node) plannedRate() float64 { return n.cores() * targetUtilization / requestCPUSeconds }

// Load returns the rate that the node serves as a share of what it is planned for.
func (n Node) Load() float64 { return n.Rate / n.plannedRate() }

// Busy reports whether the node serves more than it is planned for.
func (n Node) Busy() bool { return n.Load() > 1 }

func (n Node) cores() float64 {
	if n.Cores <= 0 {
		return 1
	}
	return n.Cores
}

// Choose returns the addresses to give to a caller in a hall; draw returns random numbers from 0
// up to 1. If too few nodes of the hall are ready, it returns all ready nodes of all halls. If
// none is ready, as when the platform's store is unavailable, it returns all nodes: callers can
// then retry there without asking for addresses again.
func Choose(hall string, nodes []Node, draw func() float64) []string {
	ready := filter(nodes, func(n Node) bool { return n.Ready })
	local := filter(ready, func(n Node) bool { return n.Hall == hall })
	switch {
	case len(local) >= minLocalNodes:
		return addresses(sampleBySize(Points(local), draw))
	case len(ready) > 0:
		return addresses(ready)
	}
	return addresses(nodes)
}

func filter(nodes []Node, holds func(Node) bool) []Node {
	var out []Node
	for _, n := range nodes {
		if holds(n) {
			out = append(out, n)
		}
	}
	return out
}

// Points returns the entry points of a hall: the first nodes by size, at least minEntryNodes,
// whose planned rates add up to the hall's request rate.
func Points(local []Node) []Node {
	rate := totalRate(local)
	local = SortedBySize(local)
	planned := 0.0
	for i, n := range local {
		if i >= minEntryNodes && planned >= rate {
			return local[:i]
		}
		planned += n.plannedRate()
	}
	return local
}

func totalRate(nodes []Node) float64 {
	rate := 0.0
	for _, n := range nodes {
		rate += n.Rate
	}
	return rate
}

// SortedBySize returns the nodes with the largest first. Ties are broken by a hash of the name, so
// that all nodes use the same order.
func SortedBySize(nodes []Node) []Node {
	out := append([]Node(nil), nodes...)
	sort.Slice(out, func(i, j int) bool {
		if out[i].cores() != out[j].cores() {
			return out[i].cores() > out[j].cores()
		}
		return xxhash.Sum64String(out[i].Name) < xxhash.Sum64String(out[j].Name)
	})
	return out
}

// SizeKey returns a string that sorts in the order of SortedBySize, at a resolution of a
// thousandth of a core.
func (n Node) SizeKey() string {
	milli := uint32(min(n.cores()*1000, math.MaxUint32))
	return fmt.Sprintf("%08x-%016x", math.MaxUint32-milli, xxhash.Sum64String(n.Name))
}

// sampleBySize leaves smaller nodes out of some answers, so that each node gets callers in
// proportion to its size; the first minLocalNodes are always kept.
func sampleBySize(chosen []Node, draw func() float64) []Node {
	largest := chosen[0].cores()
	var out []Node
	for i, n := range chosen {
		if i < minLocalNodes || draw() < n.cores()/largest {
			out = append(out, n)
		}
	}
	return out
}

// addresses returns the addresses of at most maxAddresses nodes.
func addresses(nodes []Node) []string {
	var out []string
	for _, n := range nodes[:min(len(nodes), maxAddresses)] {
		out = append(out, n.Address)
	}
	return out
}
