package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

const copyRate = 970 // tokens copied in a millisecond: 192,512 bytes each at 1,500,000 Mbit/s

// addEngines adds engines to a pool that copy parts from each other.
func addEngines(p *placement.Placement, first, n int, draining bool) {
	for i := first; i < first+n; i++ {
		p.Set(placement.Engine{ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Pool: "p", Hall: "hall", Slots: 24, Draining: draining})
	}
}

// copying returns a request of an interactive pool with a long prompt in a session.
func copying(session int) placement.Request {
	r := long(session)
	r.Interactive, r.TransferRate = true, copyRate
	return r
}

// held reports as a peer that engines have the common first part and the part of a session. The
// peer's requests there have begun.
func held(p *placement.Placement, now time.Time, session int, engines ...string) {
	for _, id := range engines {
		p.UpdatePeer(now, "peer", history.Position{}, nil, []placement.Use{{Engine: id, Part: placement.NewPart("root", 0).ID}, {Engine: id, Part: placement.NewPart(fmt.Sprint("session", session), 0).ID}})
	}
}

// TestPopularPartIsPrefilledOnce serves 300 sessions in 3 s on 30 engines, about half of what these
// prefill, and checks that their common first part is prefilled once and copied from then on, to most
// engines, and that no engine's load counts what is copied.
func TestPopularPartIsPrefilledOnce(t *testing.T) {
	const engines, sessions = 30, 300
	p := placement.New("hall")
	addEngines(p, 0, engines, false)
	due := map[*placement.Call]time.Time{}
	prefilled, copied, used, now := 0, 0, map[string]bool{}, start
	for s := range sessions {
		for call, at := range due {
			if !now.Before(at) {
				call.Began(at)
				call.End(at, placement.Answered)
				delete(due, call)
			}
		}
		c := choose(t, p, now, copying(s))
		due[p.Start(now, c, copying(s))] = now.Add(time.Duration(c.Wait * float64(time.Millisecond)))
		used[c.Engine.ID] = true
		if c.PrefillTokens == 9000 {
			prefilled++
		}
		copied += c.TransferTokens
		if now = now.Add(10 * time.Millisecond); s == 0 {
			now = now.Add(time.Second)
		}
	}
	if prefilled != 1 || copied == 0 || len(used) <= engines/2 {
		t.Errorf("the common part was prefilled %d times, %d tokens were copied, %d of %d engines were used", prefilled, copied, len(used), engines)
	}
	if s := p.InteractiveStats()["p"]; s.Transfers*2500 != int64(copied) || s.TransferTokens != int64(copied) || s.TransfersMissed != 0 {
		t.Errorf("counted %+v for %d tokens", s, copied)
	}
}

// TestSourcesAreSpread checks that 20 transfers of a part started at once come from the 20 engines
// that have it, one from each, though these are leaving; and not from one that fails or is in another
// pool, whose engines have the same part IDs.
func TestSourcesAreSpread(t *testing.T) {
	const sources = 20
	p := placement.New("hall")
	addEngines(p, 0, sources+1, true)
	addEngines(p, 100, 20, false)
	p.Set(placement.Engine{ID: "other", Address: "other", Pool: "q", Hall: "hall"})
	choose(t, p, start, copying(1))
	for i := range sources + 1 {
		held(p, start, 1, fmt.Sprint("e", i))
	}
	held(p, start, 1, "other")
	for range 4 {
		p.Start(start, placement.Choice{Engine: placement.Engine{ID: "e20"}}, placement.Request{Pool: "p"}).End(start, placement.Failed)
	}
	from := map[string]int{}
	for range sources {
		r := copying(1)
		c := choose(t, p, start, r)
		r.Prompt.Shared = r.Prompt.Shared[:0] // The engines that were chosen do not become sources.
		p.Start(start, c, r)
		from[c.TransferFrom]++
	}
	if len(from) != sources || from[""]+from["a20"]+from["other"] > 0 {
		t.Errorf("%d transfers started at once came from %v", sources, from)
	}
	for i := range sources + 1 {
		p.Remove(fmt.Sprint("e", i))
	}
	if c := choose(t, p, start, copying(1)); c.TransferFrom != "" {
		t.Errorf("a transfer from %s, which is gone", c.TransferFrom)
	}
}

