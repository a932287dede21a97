package edge

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/platform"
)

const (
	// readers is how many nodes read the platform's tables; the others hear of
	// changes from them. Two, so that the loss of one delays nothing.
	readers = 2

	// readMoreAfter is the age of the proof at which twice as many nodes read, and
	// four times as many half as long later: those that read now do not succeed.
	readMoreAfter = 2 * time.Second

	// manyNodes is how many other nodes make one that starts wait for them.
	manyNodes = 12

	// registerWait is how long a node that starts waits for the register, and
	// peersWait for its peers, before it reads by itself; a call to the store takes
	// some 10 ms, a message to peers comes each 100 ms.
	registerWait = 150 * time.Millisecond
	peersWait    = 600 * time.Millisecond

	// cantReadFor is how long a node whose call failed leaves reading to others.
	cantReadFor = 3 * time.Second
)

// reads reports whether this node should read the platform's tables: whether it
// is among the first by hash of the nodes that are alive and can read. A node
// that hears nobody always reads.
func (e *Edge) reads(now time.Time) bool {
	limit := readers
	age, ok := e.proof.Age(now)
	switch {
	case !ok:
		return e.readsAtStart(now)
	case age > readMoreAfter*3/2:
		limit *= 4
	case age > readMoreAfter:
		limit *= 2
	}
	peers := e.gossip.Peers(now)
	if len(peers) < limit {
		return true
	}
	type candidate struct {
		name  string
		fails bool
		hash  uint64
	}
	list := []candidate{{e.settings.Instance, e.cantRead(now), xxhash.Sum64String(e.settings.Instance)}}
	for _, p := range peers {
		list = append(list, candidate{p.Name, p.Said.CantRead, xxhash.Sum64String(p.Name)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].fails != list[j].fails {
			return !list[i].fails
		}
		return list[i].hash < list[j].hash
	})
	for _, c := range list[:limit] {
		if c.name == e.settings.Instance {
			return true
		}
	}
	return false
}

// readsAtStart reports whether this node should read the tables before it has a
// proof. Where many nodes are known and may start together, a few do at once, and
// the others only if these have not told them by then.
func (e *Edge) readsAtStart(now time.Time) bool {
	age := now.Sub(e.startedAt)
	if !e.register.Read() {
		return age > registerWait
	}
	names := e.gossip.Met()
	if len(names) < manyNodes || age > peersWait {
		return true
	}
	before := 0
	own := xxhash.Sum64String(e.settings.Instance)
	for _, name := range names {
		if xxhash.Sum64String(name) < own {
			before++
		}
	}
	return before < 2*readers
}

// nodes returns how many nodes share the limits of retries: all that are known,
// heard or not, since nodes that do not hear each other still send. Before the
// register was read there may be any number.
func (e *Edge) nodes() int {
	if !e.register.Read() {
		return math.MaxInt32
	}
	return len(e.gossip.Met()) + 1
}

// cantRead reports whether the last call to the store failed lately.
func (e *Edge) cantRead(now time.Time) bool {
	lost := e.lostAt.Load()
	return lost != nil && now.Sub(*lost) < cantReadFor
}

// lost records that the store could not be called.
func (e *Edge) lost(now time.Time) {
	e.lostAt.Store(&now)
	e.discovery.Lost(now)
}

// proven records a moment at which the configuration in force was the newest.
func (e *Edge) proven(at time.Time) { e.proof.Renew(at) }

// takeConfig puts a changed configuration in force; it is a feed.Consumer.
func (e *Edge) takeConfig(_ time.Time, rows []feed.Row) {
	table, err := platform.Config(rows)
	if err != nil {
		e.log.Error("configuration not understood; it is not in force", "error", err.Error())
		return
	}
	if table == nil {
		return
	}
	before := e.dispatcher.Version()
	taken := e.dispatcher.SetTable(table)
	e.log.Info("configuration", "version", table.Version, "before", before, "taken", taken)
}

// Say returns what the peers are told of this node.
func (e *Edge) Say(now time.Time) gossip.Said {
	s := gossip.Said{
		Ready: e.Ready(now), Stopping: e.dispatcher.Ready(now) == dispatch.Stopping, Loads: e.placement.Loads(), Uses: e.placement.TakeUses(), Versions: e.follower.Versions(),
		ConfigVersion: e.dispatcher.Version(), ProofAgeMs: -1, CantRead: e.cantRead(now), LostAgeMs: -1,
	}
	if age, ok := e.proof.Age(now); ok {
		s.ProofAgeMs = age.Milliseconds() + 1 // It is rounded up: a proof must not grow younger on its way.
	}
	if lost := e.lostAt.Load(); lost != nil && e.reads(now) {
		s.LostAgeMs = now.Sub(*lost).Milliseconds()
	}
	return s
}

// Heard takes what a peer said. Its proof is as old as it said at a moment after
// it had received this node's message, which is on this node's clock.
func (e *Edge) Heard(now time.Time, p gossip.Self, s gossip.Said, received time.Time) {
	e.placement.Peer(now, p.Name, s.Loads, s.Uses)
	e.follower.Heard(p.PeerAddress, s.Versions)
	if s.ProofAgeMs >= 0 && !received.IsZero() && s.ConfigVersion > 0 && s.ConfigVersion <= e.dispatcher.Version() {
		e.proof.Renew(received.Add(-time.Duration(s.ProofAgeMs) * time.Millisecond))
	}
	if s.LostAgeMs >= 0 {
		e.discovery.Lost(now.Add(-time.Duration(s.LostAgeMs) * time.Millisecond))
	}
}
