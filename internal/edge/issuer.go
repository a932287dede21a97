package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/limit"
)

// firstHub returns the first of the hubs that count, by rendezvous hashing with a key, or that it is this node. Two nodes that
// hear other hubs may take others for it.
func (e *Edge) firstHub(now time.Time, key string, selfCounts bool, counts func(p gossip.Peer) bool) (first gossip.Peer, self, ok bool) {
	rank := func(name string) uint64 { return xxhash.Sum64String(key + name) }
	var best uint64
	if selfCounts {
		best, self, ok = rank(e.settings.Instance), true, true
	}
	for _, p := range e.gossip.Hubs(now) {
		if r := rank(p.Name); counts(p) && (!ok || r < best) {
			best, first, self, ok = r, p, false, true
		}
	}
	return first, self, ok
}

// issuer returns the node that issues the permits for an engine: the first of the hubs of the engine's hall, and of all hubs
// where that hall has no nodes. Where it has some and none is heard, requests would not get there either.
func (e *Edge) issuer(now time.Time, hall, engine string) (place limit.IssuerNode, ok bool) {
	empty := !e.gossip.InHall(hall)
	selfCounts := e.gossip.Hub() && e.dispatcher.Ready(now) != dispatch.Stopping && (empty || e.settings.Hall == hall)
	p, self, ok := e.firstHub(now, engine, selfCounts, func(p gossip.Peer) bool { return !p.Said.Stopping && (empty || p.Hall == hall) })
	return limit.IssuerNode{Self: self, Address: p.PeerAddress}, ok
}
