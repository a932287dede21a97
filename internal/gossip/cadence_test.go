package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// newTestGossip returns a gossip that is not connected and knows some peers of two
// halls, half of them in each; every third is busy, and the first four are hubs.
func newTestGossip(t *testing.T, now time.Time, peers int) *Gossip {
	t.Helper()
	g := newGossip(Self{Name: "self", PeerAddress: "127.0.0.1:0", Hall: "h0"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.hubs = map[string]bool{}
	for i := range peers {
		s := Self{Name: fmt.Sprint("p", i), Incarnation: 1, PeerAddress: "127.0.0.1:9", Hall: fmt.Sprint("h", i%2)}
		g.Meet(now, s)
		p := g.peers[s.Name]
		p.heard = now
		if g.hubs[s.Name] = i < 4; i < 4 {
			p.hubs = []string{"p0"}
		}
		if i%3 == 0 {
			p.Said.Rate = 2 * busyRate
		}
	}
	return g
}

// TestWhoIsToldHowOften holds how often each kind of peer gets a message where
// nodes are many, that none waits longer than peers count as alive, and that all get
// every message where nodes are few.
func TestWhoIsToldHowOften(t *testing.T) {
	now := time.Unix(1000, 0)
	const turns = 10 * spokeTurns
	count := func(hub bool, said Said) map[string]int {
		g := newTestGossip(t, now, 30)
		g.hub = hub
		g.told(said)
		g.urgent = false
		got := map[string]int{}
		for turn := range turns {
			for _, to := range g.targets(now, turn) {
				got[to.Name]++
			}
		}
		return got
	}
	hub, spoke, busy := count(true, Said{Rate: 2 * busyRate}), count(false, Said{}), count(false, Said{Rate: 2 * busyRate})
	want := map[string]struct{ hub, spoke, busy int }{
		"p2": {turns / nearTurns, turns / spokeTurns, turns / busyTurns}, // near hub
		"p3": {turns / farTurns, 0, 0},                                   // far hub
		"p4": {turns / spokeTurns, 0, 0},                                 // near spoke
		"p6": {turns / busyTurns, 0, 0},                                  // busy near spoke
		"p9": {0, 0, 0},                                                  // far spoke
	}
	for name, n := range want {
		if hub[name] != n.hub || spoke[name] != n.spoke || busy[name] != n.busy {
			t.Errorf("%s gets %d messages of a hub, %d of a spoke and %d of a busy spoke, want %+v", name, hub[name], spoke[name], busy[name], n)
		}
	}
	for _, hub := range []bool{true, false} {
		g := newTestGossip(t, now, 30)
		g.hub = hub
		for name, p := range g.peers {
			p.heard = now.Add(-2 * time.Duration(g.turns(p)) * every)
			if g.turns(p) > 0 && !g.alive(now, p) {
				t.Errorf("%s misses one message and counts as dead for a node that is a hub: %t", name, hub)
			}
		}
	}
	if got := len(newTestGossip(t, now, manyPeers).targets(now, 1)); got != manyPeers {
		t.Errorf("%d of %d peers get a message where nodes are few", got, manyPeers)
	}
}

// TestQuietPeersAreAskedNowAndThen holds that a peer that was long not heard still
// gets messages, whatever the turns in which it would get others.
func TestQuietPeersAreAskedNowAndThen(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGossip(t, now, 30)
	g.hub = true
	const asked = 15 + 2 // all of its hall, and the hubs of the other
	got := 0
	for turn := range 2 * slowDown {
		got += len(g.targets(now.Add(quietFor+time.Second), turn))
	}
	if got != 2*asked {
		t.Errorf("%d messages to %d quiet peers in %d turns, want %d", got, asked, 2*slowDown, 2*asked)
	}
}

// TestPeersMissNoUses holds that a peer that gets a message only in some turns is
// told of the prompt parts used in the turns between, and a spoke without work of no work
// at all.
func TestPeersMissNoUses(t *testing.T) {
	g := newTestGossip(t, time.Unix(1000, 0), 0)
	const newest = 10
	for turn := range newest + 1 {
		g.uses[turn%len(g.uses)] = []placement.Use{{Part: uint64(turn)}}
	}
	said := Said{Rate: 9, Loads: map[string]placement.Load{"e": {InFlight: 1}}}
	for _, turns := range []int{nearTurns, farTurns, busyTurns} {
		got := g.saidTo(said, newest, turns)
		if len(got.Uses) != turns || got.Uses[0].Part != newest || got.Uses[turns-1].Part != uint64(newest+1-turns) || len(got.Loads) != 1 {
			t.Errorf("of %d turns: %+v", turns, got)
		}
	}
	if got := g.saidTo(said, 0, farTurns); len(got.Uses) != 1 {
		t.Errorf("in the first turn: %+v, want its own uses", got)
	}
	if got := g.saidTo(said, newest, spokeTurns); len(got.Uses) != 0 || len(got.Loads) != 0 || got.Rate != 9 {
		t.Errorf("to spokes without work: %+v", got)
	}
}

// scripted is a node that says what a test sets.
type scripted struct{ said Said }

func (s *scripted) Say(time.Time) Said                     { return s.said }
func (s *scripted) Heard(time.Time, Self, Said, time.Time) {}

// TestUsesOfBeforeAChangeOfEnginesAreNotTold holds that prompt parts which were given to engines before this
// node took newer entries are not told with the newer version: they may be of a former incarnation.
func TestUsesOfBeforeAChangeOfEnginesAreNotTold(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGossip(t, now, 30)
	node := &scripted{}
	g.node = node
	use := func(part uint64) []placement.Use { return []placement.Use{{Engine: "e", Part: part}} }
	compose := func(turn int, version int64, part uint64) []placement.Use {
		node.said = Said{Versions: map[string]int64{"servers": version}, Uses: use(part)}
		g.compose(func() time.Time { return now }, turn)
		return g.saidTo(node.said, turn, usesKept).Uses
	}
	compose(0, 5, 1)
	if got := compose(1, 5, 2); len(got) != 2 {
		t.Errorf("with the same entries %v is told, want what was used in two turns", got)
	}
	if got := compose(2, 6, 3); len(got) != 1 || got[0].Part != 3 {
		t.Errorf("after a change of entries %v is told, want only what was used since", got)
	}
}

// TestWhatCrashesEnginesIsTold holds that what is new of requests under which engines ended comes in two messages at least to
// each peer, whatever its turns, and that one of old which is held comes with the first message to a peer, and now and then.
func TestWhatCrashesEnginesIsTold(t *testing.T) {
	start := time.Unix(1000, 0)
	g := newTestGossip(t, start, 30)
	g.hub = true
	node := &scripted{}
	g.node = node
	news, old := map[string]int{}, map[string]int{}
	const turns = 2 * allTurns * farTurns
	for turn := range turns {
		now := start.Add(time.Duration(turn) * every)
		for _, p := range g.peers {
			p.heard = now
		}
		node.said = Said{Crashing: []quarantine.GossipEntry{{Fingerprint: 1, Age: now.Sub(start)}, {Fingerprint: 2, Age: time.Hour}}}
		if turn*int(every) > int(NewsLife) {
			node.said.Crashing = node.said.Crashing[1:]
		}
		for _, o := range g.compose(func() time.Time { return now }, turn) {
			var said Said
			if err := cbor.Unmarshal(o.Said, &said); err != nil {
				t.Fatal(err)
			}
			for _, told := range said.Crashing {
				if told.Fingerprint == 1 {
					news[o.to.Name]++
					continue
				}
				old[o.to.Name]++
			}
		}
	}
	if len(news) == 0 {
		t.Fatal("nobody was told")
	}
	for name, n := range news {
		most := 2 + turns/allTurns
		if n < 2 || n > 6 || old[name] < 1 || old[name] > most {
			t.Errorf("%s was told %d times of what is new, want 2 to 6, and %d times of what is old, want 1 to %d", name, n, old[name], most)
		}
	}
}
