package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/limit"
)

// selectHub selects one of the eligible hubs, or this node, by rendezvous hashing of a key. Nodes
// that hear from different hubs may select different ones.
func (e *Edge) selectHub(now time.Time, key string, selfEligible bool, eligible func(p gossip.Peer) bool) (first gossip.Peer, self, ok bool) {
	rank := func(name string) uint64 { return xxhash.Sum64String(key + name) }
	var best uint64
	if selfEligible {
		best, self, ok = rank(e.settings.Instance), true, true
	}
	for _, p := range e.gossip.Hubs(now) {
		if r := rank(p.Name); eligible(p) && (!ok || r < best) {
			best, first, self, ok = r, p, false, true
		}
	}
	return first, self, ok
}

// permitIssuer returns the node that issues the permits for an engine: one of the hubs in the
// engine's hall, or of all hubs if that hall has no nodes. If the hall has nodes but none is
// heard, there is no issuer, since requests would not get through to that hall either.
func (e *Edge) permitIssuer(now time.Time, hall, engine string) (issuer limit.IssuerNode, ok bool) {
	empty := !e.gossip.KnowsHall(hall)
	selfEligible := e.gossip.IsHub() && e.dispatcher.Ready(now) != dispatch.Stopping && (empty || e.settings.Hall == hall)
	p, self, ok := e.selectHub(now, engine, selfEligible, func(p gossip.Peer) bool { return !p.State.Stopping && (empty || p.Hall == hall) })
	return limit.IssuerNode{Self: self, Address: p.PeerAddress}, ok
}
