// Package entry chooses the entry points that callers are told to use. Where a
// hall has many nodes a few take its callers, as many as its requests need: these
// know most of the hall's work themselves and keep connections to engines in use,
// and the others have little to tell. Larger nodes come first and get more callers.
package entry

import (
	"fmt"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// enoughNearby is how many ready nodes of a caller's hall make those of other
	// halls unnecessary as its entry points.
	enoughNearby = 2

	// leastChosen bounds from below how many nodes of a hall take its callers: three still leave
	// two when one dies. Beyond it only the load counts. Those that take callers tell each
	// other their work, so that a share of the nodes would have their messages grow with the
	// square of the nodes.
	leastChosen = 3

	// mostAddresses is how many addresses a caller looks at.
	mostAddresses = 64

	// plannedUse is the share of a node's processor that its requests should take,
	// so that a burst of three times as many finds room.
	plannedUse = 0.3

	// costOfRequest is the processor time of a request, in seconds: about twice the
	// 1.2 ms a request measured with 12 requests a second at a node.
	costOfRequest = 0.0025
)

// Node is a node that may take callers.
type Node struct {
	Name    string
	Address string
	Hall    string
	Ready   bool
	Cores   float64 // Cores is the processor that it may use; 0 counts as one.
	Rate    float64 // Rate is how many requests a second it serves.
}

// planned returns how many requests a second the node should get.
func (n Node) planned() float64 { return n.cores() * plannedUse / costOfRequest }

// cores returns the node's processor.
func (n Node) cores() float64 {
	if n.Cores <= 0 {
		return 1
	}
	return n.Cores
}

// Choose returns the addresses for a caller in a hall; draw returns numbers from 0
// up to 1 by chance. Where too few nodes of the hall are ready, all that are ready
// are named. Where none is, as when the platform's store is away, all are: callers
// come back to them, and need not ask again first.
func Choose(hall string, nodes []Node, draw func() float64) []string {
	ready := filter(nodes, func(n Node) bool { return n.Ready })
	near := filter(ready, func(n Node) bool { return n.Hall == hall })
	switch {
	case len(near) >= enoughNearby:
		return addresses(thin(Points(near), draw))
	case len(ready) > 0:
		return addresses(ready)
	}
	return addresses(nodes)
}

// filter returns the nodes that a condition holds for.
func filter(nodes []Node, holds func(Node) bool) []Node {
	var out []Node
	for _, n := range nodes {
		if holds(n) {
			out = append(out, n)
		}
	}
	return out
}

// Points returns the nodes of a hall that take its callers: the first in order, until
// they are enough for the requests that the hall has.
func Points(near []Node) []Node {
	rate := totalRate(near)
	near = SortedBySize(near)
	planned := 0.0
	for i, n := range near {
		if i >= leastChosen && planned >= rate {
			return near[:i]
		}
		planned += n.planned()
	}
	return near
}

// totalRate returns how many requests a second some nodes serve together.
func totalRate(nodes []Node) float64 {
	rate := 0.0
	for _, n := range nodes {
		rate += n.Rate
	}
	return rate
}

// SortedBySize returns the nodes with the largest first, those of one size by hash, so that
// all nodes choose the same.
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

// SizeKey returns a text that sorts as SortedBySize orders the node, by thousandths of a core.
func (n Node) SizeKey() string {
	milli := uint32(min(n.cores()*1000, math.MaxUint32))
	return fmt.Sprintf("%08x-%016x", math.MaxUint32-milli, xxhash.Sum64String(n.Name))
}

// thin leaves smaller nodes out of some answers, so that each node gets callers by its
// size; the first enoughNearby are always named.
func thin(chosen []Node, draw func() float64) []Node {
	largest := chosen[0].cores()
	var out []Node
	for i, n := range chosen {
		if i < enoughNearby || draw() < n.cores()/largest {
			out = append(out, n)
		}
	}
	return out
}

// addresses returns the addresses of nodes, as many as callers look at.
func addresses(nodes []Node) []string {
	var out []string
	for _, n := range nodes[:min(len(nodes), mostAddresses)] {
		out = append(out, n.Address)
	}
	return out
}