// TestWorseSourcesAreAvoided checks that of two engines with a part the one that is in another hall,
// asked for a backoff, may have evicted the part or has a busy link is used only if there is no other,
// and one that is silent, was tried or is in a region forbidden for the request is not.
func TestWorseSourcesAreAvoided(t *testing.T) {
	now := start.Add(6 * time.Second)
	engine := placement.Engine{ID: "e8", Address: "a8", Pool: "p", Hall: "hall", Draining: true}
	for name, test := range map[string]struct {
		worsen func(p *placement.Placement, r *placement.Request)
		alone  string // the source if there is no other
	}{
		"hall":    {func(p *placement.Placement, _ *placement.Request) { far := engine; far.Hall = "far"; p.Set(far) }, "a8"},
		"backoff": {func(p *placement.Placement, _ *placement.Request) { p.BackOff(now, "e8", time.Second) }, "a8"},
		"link": {func(p *placement.Placement, _ *placement.Request) {
			c := choose(t, p, now, copying(1))
			p.Start(now, c, copying(1)).End(now, placement.Aborted)
		}, "a8"},
		"silent": {func(p *placement.Placement, _ *placement.Request) {
			p.Start(start, placement.Choice{Engine: engine}, placement.Request{Pool: "p"})
		}, ""},
		"tried": {func(_ *placement.Placement, r *placement.Request) { r.Avoid = map[string]bool{"e8": true} }, ""},
		"region": {func(p *placement.Placement, r *placement.Request) {
			far := engine
			far.Hall = "far"
			p.Set(far)
			r.RegionBound, r.Regions = true, []string{"here"}
		}, ""},
		"stale": {func(p *placement.Placement, _ *placement.Request) {
			p.Remove("e8")
			p.Set(engine)
			held(p, start, 1, "e8")
		}, "a8"},
	} {
		p := placement.New("hall", placement.WithRegions(map[string]string{"hall": "here", "far": "there"}))
		addEngines(p, 0, 3, false)
		p.Set(engine)
		held(p, now, 1, "e8")
		r := copying(1)
		test.worsen(p, &r)
		if got := choose(t, p, now, r).TransferFrom; got != test.alone {
			t.Errorf("%s: alone it copies from %q, want %q", name, got, test.alone)
		}
		addEngines(p, 9, 1, true)
		held(p, now, 1, "e9")
		for range 8 { // Candidates come in random order.
			if got := choose(t, p, now, r).TransferFrom; got != "a9" {
				t.Errorf("%s: copies from %q, want a9", name, got)
			}
		}
	}
}

// TestPartIsCopiedOnceItsPrefillHasEnded checks that a part which is still being prefilled, for this
// node's request or a peer's, is not copied; that a request waits at that engine if it begins there
// earlier than elsewhere; and that a prefill that never ended leaves nothing to copy.
func TestPartIsCopiedOnceItsPrefillHasEnded(t *testing.T) {
	busy := func(p *placement.Placement, now time.Time, id string, tokens int) { // Work that makes requests go elsewhere.
		p.UpdatePeer(now, "busy", history.Position{}, map[string]placement.Load{id: {PrefillTokens: tokens, InFlight: 1}}, nil)
	}
	p := placement.New("hall")
	addEngines(p, 0, 4, false)
	first := choose(t, p, start, copying(1))
	call := p.Start(start, first, copying(1))
	if c := choose(t, p, start, copying(1)); c.Engine.ID != first.Engine.ID || c.PrefillTokens != 2800 {
		t.Errorf("during the prefill at %s a short wait there was not preferred: %s, %d tokens", first.Engine.ID, c.Engine.ID, c.PrefillTokens)
	}
	busy(p, start, first.Engine.ID, 60000)
	if c := choose(t, p, start, copying(1)); c.Engine.ID == first.Engine.ID || c.TransferFrom != "" || c.PrefillTokens != 9000 {
		t.Errorf("with a long queue there: %s, %d tokens, copies from %q", c.Engine.ID, c.PrefillTokens, c.TransferFrom)
	}
	now := start.Add(300 * time.Millisecond)
	call.Began(now)
	busy(p, now, first.Engine.ID, 60000)
	if c := choose(t, p, now, copying(1)); c.TransferFrom != first.Engine.Address || c.TransferTokens != 6200 || c.PrefillTokens != 2800 {
		t.Errorf("after the prefill: %d tokens, %d copied from %q", c.PrefillTokens, c.TransferTokens, c.TransferFrom)
	}

	p = placement.New("hall")
	addEngines(p, 0, 4, false)
	p.Start(start, choose(t, p, start, copying(2)), copying(2)).End(start, placement.Aborted)
	if c := choose(t, p, start, copying(2)); c.PrefillTokens != 9000 {
		t.Errorf("after a request whose caller left %d tokens are left, %d copied", c.PrefillTokens, c.TransferTokens)
	}
	held := []placement.Use{{Engine: "e0", Part: placement.NewPart("root", 0).ID}, {Engine: "e0", Part: placement.NewPart("session3", 0).ID}}
	busy(p, start, "e0", 20000)
	p.UpdatePeer(start, "peer", history.Position{}, map[string]placement.Load{"e0": {PrefillTokens: 9000, InFlight: 1}}, held)
	if c := choose(t, p, start, copying(3)); c.TransferFrom != "" {
		t.Errorf("copies from %s what a peer's request has just begun to prefill", c.TransferFrom)
	}
	if c := choose(t, p, start.Add(650*time.Millisecond), copying(3)); c.TransferFrom != "a0" {
		t.Errorf("after 29,000 tokens at 50 a millisecond copies from %q", c.TransferFrom)
	}
	p.Evict(start.Add(2*time.Second), held)
	if c := choose(t, p, start.Add(650*time.Millisecond), copying(3)); c.TransferFrom != "" || c.PrefillTokens != 9000 {
		t.Errorf("copies from %s what it has evicted", c.TransferFrom)
	}
}

