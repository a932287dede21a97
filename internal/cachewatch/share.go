package cachewatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is the share of the engines of a hall that one of its nodes watches, by rendezvous hash: when
// a node comes or goes, only the engines that it gets or had change hands. Nodes that know of
// different nodes may watch the same engine, which an engine bears up to its limit of calls.
type Share struct {
	self   uint64
	others []uint64
}

// NewShare returns the share of a node among the others that watch engines of its hall.
func NewShare(self string, others []string) Share {
	s := Share{self: xxhash.Sum64String(self)}
	for _, name := range others {
		s.others = append(s.others, xxhash.Sum64String(name))
	}
	return s
}

// Has reports whether an engine belongs to the share.
func (s Share) Has(engine string) bool {
	hash := xxhash.Sum64String(engine)
	own := mix(hash ^ s.self)
	for _, other := range s.others {
		if rank := mix(hash ^ other); rank < own || rank == own && other < s.self {
			return false
		}
	}
	return true
}

// mix spreads the bits of a number; it is the finalizer of SplitMix64. Each node ranks all pairs of
// an engine and a hub of its hall four times a second, so names are hashed once and not in pairs.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// startDelay returns how long a node waits before it first calls an engine, so that its first calls
// do not come all at once.
func startDelay(engine string) time.Duration {
	return time.Duration(xxhash.Sum64String(engine) % uint64(minPause))
}
