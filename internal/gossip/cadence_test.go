package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// newTestGossip returns a Gossip without a connection that knows some peers, half of them in each of
// two halls. Every third peer is busy, and the first four are hubs.
func newTestGossip(t *testing.T, now time.Time, peers int) *Gossip {
	t.Helper()
	g := newGossip(NodeInfo{Name: "self", PeerAddress: "127.0.0.1:0", Hall: "h0"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.hubs = map[string]bool{}
	for i := range peers {
		s := NodeInfo{Name: fmt.Sprint("p", i), Incarnation: 1, PeerAddress: "127.0.0.1:9", Hall: fmt.Sprint("h", i%2)}
		g.AddPeer(now, s)
		p := g.peers[s.Name]
		p.heardAt = now
		if g.hubs[s.Name] = i < 4; i < 4 {
			p.chosenHubs = []string{"p0"}
		}
		if i%3 == 0 {
			p.State.Rate = 2 * busyRate
		}
	}
	return g
}

// TestMessageIntervals checks how often each kind of peer gets a message in a large cluster, that no
// interval exceeds the alive timeout, and that all peers get every message in a small one.
func TestMessageIntervals(t *testing.T) {
	now := time.Unix(1000, 0)
	const rounds = 10 * spokeRounds
	count := func(hub bool, state State) map[string]int {
		g := newTestGossip(t, now, 30)
		g.isHub = hub
		g.recordState(state)
		g.urgent = false
		got := map[string]int{}
		for round := range rounds {
			for _, to := range g.targets(now, round) {
				got[to.Name]++
			}
		}
		return got
	}
	hub, spoke, busy := count(true, State{Rate: 2 * busyRate}), count(false, State{}), count(false, State{Rate: 2 * busyRate})
	want := map[string]struct{ hub, spoke, busy int }{
		"p2": {rounds / sameHallRounds, rounds / spokeRounds, rounds / busySpokeRounds}, // near hub
		"p3": {rounds / crossHallRounds, 0, 0},                                          // far hub
		"p4": {rounds / spokeRounds, 0, 0},                                              // near spoke
		"p6": {rounds / busySpokeRounds, 0, 0},                                          // busy near spoke
		"p9": {0, 0, 0},                                                                 // far spoke
	}
	for name, n := range want {
		if hub[name] != n.hub || spoke[name] != n.spoke || busy[name] != n.busy {
			t.Errorf("%s gets %d messages from a hub, %d from a spoke and %d from a busy spoke, want %+v", name, hub[name], spoke[name], busy[name], n)
		}
	}
	for _, hub := range []bool{true, false} {
		g := newTestGossip(t, now, 30)
		g.isHub = hub
		for name, p := range g.peers {
			p.heardAt = now.Add(-2 * time.Duration(g.roundsBetween(p)) * roundInterval)
			if g.roundsBetween(p) > 0 && !g.alive(now, p) {
				t.Errorf("%s counts as dead after one lost message, for a node that is a hub: %t", name, hub)
			}
		}
	}
	if got := len(newTestGossip(t, now, maxFullMeshPeers).targets(now, 1)); got != maxFullMeshPeers {
		t.Errorf("%d of %d peers get a message in a small cluster", got, maxFullMeshPeers)
	}
}

// TestSilentPeersStillGetMessages checks that a peer that has been silent for long still gets
// messages, one every silentPeerRounds whatever its normal interval.
func TestSilentPeersStillGetMessages(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGossip(t, now, 30)
	g.isHub = true
	const reached = 15 + 2 // all of its hall, and the hubs of the other
	got := 0
	for round := range 2 * silentPeerRounds {
		got += len(g.targets(now.Add(silentTimeout+time.Second), round))
	}
	if got != 2*reached {
		t.Errorf("%d messages to %d silent peers in %d rounds, want %d", got, reached, 2*silentPeerRounds, 2*reached)
	}
}

// TestPeersReceiveAllUses checks that a peer that gets a message only every few rounds gets the prompt
// parts used in the rounds between, and that an idle spoke gets no load at all.
func TestPeersReceiveAllUses(t *testing.T) {
	g := newTestGossip(t, time.Unix(1000, 0), 0)
	const newest = 10
	for round := range newest + 1 {
		g.recentUses[round%len(g.recentUses)] = []placement.Use{{Part: uint64(round)}}
	}
	state := State{Rate: 9, Loads: map[string]placement.Load{"e": {InFlight: 1}}}
	for _, rounds := range []int{sameHallRounds, crossHallRounds, busySpokeRounds} {
		got := g.stateFor(state, newest, rounds)
		if len(got.Uses) != rounds || got.Uses[0].Part != newest || got.Uses[rounds-1].Part != uint64(newest+1-rounds) || len(got.Loads) != 1 {
			t.Errorf("state for an interval of %d rounds: %+v", rounds, got)
		}
	}
	if got := g.stateFor(state, 0, crossHallRounds); len(got.Uses) != 1 {
		t.Errorf("in the first round: %+v, want its own uses", got)
	}
	if got := g.stateFor(state, newest, spokeRounds); len(got.Uses) != 0 || len(got.Loads) != 0 || got.Rate != 9 {
		t.Errorf("state for idle spokes: %+v, want no loads", got)
	}
}

// fakeNode is a node that reports the state set by a test.
type fakeNode struct{ state State }

func (s *fakeNode) LocalState(time.Time) State                            { return s.state }
func (s *fakeNode) HandlePeerState(time.Time, NodeInfo, State, time.Time) {}

// TestNewVersionsDropEarlierUses checks that uses from before this node took a newer table version are
// not sent with that version: they may belong to an earlier incarnation of the engine.
func TestNewVersionsDropEarlierUses(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGossip(t, now, 30)
	node := &fakeNode{}
	g.node = node
	use := func(part uint64) []placement.Use { return []placement.Use{{Engine: "e", Part: part}} }
	compose := func(round int, version int64, part uint64) []placement.Use {
		node.state = State{Versions: map[string]int64{"servers": version}, Uses: use(part)}
		g.compose(func() time.Time { return now }, round)
		return g.stateFor(node.state, round, usesHistory).Uses
	}
	compose(0, 5, 1)
	if got := compose(1, 5, 2); len(got) != 2 {
		t.Errorf("with the same version %v is sent, want the uses of two rounds", got)
	}
	if got := compose(2, 6, 3); len(got) != 1 || got[0].Part != 3 {
		t.Errorf("after a new version %v is sent, want only the uses since then", got)
	}
}

// TestCrashingRequestsReachAllPeers checks that a recent entry is in at least two messages to each
// peer, whatever the peer's interval, and that an old entry that is still held is in the first message
// to a peer and in one every fullStateRounds.
func TestCrashingRequestsReachAllPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	g := newTestGossip(t, start, 30)
	g.isHub = true
	node := &fakeNode{}
	g.node = node
	recent, old := map[string]int{}, map[string]int{}
	const rounds = 2 * fullStateRounds * crossHallRounds
	for round := range rounds {
		now := start.Add(time.Duration(round) * roundInterval)
		for _, p := range g.peers {
			p.heardAt = now
		}
		node.state = State{Crashing: []quarantine.GossipEntry{{Fingerprint: 1, Age: now.Sub(start)}, {Fingerprint: 2, Age: time.Hour}}}
		if round*int(roundInterval) > int(updateLifetime) {
			node.state.Crashing = node.state.Crashing[1:]
		}
		for _, o := range g.compose(func() time.Time { return now }, round) {
			var state State
			if err := cbor.Unmarshal(o.State, &state); err != nil {
				t.Fatal(err)
			}
			for _, entry := range state.Crashing {
				if entry.Fingerprint == 1 {
					recent[o.to.Name]++
					continue
				}
				old[o.to.Name]++
			}
		}
	}
	if len(recent) == 0 {
		t.Fatal("no peer got the recent entry")
	}
	for name, n := range recent {
		maxOld := 2 + rounds/fullStateRounds
		if n < 2 || n > 6 || old[name] < 1 || old[name] > maxOld {
			t.Errorf("%s got the recent entry %d times, want 2 to 6, and the old one %d times, want 1 to %d", name, n, old[name], maxOld)
		}
	}
}

// TestLateRoundsLoseNoUpdate guards against an entry that is in no message since the sender's rounds came late: peers
// then learned of it seconds later, with the full state.
func TestLateRoundsLoseNoUpdate(t *testing.T) {
	for _, peers := range []int{4, 30} {
		for _, late := range []time.Duration{0, 350 * time.Millisecond, 2 * time.Second} {
			start := time.Unix(1000, 0)
			g := newTestGossip(t, start, peers)
			g.isHub = true
			node := &fakeNode{}
			g.node = node
			got, want, learned, now := map[string]int{}, map[string]int{}, start.Add(time.Hour), start
			const learnedIn = 21 // No peer gets its full state in the rounds after it.
			for round := range fullStateRounds {
				now = now.Add(roundInterval + late)
				for _, p := range g.peers {
					p.heardAt = now
				}
				node.state = State{}
				if age := now.Sub(learned); age >= 0 && age <= g.RecentWindow(now) {
					node.state.Crashing = []quarantine.GossipEntry{{Fingerprint: 1, Age: age}}
				}
				for _, o := range g.compose(func() time.Time { return now }, round) {
					var state State
					if err := cbor.Unmarshal(o.State, &state); err != nil {
						t.Fatal(err)
					}
					got[o.to.Name] += len(state.Crashing)
					want[o.to.Name] = 2
					if o.to.rounds == spokeRounds {
						want[o.to.Name] = 1 // Messages to idle spokes are too rare for two.
					}
				}
				if round == learnedIn {
					learned = now.Add(time.Millisecond)
				}
			}
			for name, n := range got {
				if n < want[name] || n > 6 {
					t.Errorf("%d peers, rounds late by %v: %s got the entry %d times, want %d to 6", peers, late, name, n, want[name])
				}
			}
		}
	}
}

// TestEvictionsAreInTwoMessages checks that a peer gets each eviction in two messages whatever its
// interval, so that the loss of one does not matter, and that idle spokes get none.
func TestEvictionsAreInTwoMessages(t *testing.T) {
	g := newTestGossip(t, time.Unix(1000, 0), 0)
	for _, rounds := range []int{sameHallRounds, crossHallRounds, busySpokeRounds, spokeRounds} {
		got := map[uint64]int{}
		const last = 20
		for round := range last + 1 {
			g.recentEvictions[round%len(g.recentEvictions)] = []placement.Use{{Part: uint64(round)}}
			if round%rounds == 0 {
				for _, u := range g.stateFor(State{}, round, rounds).Evicted {
					got[u.Part]++
				}
			}
		}
		want := 2
		if rounds == spokeRounds {
			want = 0
		}
		for round := range uint64(last - 2*usesHistory) {
			if got[round] != want {
				t.Errorf("interval of %d rounds: the eviction of round %d is in %d messages, want %d", rounds, round, got[round], want)
			}
		}
	}
}

// TestEvictionsAreBounded checks that a message has the newest evictions that fit, newest first, that
// the others are counted, and that those from before a new table version are dropped: they may belong
// to an earlier incarnation of the engine.
func TestEvictionsAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		engine string
		most   int
	}{"short IDs": {"e", 512}, "long IDs": {strings.Repeat("e", 200), 100}} {
		t.Run(name, func(t *testing.T) {
			g := newTestGossip(t, time.Unix(1000, 0), 0)
			const each = 400
			for round := range 2 {
				for i := range each {
					g.recentEvictions[round] = append(g.recentEvictions[round], placement.Use{Engine: test.engine, Part: uint64(round*each + i)})
				}
			}
			got := g.stateFor(State{}, 1, sameHallRounds).Evicted
			if len(got) == 0 || len(got) > test.most || got[0].Part != 2*each-1 || got[len(got)-1].Part != uint64(2*each-len(got)) {
				t.Fatalf("%d evictions, want up to %d of the newest", len(got), test.most)
			}
			if left := g.EvictionsLeftOut(); left != int64(2*each-len(got)) {
				t.Errorf("%d evictions count as left out, %d are in the message", left, len(got))
			}
			g.recordState(State{Versions: map[string]int64{"servers": 1}})
			if got := g.stateFor(State{}, 1, sameHallRounds).Evicted; len(got) > 0 {
				t.Errorf("%d evictions are sent with a new version", len(got))
			}
		})
	}
}