// TestSourceIsLostAfterTheChoice checks that a source which leaves or restarts between choice and
// sending costs the prefill only: the engine's load has all tokens, and a retry chooses anew.
func TestSourceIsLostAfterTheChoice(t *testing.T) {
	for name, lose := range map[string]func(p *placement.Placement){
		"leaves": func(p *placement.Placement) { p.Remove("e9") },
		"restarts": func(p *placement.Placement) {
			p.Set(placement.Engine{ID: "e9", Address: "a9", Pool: "p", Hall: "hall", Incarnation: 2, Draining: true})
		},
	} {
		p := placement.New("hall")
		addEngines(p, 0, 3, false)
		addEngines(p, 9, 1, true)
		held(p, start, 1, "e9")
		c := choose(t, p, start, copying(1))
		if c.TransferFrom != "a9" || c.PrefillTokens != 2800 {
			t.Fatalf("copies from %q, %d tokens are left", c.TransferFrom, c.PrefillTokens)
		}
		lose(p)
		call := p.Start(start, c, copying(1))
		if got := p.Loads()[c.Engine.ID].PrefillTokens; got != 9000 {
			t.Errorf("%s: %d tokens to prefill, want 9000", name, got)
		}
		call.End(start, placement.Failed)
		r := copying(1)
		r.Avoid = map[string]bool{c.Engine.ID: true}
		if again := choose(t, p, start, r); again.TransferFrom != "" || again.PrefillTokens != 9000 {
			t.Errorf("%s: the retry copies from %q", name, again.TransferFrom)
		}
		if l := p.Loads()[c.Engine.ID]; l != (placement.Load{}) {
			t.Errorf("%s: remaining load %+v", name, l)
		}
	}
}

// TestPartWasNoLongerThere checks that a source that evicted a part some seconds ago is asked once:
// if the first event comes as late as after the prefill, the source is forgotten, the engine of the
// request has the part, and it does not count as slow. A transfer that succeeded changes nothing, and
// neither is a sample of the prefill time.
func TestPartWasNoLongerThere(t *testing.T) {
	for _, there := range []bool{true, false} {
		p := placement.New("hall")
		addEngines(p, 0, 3, false)
		addEngines(p, 9, 1, true)
		held(p, start, 1, "e9")
		now := start.Add(8 * time.Second)
		c := choose(t, p, now, copying(1))
		call := p.Start(now, c, copying(1))
		wait := 30 + 2800/50.0 + 3 + 6200.0/copyRate
		if got := p.Loads()[c.Engine.ID].PrefillTokens; c.TransferFrom != "a9" || got != 2800 || c.Wait < wait-1 || c.Wait > wait+1 {
			t.Fatalf("copies from %q, %d tokens to prefill, expected wait %.0f ms, want %.0f", c.TransferFrom, got, c.Wait, wait)
		}
		if !there {
			wait = 30 + 9000/50.0
		}
		now = now.Add(time.Duration(wait * float64(time.Millisecond)))
		call.Began(now)
		call.End(now, placement.Answered)
		stats := p.InteractiveStats()["p"]
		if (stats.TransfersMissed == 0) != there || stats.PrefillOverhead != 30 || stats.PrefillRate != 50 {
			t.Errorf("part there %v: %+v", there, stats)
		}
		next := choose(t, p, now, copying(1))
		if next.Engine.ID != c.Engine.ID || next.PrefillTokens != 2800 || next.Cost > 30+7*2800/50.0+1 {
			t.Errorf("part there %v: then %s with %d tokens at cost %.0f", there, next.Engine.ID, next.PrefillTokens, next.Cost)
		}
		p.Remove(c.Engine.ID)
		if got := choose(t, p, now, copying(1)).TransferFrom; (got == "a9") != there {
			t.Errorf("part there %v: afterwards copies from %q", there, got)
		}
	}
}

