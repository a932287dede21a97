package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

var start = time.Unix(1000, 0)

// newPlacement returns a placement with n engines of one pool.
func newPlacement(n int) *placement.Placement {
	p := placement.New("hall")
	for i := range n {
		p.Set(placement.Engine{ID: fmt.Sprintf("e%d", i), Pool: "p", Hall: "hall", Slots: 64})
	}
	return p
}

// long returns a request with a long prompt in a session.
func long(session int) placement.Request {
	return placement.Request{Pool: "p", Prompt: placement.Prompt{Tokens: 9000, Shared: []placement.Part{
		placement.NewPart("root", 2500), placement.NewPart(fmt.Sprint("session", session), 3700),
	}}}
}

// stream returns a request for a stream that tolerates only short gaps.
func stream(session int) placement.Request {
	return placement.Request{Pool: "p", MaxGap: 250 * time.Millisecond, TokensPerEvent: 6, Prompt: placement.Prompt{Tokens: 700, Shared: []placement.Part{
		placement.NewPart(fmt.Sprint("short", session), 150),
	}}}
}

// choose returns the chosen engine and fails the test if there is none.
func choose(t *testing.T, p *placement.Placement, now time.Time, r placement.Request) placement.Choice {
	t.Helper()
	c, ok := p.Choose(now, r)
	if !ok {
		t.Fatal("no engine")
	}
	return c
}

// TestSessionStaysWhereItIsCached checks that requests of a session go to the engine that has
// its prompt cached, and to another one if the queue there is long.
func TestSessionStaysWhereItIsCached(t *testing.T) {
	p := newPlacement(9)
	first := choose(t, p, start, long(1))
	call := p.Start(start, first, long(1))
	call.Began(start.Add(200 * time.Millisecond))
	call.End(start.Add(time.Second), placement.Answered)
	now := start.Add(2 * time.Second)
	again := choose(t, p, now, long(1))
	if again.Engine.ID != first.Engine.ID || again.PrefillTokens != 9000-6200 {
		t.Errorf("then %s with %d tokens to process, first %s", again.Engine.ID, again.PrefillTokens, first.Engine.ID)
	}
	for range 20 {
		p.Start(now, again, placement.Request{Pool: "p", Prompt: placement.Prompt{Tokens: 9000}})
	}
	if other := choose(t, p, now, long(1)); other.Engine.ID == first.Engine.ID {
		t.Errorf("still %s, with an expected wait of %v ms", other.Engine.ID, other.Wait)
	}
}

// TestNodesWithoutStateChooseTheSameEngine checks that nodes choose the same engine for a session which
// none of them has seen, and that sessions are spread over engines.
func TestNodesWithoutStateChooseTheSameEngine(t *testing.T) {
	a, b := newPlacement(9), newPlacement(9)
	used := map[string]bool{}
	for s := range 40 {
		x, y := choose(t, a, start, long(s)), choose(t, b, start, long(s))
		if x.Engine.ID != y.Engine.ID {
			t.Errorf("session %d: %s and %s", s, x.Engine.ID, y.Engine.ID)
		}
		used[x.Engine.ID] = true
	}
	if len(used) < 6 {
		t.Errorf("40 sessions went to %d of 9 engines", len(used))
	}
}

// TestPeerReportsCountAsCacheAndLoad checks that prompt parts reported by a peer count as cached and its
// load as load at the engine, and that the load expires when the peer stops reporting.
func TestPeerReportsCountAsCacheAndLoad(t *testing.T) {
	p := newPlacement(2)
	p.UpdatePeer(start, "peer", history.Position{}, map[string]placement.Load{"e0": {PrefillTokens: 20000, InFlight: 4}}, []placement.Use{
		{Engine: "e0", Part: placement.NewPart("root", 0).ID}, {Engine: "e0", Part: placement.NewPart("session1", 0).ID},
	})
	if c := choose(t, p, start, placement.Request{Pool: "p", Prompt: placement.Prompt{Tokens: 500}}); c.Engine.ID != "e1" {
		t.Errorf("chose %s, where the peer's requests are queued", c.Engine.ID)
	}
	later := start.Add(5 * time.Second)
	if c := choose(t, p, later, long(1)); c.Engine.ID != "e0" || c.PrefillTokens != 2800 {
		t.Errorf("chose %s with %d tokens to process, want e0, which has the session cached", c.Engine.ID, c.PrefillTokens)
	}
}

