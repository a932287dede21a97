package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestFastestAvoidsUnusableEngines guards against a second choice that goes to an engine which has
// nothing queued because it fails or has no free slot, and checks that it ignores where the prompt is
// cached.
func TestFastestAvoidsUnusableEngines(t *testing.T) {
	p := newPlacement(4)
	plain := placement.Request{Pool: "p", Interactive: true, Fastest: true, Prompt: placement.Prompt{Tokens: 3000}}
	for range 5 { // e0 fails.
		p.Start(start, placement.Choice{Engine: placement.Engine{ID: "e0"}, PrefillRate: 50}, plain).End(start, placement.Failed)
	}
	p.UpdatePeer(start, "peer", history.Position{}, map[string]placement.Load{"e1": {InFlight: 64}, "e2": {PrefillTokens: 3000}, "e3": {PrefillTokens: 12000}}, nil)
	cached := long(1)
	p.Start(start, placement.Choice{Engine: placement.Engine{ID: "e3"}, PrefillRate: 50}, cached)
	cached.Interactive, cached.Fastest = true, true
	for _, r := range []placement.Request{cached, plain} {
		if got := choose(t, p, start.Add(time.Millisecond), r); got.Engine.ID != "e2" {
			t.Errorf("%s, want e2, the healthy engine with a free slot where the request begins first", got.Engine.ID)
		}
	}
}
