package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// interactivePool returns a placement with n engines of one pool, in two halls in turn.
func interactivePool(n int, options ...placement.Option) *placement.Placement {
	p := placement.New("h0", options...)
	for i := range n {
		p.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: fmt.Sprint("h", i%2), Slots: stepSlots})
	}
	return p
}

// shortStream returns a request for a stream of an interactive pool with a tight pause limit.
func shortStream(session int) placement.Request {
	return placement.Request{
		Pool: "p", Interactive: true, Target: 250 * time.Millisecond, MaxGap: 150 * time.Millisecond, TokensPerEvent: 5, Events: 58,
		Prompt: placement.Prompt{Tokens: shortTokens, Shared: []placement.Part{placement.NewPart(fmt.Sprint("short", session), 1)}},
	}
}

// longPrompt returns a request of an interactive pool with a long prompt.
func longPrompt(session int) placement.Request {
	return placement.Request{
		Pool: "p", Interactive: true, Target: 300 * time.Millisecond, MaxGap: 250 * time.Millisecond, TokensPerEvent: 5, Events: 10,
		Prompt: placement.Prompt{Tokens: longTokens, Shared: []placement.Part{placement.NewPart("root", longTokens-longUncached), placement.NewPart(fmt.Sprint("long", session), 1)}},
	}
}

// rootUses returns uses of the first part of all long prompts at n engines.
func rootUses(n int) (uses []placement.Use) {
	for i := range n {
		uses = append(uses, placement.Use{Engine: fmt.Sprint("e", i), Part: placement.NewPart("root", 0).ID})
	}
	return uses
}

// startStreams starts streams whose answers have begun and returns their calls.
func startStreams(t *testing.T, p *placement.Placement, now time.Time, n int) []*placement.Call {
	t.Helper()
	var calls []*placement.Call
	for s := range n {
		r := shortStream(s)
		calls = append(calls, p.Start(now, choose(t, p, now, r), r))
		calls[s].Began(now)
	}
	return calls
}

// reported makes a peer report n streams, one at each engine in turn.
func reported(p *placement.Placement, now time.Time, engines, n int) {
	loads := map[string]placement.Load{}
	for i := range n {
		l := loads[fmt.Sprint("e", i%engines)]
		loads[fmt.Sprint("e", i%engines)] = placement.Load{InFlight: l.InFlight + 1, Streams: l.Streams + 1}
	}
	p.UpdatePeer(now, "peer", history.Position{}, loads, nil)
}

// TestSetFollowsItsHalls guards against streams that go to the other engines, or to none, when all
// engines of a hall are gone at once.
func TestSetFollowsItsHalls(t *testing.T) {
	p := interactivePool(30)
	startStreams(t, p, start, 150)
	before := p.StreamSet("p")
	for i := 0; i < 30; i += 2 {
		p.Remove(fmt.Sprint("e", i))
	}
	c := choose(t, p, start.Add(time.Millisecond), shortStream(500))
	after := p.StreamSet("p")
	if len(after) != len(before) || !slices.Contains(after, c.Engine.ID) {
		t.Errorf("a stream went to %s; the set was %v and is %v", c.Engine.ID, before, after)
	}
	for _, id := range after {
		if e, ok := p.Engine(id); !ok || e.Hall != "h1" {
			t.Errorf("engine %s of the lost hall is in the set", id)
		}
	}
}

// TestNodesHaveTheSameSet guards against nodes that see the same engines and streams but keep streams
// on different engines.
func TestNodesHaveTheSameSet(t *testing.T) {
	a, b := interactivePool(60), placement.New("h1")
	for i := 59; i >= 0; i-- {
		b.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: fmt.Sprint("h", i%2), Slots: stepSlots})
	}
	for _, p := range []*placement.Placement{a, b} {
		reported(p, start, 60, 240)
		choose(t, p, start, longPrompt(1))
	}
	if x, y := a.StreamSet("p"), b.StreamSet("p"); !slices.Equal(x, y) || len(x) != 13 {
		t.Errorf("sets %v and %v, want 13 engines: 240 streams and a quarter on 24 slots each", x, y)
	}
}

// TestSetFollowsBursts guards against a set that is too small in a burst, takes more than two thirds of
// the pool, or keeps engines from long prompts for more than a second after the burst.
func TestSetFollowsBursts(t *testing.T) {
	p, now := interactivePool(60), start
	for _, step := range []struct {
		after   time.Duration
		streams int
		want    int
	}{{0, 240, 13}, {100 * time.Millisecond, 600, 32}, {100 * time.Millisecond, 790, 40}, {100 * time.Millisecond, 240, 40}, {300 * time.Millisecond, 480, 40}, {100 * time.Millisecond, 240, 25}, {400 * time.Millisecond, 240, 13}} {
		now = now.Add(step.after)
		reported(p, now, 60, step.streams)
		choose(t, p, now, longPrompt(1))
		if got := len(p.StreamSet("p")); got != step.want {
			t.Errorf("after %v with %d streams: %d engines in the set, want %d", now.Sub(start), step.streams, got, step.want)
		}
	}
}

// TestStreamsAndLongPromptsStayApart guards against streams outside the set while it has slots, against
// an uneven spread in it, and against long prompts in it while other engines begin in time.
func TestStreamsAndLongPromptsStayApart(t *testing.T) {
	p := interactivePool(60)
	startStreams(t, p, start, 240)
	set := p.StreamSet("p")
	for id, l := range p.Loads() {
		if !slices.Contains(set, id) || l.Streams > stepSlots {
			t.Errorf("%d streams at %s; the set is %v", l.Streams, id, set)
		}
	}
	for s := range 30 {
		r := longPrompt(s)
		c := choose(t, p, start, r)
		p.Start(start, c, r)
		if slices.Contains(set, c.Engine.ID) {
			t.Errorf("long prompt %d went to %s of the set", s, c.Engine.ID)
		}
	}
}

