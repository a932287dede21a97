package pinning

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeReplicas is how many nodes get the record of a stream besides the one that it began at, and
	// readReplicas how many are asked for it: more, since nodes differ for a moment on who is alive.
	writeReplicas = 3
	readReplicas  = 5
)

// Node is a node that keeps records.
type Node struct {
	Name    string
	Address string // Address receives the calls of peers.
	Hall    string
}

// rank returns the first n nodes that keep the record of a stream, by rendezvous hashing. The first ones
// are in different halls, as far as there are any.
func rank(s Stream, nodes []Node, n int) []Node {
	type ranked struct {
		node   Node
		score  uint64
		inHall int // inHall is the rank among the nodes of the same hall.
	}
	seed := binary.BigEndian.Uint64(s[:])
	list := make([]ranked, 0, len(nodes))
	for _, each := range nodes {
		list = append(list, ranked{node: each, score: mix(seed ^ xxhash.Sum64String(each.Name))})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	seen := map[string]int{}
	for i, each := range list {
		list[i].inHall = seen[each.node.Hall]
		seen[each.node.Hall]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.inHall, b.inHall) })
	out := make([]Node, 0, n)
	for _, each := range list[:min(n, len(list))] {
		out = append(out, each.node)
	}
	return out
}

// mix applies the splitmix64 finalizer.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
