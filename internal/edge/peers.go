package edge

import (
	"math"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/platform"
)

// simultaneousStartWindow is how long after its start a node assumes that peers it has not heard
// from started at the same time: the time of two messages between halls.
const simultaneousStartWindow = 400 * time.Millisecond

// nodeCount returns how many nodes share the retry limits: all known ones, whether heard or not,
// since nodes that do not hear each other still send requests. Until all nodes are counted there
// may be any number.
func (e *Edge) nodeCount() int {
	n, sure := e.gossip.TotalNodes()
	if !e.register.Joined() || !sure {
		return math.MaxInt32
	}
	return n
}

// unheardPeers returns how many peers may have sent work to engines without this node knowing: for
// a while after its start, those that have not reported to it yet.
func (e *Edge) unheardPeers(now time.Time) int {
	if now.Sub(e.startedAt) > simultaneousStartWindow {
		return 0
	}
	return e.gossip.UnheardPeers()
}

// senders returns the nodes that send requests to engines, the hubs that serve callers and this node,
// with their rates in requests per second. Placement calls it with its lock held.
func (e *Edge) senders(now time.Time) map[string]float64 {
	out := map[string]float64{e.settings.Instance: e.dispatcher.Rate(now)}
	for _, p := range e.gossip.Hubs(now) {
		if p.State.Ready && !p.State.Partitioned {
			out[p.Name] = float64(p.State.Rate)
		}
	}
	return out
}

// LocalState returns this node's state as reported to its peers.
func (e *Edge) LocalState(now time.Time) gossip.State {
	silent, unreachable := e.checkSilence(now), e.reach.Unreachable()
	window := e.gossip.RecentWindow(now)
	tables := e.follower.Announcement() // Read before the loads, which may be of later entries but not of earlier ones.
	s := gossip.State{
		Ready: e.Ready(now), Stopping: e.dispatcher.Ready(now) == dispatch.Stopping, Rate: float32(e.dispatcher.Rate(now)), Loads: e.placement.Loads(), Uses: e.placement.TakeUses(), Slowdowns: e.placement.Slowdowns(now), Versions: tables.Versions, Eras: tables.Eras, Kept: tables.Kept, ReturnAgeMs: e.returnAgeMs(now),
		ConfigVersion: e.dispatcher.Version(), ProofAgeMs: -1, CannotReadStore: e.readFailing(now), StoreSilentMs: -1, StoreFailureAgeMs: -1, TierStats: e.dispatcher.TierStats(now), Holder: e.announcedHolder(now), Crashing: e.quarantine.GossipEntries(now, window), CrashingParts: e.parts.GossipEntries(now, window), Limits: e.limits.GossipEntries(now, window), Leaving: e.discovery.GossipEntries(now, window), Evicted: e.cacheWatcher.TakeEvicted(),
		TeamWork: e.dispatcher.TeamWork(now), LowerAdmitted: e.dispatcher.LowerAdmitted(now),
		Unreachable: unreachable, Partitioned: e.partitioned(unreachable), ForwardPort: e.forwardPort(), Brittle: e.placement.Brittle(now), PinsStreams: true, PoolVersions: e.versions.GossipEntries(now),
	}
	s.PoolEras = pinning.Eras(s.PoolVersions)
	if age, ok := e.proof.Age(now); ok {
		s.ProofAgeMs = age.Milliseconds() + 1 // Rounded up, since a proof must not get younger on its way.
	}
	if silent >= 0 {
		s.StoreSilentMs = silent.Milliseconds()
	}
	if lost := e.storeFailedAt.Load(); lost != nil && silent >= 0 {
		s.StoreFailureAgeMs = now.Sub(*lost).Milliseconds()
	}
	return s
}

// HandlePeerState processes a peer's report; received is when this node sent the last message that the peer
// had received by then, zero if there is none. The age of the peer's proof is counted from
// received, which is on this node's clock and not later than the report.
func (e *Edge) HandlePeerState(now time.Time, p gossip.NodeInfo, s gossip.State, received time.Time) {
	tables := feed.Announcement{Versions: s.Versions, Eras: s.Eras, Kept: s.Kept}
	known := tables.Position(platform.TableEngines)
	e.placement.UpdatePeer(now, p.Name, known, s.Loads, s.Uses)
	e.placement.EvictFromPeer(now, known, s.Evicted) // After the uses, which are newer.
	e.placement.UpdateSlowdowns(now, known, s.Slowdowns)
	e.dispatcher.SetPeerTierStats(now, p.Name, s.TierStats)
	e.dispatcher.SetPeerTeamWork(now, p.Name, s.TeamWork)
	e.dispatcher.SetPeerLowerAdmitted(now, p.Name, s.LowerAdmitted)
	e.quarantine.MergeGossip(now, quarantine.JoinRuns(s.Crashing, s.CrashRuns))
	e.parts.MergeGossip(now, s.CrashingParts)
	e.limits.MergeGossip(now, s.Limits)
	e.placement.MergeBrittle(now, s.Brittle)
	e.discovery.MergeGossip(now, s.Leaving)
	e.receiveHolder(now, s.Holder)
	e.versions.MergeGossip(now, s.PoolVersions, s.PoolEras)
	e.noteIncarnation(now, p)
	e.follower.Observe(now, p.PeerAddress, tables)
	e.heardOfReturn(now, s)
	if s.ProofAgeMs >= 0 && !received.IsZero() && s.ConfigVersion > 0 && s.ConfigVersion <= e.dispatcher.Version() {
		e.provenByPeer(received, time.Duration(s.ProofAgeMs)*time.Millisecond)
	}
	if s.StoreFailureAgeMs >= 0 {
		e.storeLost(now.Add(-time.Duration(s.StoreFailureAgeMs) * time.Millisecond))
	}
}

// provenByPeer records a peer's proof of the configuration, of some age at a time. The peer may have started after
// the store came back from a copy and know nothing else.
func (e *Edge) provenByPeer(received time.Time, age time.Duration) {
	if at := received.Add(-age); !e.mayLackWrites(at) {
		e.proof.Renew(at)
	}
}

// maySendTrial reports whether this node is the one, of those that serve callers, that sends the
// trial of a held request or prompt part. Nodes that hear from different peers may both be.
func (e *Edge) maySendTrial(now time.Time, name string) bool {
	self := e.gossip.IsHub() && !e.partitioned(e.reach.Unreachable())
	_, self, _ = e.selectHub(now, name, self, func(p gossip.Peer) bool { return p.State.Ready && !p.State.Partitioned })
	return self
}
