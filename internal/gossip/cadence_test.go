package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// newTestGossip returns a gossip that does not run and knows some peers of two
// halls, half of them in each; every third is busy.
func newTestGossip(t *testing.T, now time.Time, peers int) *Gossip {
	t.Helper()
	g, err := New(Self{Name: "self", PeerAddress: "127.0.0.1:0", Hall: "h0"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.conn.Close() })
	for i := range peers {
		s := Self{Name: fmt.Sprint("p", i), Incarnation: 1, PeerAddress: "127.0.0.1:9", Hall: fmt.Sprint("h", i%2)}
		g.Meet(now, s)
		g.peers[s.Name].heard = now
		g.peers[s.Name].Said.SilentMs = -1
		if i%3 == 0 {
			g.peers[s.Name].Said.Rate = 2 * busyRate
		}
	}
	return g
}

// TestIdleNodesAreToldRarely holds how often each kind of peer gets a message where
// nodes are many, that none waits longer than peers count as alive, and that all get
// every message where nodes are few.
func TestIdleNodesAreToldRarely(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGossip(t, now, 30)
	const turns = 3 * farIdle
	count := func(said Said) map[string]int {
		g.told(said)
		got := map[string]int{}
		for turn := range turns {
			for _, to := range g.targets(now, turn) {
				got[to.Name]++
			}
		}
		return got
	}
	busy, idle, reads := count(Said{Rate: 2 * busyRate, SilentMs: -1}), count(Said{SilentMs: -1}), count(Said{})
	want := map[string]struct{ busy, idle int }{
		"p0": {turns / nearTurns, turns / nearIdle}, // busy, near
		"p3": {turns / farTurns, turns / farIdle},   // busy, far
		"p2": {turns / nearIdle, turns / nearIdle},  // idle, near
		"p1": {turns / farIdle, turns / farIdle},    // idle, far
	}
	for name, n := range want {
		if reads[name] != map[bool]int{true: turns / nearTurns, false: turns / farTurns}[g.peers[name].Hall == "h0"] {
			t.Errorf("%s gets %d messages of a node that reads the store", name, reads[name])
		}
		if busy[name] != n.busy || idle[name] != n.idle {
			t.Errorf("%s gets %d messages of a busy node and %d of an idle one, want %d and %d", name, busy[name], idle[name], n.busy, n.idle)
		}
	}
	for name := range want {
		p := *g.peers[name]
		longest := time.Duration(g.turns(&p)) * every
		p.heard = now.Add(-2 * longest)
		if !g.alive(now, &p) {
			t.Errorf("%s misses one message and counts as dead: %v between two", name, longest)
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
	got := 0
	for turn := range 2 * slowDown {
		got += len(g.targets(now.Add(quietFor+time.Second), turn))
	}
	if got != 2*30 {
		t.Errorf("%d messages to 30 quiet peers in %d turns, want 60", got, 2*slowDown)
	}
}

// TestPeersMissNoUses holds that a peer that gets a message only in some turns is
// told of the prompt parts used in the turns between, and an idle one of another hall
// of no work at all.
func TestPeersMissNoUses(t *testing.T) {
	g := newTestGossip(t, time.Unix(1000, 0), 0)
	const newest = 10
	for turn := range newest + 1 {
		g.uses[turn%len(g.uses)] = []placement.Use{{Part: uint64(turn)}}
	}
	said := Said{Rate: 9, Loads: map[string]placement.Load{"e": {InFlight: 1}}}
	for _, turns := range []int{nearTurns, farTurns, nearIdle} {
		got := g.saidTo(said, newest, turns)
		if len(got.Uses) != turns || got.Uses[0].Part != newest || got.Uses[turns-1].Part != uint64(newest+1-turns) || len(got.Loads) != 1 {
			t.Errorf("of %d turns: %+v", turns, got)
		}
	}
	if got := g.saidTo(said, 0, nearIdle); len(got.Uses) != 1 {
		t.Errorf("in the first turn: %+v, want its own uses", got)
	}
	if got := g.saidTo(said, newest, farIdle); len(got.Uses) != 0 || len(got.Loads) != 0 || got.Rate != 9 {
		t.Errorf("to idle nodes of other halls: %+v", got)
	}
}