// TestOtherPoolsCopyNothing checks that requests of other pools get no transfers, leave no state of
// parts that are being prefilled and count nothing, whatever they send.
func TestOtherPoolsCopyNothing(t *testing.T) {
	p := placement.New("hall")
	addEngines(p, 0, 4, false)
	held(p, start, 0, "e1")
	for s := range 40 {
		c := choose(t, p, start, long(s))
		p.Start(start, c, long(s))
		p.UpdatePeer(start, "busy", history.Position{}, map[string]placement.Load{"e2": {PrefillTokens: 9000, InFlight: 1}}, []placement.Use{{Engine: "e2", Part: placement.NewPart(fmt.Sprint("session", s), 0).ID}})
		if c.TransferFrom != "" {
			t.Fatalf("copies from %s", c.TransferFrom)
		}
	}
	if p.PendingParts() != 0 || len(p.InteractiveStats()) != 0 {
		t.Errorf("%d pending parts, figures %v", p.PendingParts(), p.InteractiveStats())
	}
}

// BenchmarkChooseTransfer measures a decision where some or all of 600 engines have the first part of
// all prompts.
func BenchmarkChooseTransfer(b *testing.B) {
	for _, holders := range []int{0, 12, 600} {
		b.Run(fmt.Sprint(holders, " holders"), func(b *testing.B) {
			p := placement.New("hall")
			addEngines(p, 0, 600, false)
			for i := range holders {
				held(p, start, 0, fmt.Sprint("e", i))
			}
			now := start
			for i := 1; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				p.Choose(now, copying(i%100+1))
			}
		})
	}
}

// TestUnreachableEngineIsNoSource guards against transfers from engines that have crashed or left, until
// their entries are gone: the request waits for a time-out. It counts at the node for which the engine
// failed and at a peer that is told, until the engine answers or its entry would be gone.
func TestUnreachableEngineIsNoSource(t *testing.T) {
	later := start.Add(3 * time.Second)
	toSource := copying(1)
	toSource.Avoid = map[string]bool{"e1": true}
	for name, fail := range map[string]func(p *placement.Placement, call *placement.Call){
		"failed here": func(_ *placement.Placement, call *placement.Call) { call.ConnectionLost(start) },
		"failed for a peer": func(p *placement.Placement, _ *placement.Call) {
			p.UpdateBroken(start, history.Position{}, []string{"e0"})
		},
	} {
		p := placement.New("hall")
		addEngines(p, 0, 2, false)
		held(p, start, 1, "e0")
		failing, answering := p.Start(start, choose(t, p, start, toSource), toSource), p.Start(start, choose(t, p, start, toSource), toSource)
		p.Drain("e0") // It remains a source.
		if from := choose(t, p, start, copying(1)).TransferFrom; from != "a0" {
			t.Fatalf("%s: copied from %q before", name, from)
		}
		fail(p, failing)
		answering.Received(later) // The engine is not silent, which would exclude it as well.
		if from := choose(t, p, later, copying(1)).TransferFrom; from != "" {
			t.Errorf("%s: copied from %s", name, from)
		}
		answering.Received(start.Add(4 * time.Second))
		if from := choose(t, p, start.Add(4*time.Second), copying(1)).TransferFrom; from != "a0" {
			t.Errorf("%s: after 4 s copied from %q", name, from)
		}
		answering.Began(later)
		answering.End(later, placement.Answered)
		if from := choose(t, p, later, copying(1)).TransferFrom; from != "a0" {
			t.Errorf("%s: after an answer copied from %q", name, from)
		}
	}
}

func TestPartsAreCopiedBetweenEnginesOfOneVersionOnly(t *testing.T) {
	p := placement.New("hall")
	for id, version := range map[string]string{"source": "a", "same": "a", "other": "b"} {
		p.Set(placement.Engine{ID: id, Address: id, Pool: "p", Hall: "hall", Slots: 24, Version: version, Draining: id == "source"})
	}
	now := start.Add(time.Second)
	held(p, start, 1, "source")
	for _, id := range []string{"same", "other"} {
		r := copying(1)
		r.Avoid = map[string]bool{"same": id != "same", "other": id != "other"}
		if c := choose(t, p, now, r); c.Engine.ID != id || (c.TransferFrom == "source") != (id == "same") {
			t.Errorf("at %s the parts come from %q", c.Engine.ID, c.TransferFrom)
		}
	}
}
