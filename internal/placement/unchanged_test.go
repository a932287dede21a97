package placement_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestPlainPoolsChooseAsBefore guards against a change of the choices in pools that are not
// interactive: engines, waits and queues of a seeded mix of requests are those of release c41eaf3,
// where the hash was taken.
func TestPlainPoolsChooseAsBefore(t *testing.T) {
	const before = 0xb50503615771a806
	rng := rand.New(rand.NewPCG(3, 4))
	p, h, now := newPlacement(24), fnv.New64a(), start
	var calls []*placement.Call
	for step := range 3000 {
		now = now.Add(4 * time.Millisecond)
		if step%25 == 0 {
			p.UpdatePeer(now, fmt.Sprint("peer", step/25%4), history.Position{}, map[string]placement.Load{
				fmt.Sprint("e", rng.IntN(24)): {PrefillTokens: rng.IntN(9000), InFlight: 1 + rng.IntN(30), Streams: rng.IntN(20)},
			}, nil)
		}
		r := long(rng.IntN(40))
		if step%2 == 0 {
			r = stream(rng.IntN(40))
		}
		c := choose(t, p, now, r)
		fmt.Fprintf(h, "%s %.3f %d %t\n", c.Engine.ID, c.Wait, c.QueuedTokens, c.GapSensitive)
		call := p.Start(now, c, r)
		calls = append(calls, call)
		if len(calls) > 60 {
			ended := rng.IntN(len(calls))
			calls[ended].Began(now)
			calls[ended].Report(now, 1+rng.IntN(9), rng.IntN(3))
			calls[ended].Received(now)
			calls[ended].End(now, placement.Outcome(rng.IntN(2)*rng.IntN(2)))
			calls = append(calls[:ended], calls[ended+1:]...)
		}
	}
	if got := h.Sum64(); got != before {
		t.Errorf("the choices hash to %#x, before to %#x", got, uint64(before))
	}
}
