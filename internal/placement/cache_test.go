package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// reportPart reports as a peer that an engine has processed a session's part.
func reportPart(p *placement.Placement, now time.Time, engine string, session int) {
	p.UpdatePeer(now, "peer", history.Position{}, nil, []placement.Use{{Engine: engine, Part: placement.NewPart(fmt.Sprint("session", session), 0).ID}, {Engine: engine, Part: placement.NewPart("root", 0).ID}})
}

// TestThousandsOfSessionsAreRemembered checks that a node knows, for each of 6,000 sessions with
// 700 requests a second over all nodes, which engine has the prompt cached.
func TestThousandsOfSessionsAreRemembered(t *testing.T) {
	const sessions = 6000
	p := newPlacement(8)
	now := start
	for i := range 2 * sessions {
		now = now.Add(time.Second / 700)
		reportPart(p, now, fmt.Sprint("e", i%8), i%sessions)
	}
	lost := 0
	for i := range sessions {
		if c := choose(t, p, now, long(i)); c.PrefillTokens != 9000-6200 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("of %d sessions, %d are no longer known", sessions, lost)
	}
}

// TestRememberedPartsAreBounded checks that the number of remembered parts is bounded and that
// the least recently used ones are evicted first.
func TestRememberedPartsAreBounded(t *testing.T) {
	p := newPlacement(1)
	now := start
	const sessions = 3 * placement.MaxParts
	for i := range sessions {
		now = now.Add(time.Millisecond / 10)
		reportPart(p, now, "e0", i)
	}
	if got := p.Parts(); got > placement.MaxParts {
		t.Errorf("%d parts are remembered, want at most %d", got, placement.MaxParts)
	}
	if c := choose(t, p, now, long(sessions-1)); c.PrefillTokens != 9000-6200 {
		t.Error("the newest session was evicted")
	}
}

// TestSharedPartsAreNotProcessedMoreOftenWithMoreEngines serves many new sessions with a common first
// prompt part, one after the other, and checks that with eight times as many engines not many
// more of them process that part again.
func TestSharedPartsAreNotProcessedMoreOftenWithMoreEngines(t *testing.T) {
	const sessions = 1000
	uncached := map[int]int{}
	for _, engines := range []int{1000, 8000} {
		p := newPlacement(engines)
		now := start
		for i := range sessions {
			r := long(i)
			c := choose(t, p, now, r)
			if c.PrefillTokens == r.Prompt.Tokens {
				uncached[engines]++
			}
			call := p.Start(now, c, r)
			call.Began(now.Add(100 * time.Millisecond))
			call.End(now.Add(100*time.Millisecond), placement.Answered)
			now = now.Add(10 * time.Millisecond)
		}
	}
	t.Logf("prompts processed from scratch, by number of engines: %v", uncached)
	if float64(uncached[8000]) > 1.5*float64(uncached[1000]) {
		t.Errorf("the shared part was processed from scratch %d times on 8,000 engines, %d times on 1,000", uncached[8000], uncached[1000])
	}
}
