package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// sentLong returns a placement with one engine that got a long prompt of session 1 at start, the
// prompt's uncached tokens as a function of the time, and the uses of its two shared parts.
func sentLong(t *testing.T) (p *placement.Placement, uncached func(now time.Time) int, uses []placement.Use) {
	t.Helper()
	p = newPlacement(1)
	r := long(1)
	r.Interactive = true
	call := p.Start(start, choose(t, p, start, r), r)
	call.Began(start)
	call.End(start, placement.Answered)
	return p, func(now time.Time) int { return choose(t, p, now, long(1)).PrefillTokens }, p.TakeUses()
}

// TestEvictedPartsAreNotExpected guards against prompts sent to an engine for parts that have left
// its cache, and against dropping parts that a later use has put back or that nobody believed in.
func TestEvictedPartsAreNotExpected(t *testing.T) {
	p, uncached, uses := sentLong(t)
	soon, later := start.Add(900*time.Millisecond), start.Add(2*time.Second)
	if gone := p.Evict(soon, uses); len(gone) > 0 || uncached(soon) != 9000-6200 {
		t.Errorf("%v is forgotten right after its use", gone)
	}
	unknown := []placement.Use{{Engine: "other", Part: uses[0].Part}, {Engine: "e0", Part: 7}}
	if gone := p.Evict(later, append(unknown, uses[1])); !slices.Equal(gone, uses[1:]) || uncached(later) != 9000-2500 {
		t.Errorf("%v is forgotten and %d tokens are left, want %v", gone, uncached(later), uses[1:])
	}
	if gone := p.Evict(start.Add(time.Minute), uses); len(gone) > 0 {
		t.Errorf("peers are told of %v, which nobody expects any more", gone)
	}
}

// TestPartsInUse guards against engines ranked by parts that nobody has used for some time, and against
// counting so many that requests wait for it.
func TestPartsInUse(t *testing.T) {
	p, _, uses := sentLong(t)
	later := start.Add(7 * time.Second)
	p.UpdatePeer(later, "peer", history.Position{}, nil, []placement.Use{uses[0], {Engine: "e0", Part: 7}})
	for within, want := range map[time.Duration]int{7 * time.Second: 3, 6 * time.Second: 2} {
		if got := p.PartsInUse(later, within); got["e0"] != want {
			t.Errorf("%v parts were used within %v, want %d", got, within, want)
		}
	}
	many := make([]placement.Use, 20_000)
	for i := range many {
		many[i] = placement.Use{Engine: "e0", Part: uint64(100 + i)}
	}
	p.UpdatePeer(later, "peer", history.Position{}, nil, many)
	if got := p.PartsInUse(later, time.Second); got["e0"] < 8000 || got["e0"] > 8192 {
		t.Errorf("%v of 20,000 parts are counted, want 8,192", got)
	}
}

// TestEvictionsOfAPreviousIncarnationAreIgnored guards against a peer's late report that drops what a
// restarted engine has cached since.
func TestEvictionsOfAPreviousIncarnationAreIgnored(t *testing.T) {
	p, uncached, uses := sentLong(t)
	p.Set(placement.Engine{ID: "e0", Pool: "p", Hall: "hall", Slots: 64, Incarnation: 2, Since: history.Position{Version: 9}})
	p.UpdatePeer(start, "peer", history.Position{Version: 9}, nil, uses)
	later := start.Add(2 * time.Second)
	p.EvictFromPeer(later, history.Position{Version: 8}, uses)
	if got := uncached(later); got != 9000-6200 {
		t.Errorf("%d tokens are left after a report about the previous incarnation", got)
	}
	p.EvictFromPeer(later, history.Position{Version: 9}, uses)
	if got := uncached(later); got != 9000 {
		t.Errorf("%d tokens are left after a report about this incarnation, want all", got)
	}
}

// TestConfirmedPartsAreExpectedAgain guards against a guess that stays wrong although the engine says
// that it holds a part, and against remembering the own parts of requests.
func TestConfirmedPartsAreExpectedAgain(t *testing.T) {
	p, uncached, uses := sentLong(t)
	later := start.Add(2 * time.Second)
	p.Evict(later, uses)
	held := []placement.Part{{ID: uses[0].Part, Tokens: 2500}, {ID: uses[1].Part, Tokens: 3700}, {ID: 7, Tokens: 100}}
	if gone := p.Confirm(later, "e0", held); len(gone) > 0 || uncached(later) != 9000-6200 || p.Parts() != 2 {
		t.Errorf("%v is gone, %d tokens are left and %d parts remembered", gone, uncached(later), p.Parts())
	}
	if told := p.TakeUses(); !slices.Equal(told, uses) {
		t.Errorf("peers are told of %v, want %v", told, uses)
	}
	if p.Confirm(later, "e0", held); len(p.TakeUses()) > 0 {
		t.Error("peers are told again of parts that they know")
	}
	held[1].Tokens = 3696 // A block of the cache may be missing at the end.
	if gone := p.Confirm(later.Add(2*time.Second), "e0", held); len(gone) > 0 {
		t.Errorf("%v is gone, but for a block", gone)
	}
	held[1].Tokens = 3000
	if gone := p.Confirm(later.Add(2*time.Second), "e0", held); !slices.Equal(gone, uses[1:]) {
		t.Errorf("%v is gone, want the part of which a fifth is missing", gone)
	}
}

// TestUnusedPartsAreForgottenByAge guards against trusting old parts after missed events, and against
// parts that survive the restart of an engine, also in messages that are not sent yet.
func TestUnusedPartsAreForgottenByAge(t *testing.T) {
	p, uncached, uses := sentLong(t)
	later := start.Add(10 * time.Second)
	p.UpdatePeer(start.Add(5*time.Second), "peer", history.Position{}, nil, uses[:1])
	if gone := p.EvictUnused(later, "e0", 7*time.Second); !slices.Equal(gone, uses[1:]) || uncached(later) != 9000-2500 {
		t.Errorf("%v is forgotten, want what was not used for 7 s: %v", gone, uses[1:])
	}
	p.Start(later, choose(t, p, later, long(1)), long(1))
	if gone := p.EvictUnused(later, "e0", 0); len(gone) != 2 || uncached(later) != 9000 || len(p.TakeUses()) > 0 {
		t.Errorf("after a restart only %v is forgotten", gone)
	}
}

// TestServingEngines guards against watching engines that leave, are evacuated or are elsewhere.
func TestServingEngines(t *testing.T) {
	p := newPlacement(4)
	p.Set(placement.Engine{ID: "far", Pool: "p", Hall: "other"})
	p.Drain("e1")
	p.Remove("e2")
	got := p.Serving("p", "hall", func(id string) bool { return id != "e3" })
	if len(got) != 1 || got[0].ID != "e0" {
		t.Errorf("got %v, want e0", got)
	}
}
