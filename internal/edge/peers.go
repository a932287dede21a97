package edge

import (
	"math"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/platform"
)

// startsTogether is how long after its start a node takes those that it has not heard for nodes that started with it:
// two messages between halls.
const startsTogether = 400 * time.Millisecond

// nodes returns how many nodes share the limits of retries: all that are known,
// heard or not, since nodes that do not hear each other still send. Before all are counted there may be any number.
func (e *Edge) nodes() int {
	n, sure := e.gossip.Count()
	if !e.register.Read() || !sure {
		return math.MaxInt32
	}
	return n
}

// unheard returns how many nodes may have begun work of which this node has not heard: for a while after
// its start those that have told it nothing yet.
func (e *Edge) unheard(now time.Time) int {
	if now.Sub(e.startedAt) > startsTogether {
		return 0
	}
	return e.gossip.Unheard()
}

// senders returns the names of the peers that send requests to engines: hubs that take callers.
func (e *Edge) senders(now time.Time) []string {
	var out []string
	for _, p := range e.gossip.Hubs(now) {
		if p.Said.Ready {
			out = append(out, p.Name)
		}
	}
	return out
}

// Say returns what the peers are told of this node.
func (e *Edge) Say(now time.Time) gossip.Said {
	silent := e.watchSilence(now)
	versions := e.follower.Versions() // They are read before the work: it may be of later entries, not of earlier ones.
	s := gossip.Said{
		Ready: e.Ready(now), Stopping: e.dispatcher.Ready(now) == dispatch.Stopping, Rate: float32(e.dispatcher.Rate(now)), Loads: e.placement.Loads(), Uses: e.placement.TakeUses(), Versions: versions,
		ConfigVersion: e.dispatcher.Version(), ProofAgeMs: -1, CantRead: e.cantRead(now), SilentMs: -1, LostAgeMs: -1, Places: e.dispatcher.Places(now), Holder: e.sayHolder(now), Crashing: e.quarantine.GossipEntries(now, gossip.NewsLife), Limits: e.limits.GossipEntries(now, gossip.NewsLife), Leaving: e.discovery.TellLeaving(now, gossip.NewsLife),
	}
	if age, ok := e.proof.Age(now); ok {
		s.ProofAgeMs = age.Milliseconds() + 1 // It is rounded up: a proof must not grow younger on its way.
	}
	if silent >= 0 {
		s.SilentMs = silent.Milliseconds()
	}
	if lost := e.lostAt.Load(); lost != nil && silent >= 0 {
		s.LostAgeMs = now.Sub(*lost).Milliseconds()
	}
	return s
}

// Heard takes what a peer said. Its proof is as old as it said at a moment after
// it had received this node's message, which is on this node's clock.
func (e *Edge) Heard(now time.Time, p gossip.Self, s gossip.Said, received time.Time) {
	e.placement.UpdatePeer(now, p.Name, s.Versions[platform.TableEngines], s.Loads, s.Uses)
	e.dispatcher.HeardPlaces(now, p.Name, s.Places)
	e.quarantine.MergeGossip(now, s.Crashing)
	e.limits.MergeGossip(now, s.Limits)
	e.discovery.HearLeaving(now, s.Leaving)
	e.hearHolder(now, s.Holder)
	e.follower.Heard(p.PeerAddress, s.Versions)
	if s.ProofAgeMs >= 0 && !received.IsZero() && s.ConfigVersion > 0 && s.ConfigVersion <= e.dispatcher.Version() {
		e.proof.Renew(received.Add(-time.Duration(s.ProofAgeMs) * time.Millisecond))
	}
	if s.LostAgeMs >= 0 {
		e.discovery.Lost(now.Add(-time.Duration(s.LostAgeMs) * time.Millisecond))
	}
}

// triesHeld reports whether this node is the one of those that take callers to try a request again that is
// held. Two nodes that see other peers may both be.
func (e *Edge) triesHeld(now time.Time, f quarantine.Fingerprint) bool {
	_, self, _ := e.firstHub(now, f.String(), e.gossip.Hub(), func(p gossip.Peer) bool { return p.Said.Ready })
	return self
}