// TestLongPromptsAvoidGapSensitiveStreams checks that streams which tolerate only short gaps share
// few engines, and that long prompts are not queued on those.
func TestLongPromptsAvoidGapSensitiveStreams(t *testing.T) {
	p := newPlacement(9)
	streams := map[string]bool{}
	for s := range 20 {
		c := choose(t, p, start, stream(s))
		streams[c.Engine.ID] = true
		p.Start(start, c, stream(s)).Began(start)
	}
	if len(streams) > 4 {
		t.Errorf("20 streams went to %d of 9 engines", len(streams))
	}
	for s := range 12 {
		c := choose(t, p, start, long(s))
		if streams[c.Engine.ID] {
			t.Errorf("long prompt %d went to %s, where streams run", s, c.Engine.ID)
		}
		p.Start(start, c, long(s))
	}
}

// TestFailingEngineIsAvoidedAndTriedAgain checks that an engine is avoided according to its
// failure share, that failures expire, and that engines are still used if all of them fail.
func TestFailingEngineIsAvoidedAndTriedAgain(t *testing.T) {
	p := newPlacement(3)
	r := placement.Request{Pool: "p"}
	bad := choose(t, p, start, r).Engine.ID
	fail := func(id string) {
		e, _ := p.Engine(id)
		for range 3 {
			p.Start(start, placement.Choice{Engine: e}, r).End(start, placement.Failed)
		}
	}
	fail(bad)
	if got := choose(t, p, start, r).Engine.ID; got == bad {
		t.Errorf("still %s", got)
	}
	for _, id := range []string{"e0", "e1", "e2"} {
		if id != bad {
			fail(id)
		}
	}
	choose(t, p, start, r)
	if got := choose(t, p, start.Add(30*time.Second), r).Engine.ID; got != bad {
		t.Errorf("after a while %s, want %s as at first", got, bad)
	}
}

// TestSilentEngineIsAvoided checks that an engine which sends nothing for too long, although it
// has requests, gets no more while others can take them.
func TestSilentEngineIsAvoided(t *testing.T) {
	p := newPlacement(2)
	r := placement.Request{Pool: "p"}
	c := choose(t, p, start, r)
	call := p.Start(start, c, r)
	now := start.Add(2 * time.Second)
	if got := choose(t, p, now, r); got.Engine.ID == c.Engine.ID {
		t.Error("a silent engine gets more")
	}
	call.Received(now)
	call.End(now, placement.Answered)
	if got := choose(t, p, now, r); got.Engine.ID != c.Engine.ID {
		t.Error("an engine is still avoided after it sent data")
	}
}

// TestLeavingEngineGetsNothing checks that draining and removed engines are not chosen, and that
// a request which ends at a removed engine does no harm.
func TestLeavingEngineGetsNothing(t *testing.T) {
	p := newPlacement(1)
	r := placement.Request{Pool: "p"}
	call := p.Start(start, choose(t, p, start, r), r)
	p.Set(placement.Engine{ID: "e0", Pool: "p", Draining: true})
	if _, ok := p.Choose(start, r); ok {
		t.Error("a draining engine was chosen")
	}
	p.Remove("e0")
	call.End(start, placement.Answered)
	if len(p.Loads()) != 0 || len(p.Engines()) != 0 {
		t.Errorf("remaining loads and engines: %v %v", p.Loads(), p.Engines())
	}
	p.Set(placement.Engine{ID: "e0", Pool: "p"})
	r.Avoid = map[string]bool{"e0": true}
	if _, ok := p.Choose(start, r); ok {
		t.Error("an engine to be avoided was chosen")
	}
}

// TestSlowEngineIsAvoidedByDegree checks that an engine with a much longer time to first token
// than its pool gets fewer requests, and is tried again later.
func TestSlowEngineIsAvoidedByDegree(t *testing.T) {
	p := newPlacement(3)
	r := placement.Request{Pool: "p", Prompt: placement.Prompt{Tokens: 500}}
	now := start
	count := map[string]int{}
	for range 200 {
		c := choose(t, p, now, r)
		count[c.Engine.ID]++
		took := 40 * time.Millisecond
		if c.Engine.ID == "e1" {
			took *= 8
		}
		call := p.Start(now, c, r)
		call.Began(now.Add(took))
		call.End(now.Add(took), placement.Answered)
		now = now.Add(20 * time.Millisecond)
	}
	if count["e1"] > 40 {
		t.Errorf("the slow engine got %d of 200 requests", count["e1"])
	}
	later := now.Add(time.Minute)
	if c := choose(t, p, later, placement.Request{Pool: "p", Avoid: map[string]bool{"e0": true, "e2": true}}); c.Cost > 300 {
		t.Errorf("a minute later it still costs %v", c.Cost)
	}
}