// TestOwnersSendInProportion guards against engines of the set that get no long prompts because their
// owner is a node that sends nothing, against two owners of an engine, and against engines without an
// owner after a node has died.
func TestOwnersSendInProportion(t *testing.T) {
	const engines = 900
	rates := map[string]float64{}
	for i := range 82 {
		rates[fmt.Sprint("n", i)] = 0.9
		if i < 8 {
			rates[fmt.Sprint("n", i)] = 130
		}
	}
	owned := func(now time.Time) (owned, byNode map[string]int) {
		owned, byNode = map[string]int{}, map[string]int{}
		for name := range rates {
			p := interactivePool(engines, placement.WithSenders(name, func(time.Time) map[string]float64 { return rates }))
			for _, id := range p.Owned(now) {
				owned[id]++
				byNode[name]++
			}
		}
		return owned, byNode
	}
	check := func(now time.Time, busy, least, most int) {
		t.Helper()
		got, byNode := owned(now)
		for id, n := range got {
			if n != 1 {
				t.Errorf("%s has %d owners", id, n)
			}
		}
		if len(got) != engines || len(byNode) != busy {
			t.Errorf("%d of %d engines have an owner; owners are %v", len(got), engines, byNode)
		}
		for name, n := range byNode {
			if n < least || n > most {
				t.Errorf("%s owns %d engines, want %d to %d", name, n, least, most)
			}
		}
	}
	check(start, 8, 80, 145) // 112 each on average
	delete(rates, "n0")
	check(start, 7, 95, 160) // 128 each
	for name := range rates {
		rates[name] = 0
	}
	check(start, 81, 1, 30) // without known rates 11 each
}

// TestStreamsArePacked guards against streams that are spread over the engines of a past burst, which
// keeps these from long prompts, and against many streams at an engine while others of the set have
// places.
func TestStreamsArePacked(t *testing.T) {
	p, now := interactivePool(60), start
	calls := startStreams(t, p, now, 600)
	for i, call := range calls {
		if i%5 > 0 {
			call.End(now, placement.Answered)
		}
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		choose(t, p, now, longPrompt(1))
		for i := 0; i < len(calls); i += 5 {
			calls[i].Received(now)
		}
	}
	before := p.Loads()
	for s := range 60 {
		r := shortStream(1000 + s)
		call := p.Start(now, choose(t, p, now, r), r)
		call.Began(now)
	}
	set := p.StreamSet("p")
	if len(set) != 10 {
		t.Errorf("%d engines in the set, want 10: 180 streams and a quarter on 24 slots each", len(set))
	}
	for id, l := range p.Loads() {
		if added := l.Streams - before[id].Streams; added > 0 && (!slices.Contains(set, id) || l.Streams > 21) {
			t.Errorf("%d new streams at %s, which runs %d; the set is %v", added, id, l.Streams, set)
		}
	}
}

// TestStreamsWithPermitsCount guards against a set that is too small where all engines have a request
// limit: streams that wait for a permit run on it as others do.
func TestStreamsWithPermitsCount(t *testing.T) {
	limits := permitTimes{}
	p := interactivePool(60, placement.WithLimits(limits))
	for i := range 60 {
		limits[fmt.Sprint("e", i)] = start.Add(time.Second)
	}
	for s := range 100 {
		r := shortStream(s)
		if _, ok := p.Choose(start, r); ok {
			t.Fatal("an engine without a permit was chosen")
		}
		c, ok := p.ChooseLimited(start, r)
		if !ok || !c.GapSensitive {
			t.Fatalf("stream %d: limited engine %t, of the set %t", s, ok, c.GapSensitive)
		}
		p.Start(start, c, r)
	}
	if p.ChooseLimited(start, longPrompt(1)); len(p.StreamSet("p")) != 6 {
		t.Errorf("%d engines in the set, want 6: 100 streams and a quarter on 24 slots each", len(p.StreamSet("p")))
	}
}

// TestRemainingNodesOwnAllEngines guards against engines of the set that get no long prompts after their
// owner has died, or where a node knows no peer.
func TestRemainingNodesOwnAllEngines(t *testing.T) {
	rates := map[string]float64{"n0": 90, "n1": 90}
	known := func(time.Time) map[string]float64 { return rates }
	a := interactivePool(60, placement.WithSenders("n0", known))
	if n := len(a.Owned(start)); n == 0 || n == 60 {
		t.Errorf("one of two nodes owns %d of 60 engines", n)
	}
	delete(rates, "n1")
	if n := len(a.Owned(start.Add(100 * time.Millisecond))); n != 60 {
		t.Errorf("100 ms after the peer is known to be dead the other node owns %d of 60 engines", n)
	}
	rates = nil
	if n := len(a.Owned(start.Add(time.Second))); n != 60 {
		t.Errorf("a node that knows no peer and no rate owns %d of 60 engines", n)
	}
	a.UpdatePeer(start, "earlier", history.Position{}, nil, rootUses(60))
	startStreams(t, a, start.Add(time.Second), 240)
	got, before := map[string]bool{}, a.Loads()
	for s := range 300 {
		now := start.Add(time.Second + time.Duration(s)*time.Millisecond)
		r := longPrompt(s)
		if c := choose(t, a, now, r); c.Wait <= 300 {
			a.Start(now, c, r)
			got[c.Engine.ID] = true
		}
	}
	for _, id := range a.StreamSet("p") {
		if running := before[id].InFlight; running < stepSlots-1 && !got[id] {
			t.Errorf("no long prompt at %s of the set, which runs %d requests, while the others are full", id, running)
		}
	}
}