// TestRejectingEngineIsAvoided checks that an engine which rejects requests gets fewer,
// whatever its load.
func TestRejectingEngineIsAvoided(t *testing.T) {
	p := newPlacement(2)
	r := placement.Request{Pool: "p"}
	c := choose(t, p, start, r)
	for range 3 {
		p.Start(start, c, r).End(start, placement.Rejected)
	}
	if got := choose(t, p, start, r).Engine.ID; got == c.Engine.ID {
		t.Errorf("still %s", got)
	}
}

// TestPeerReportIsReplaced checks that a peer's report replaces its previous one at each engine
// and leaves those of other peers unchanged.
func TestPeerReportIsReplaced(t *testing.T) {
	p := placement.New("hall")
	for _, id := range []string{"e0", "e1", "e2"} {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall"})
	}
	one := placement.Load{InFlight: 1}
	p.UpdatePeer(start, "a", history.Position{}, map[string]placement.Load{"e0": one, "e1": one, "unknown": one}, nil)
	p.UpdatePeer(start, "b", history.Position{}, map[string]placement.Load{"e0": one}, nil)
	p.UpdatePeer(start, "a", history.Position{}, map[string]placement.Load{"e1": one, "e2": one}, nil)
	for id, want := range map[string]int{"e0": 1, "e1": 1, "e2": 1} {
		if got := p.PeersAt(id); got != want {
			t.Errorf("%d peers have load at %s, want %d", got, id, want)
		}
	}
	p.UpdatePeer(start, "a", history.Position{}, nil, nil)
	p.UpdatePeer(start, "b", history.Position{}, nil, nil)
	for _, id := range []string{"e0", "e1", "e2"} {
		if got := p.PeersAt(id); got != 0 {
			t.Errorf("%d peers have load at %s after they reported none", got, id)
		}
	}
}

// BenchmarkPeer measures the cost of a peer's report with many engines.
func BenchmarkPeer(b *testing.B) {
	p := placement.New("hall")
	for i := range 3000 {
		p.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: "hall"})
	}
	loads := map[string]placement.Load{"e1": {InFlight: 1}, "e2": {InFlight: 2}}
	for b.Loop() {
		p.UpdatePeer(start, "peer", history.Position{}, loads, nil)
	}
}

// TestSlotAvailabilityIsOfThePool checks that a request need not wait for a slot while the pool has many
// free, even at an engine that seems full; that it has to wait once nearly all are taken; and
// that any free slot is then preferred to the engine with the cached prompt. Slots are scarce
// when the pool, or the engine itself, has few left.
func TestSlotAvailabilityIsOfThePool(t *testing.T) {
	p := placement.New("hall")
	for i := range 5 {
		p.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: "hall", Slots: 4})
	}
	cached := choose(t, p, start, long(1)).Engine.ID
	first := p.Start(start, choose(t, p, start, long(1)), long(1))
	first.Began(start)
	full := map[string]placement.Load{cached: {InFlight: 3}}
	p.UpdatePeer(start, "peer", history.Position{}, full, nil)
	if c := choose(t, p, start, long(1)); c.Engine.ID != cached || !c.SlotAvailable || !c.SlotsScarce {
		t.Errorf("with one engine full: %s, slot available %v, scarce %v", c.Engine.ID, c.SlotAvailable, c.SlotsScarce)
	}
	elsewhere := long(1)
	elsewhere.Avoid = map[string]bool{cached: true}
	if c := choose(t, p, start, elsewhere); c.Engine.ID == cached || !c.SlotAvailable || c.SlotsScarce {
		t.Errorf("at another engine while one is full: %s, slot available %v, scarce %v", c.Engine.ID, c.SlotAvailable, c.SlotsScarce)
	}
	for i := range 5 {
		if id := fmt.Sprint("e", i); id != cached {
			full[id] = placement.Load{InFlight: 4}
		}
	}
	free := "e0"
	if cached == free {
		free = "e1"
	}
	full[free] = placement.Load{InFlight: 3}
	p.UpdatePeer(start, "peer", history.Position{}, full, nil)
	if c := choose(t, p, start, long(1)); c.Engine.ID != cached || c.SlotAvailable || !c.SlotsScarce {
		t.Errorf("with one slot left: %s, slot available %v, scarce %v", c.Engine.ID, c.SlotAvailable, c.SlotsScarce)
	}
	r := long(1)
	r.NeedSlot = true
	if c := choose(t, p, start, r); c.Engine.ID != free || !c.SlotAvailable {
		t.Errorf("with a slot required: %s, slot available %v, want %s", c.Engine.ID, c.SlotAvailable, free)
	}
}
