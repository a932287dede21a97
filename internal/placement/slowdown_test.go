package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestSlowedEngineIsAvoided guards against streams with tight pauses on engines that reported to be
// slow, against reports that count too long or although they are no slowdown, and against older
// reports of peers that replace newer ones.
func TestSlowedEngineIsAvoided(t *testing.T) {
	for name, pool := range map[string]struct {
		p          *placement.Placement
		r          placement.Request
		until, end time.Duration // avoided until then, and no longer at the end
		half       float64       // slowdown expected 200 ms after a report of 2.5
	}{
		"interactive":     {interactivePool(60), shortStream(1), 250 * time.Millisecond, 600 * time.Millisecond, 1.75},
		"not interactive": {newPlacement(9), stream(1), 300 * time.Millisecond, 301 * time.Millisecond, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			p, r := pool.p, pool.r
			reported(p, start, 9, 90) // so that the set has several engines
			first := choose(t, p, start, r)
			call := p.Start(start, first, r)
			call.Began(start)
			usual := choose(t, p, start, r) // the wait is the same at all of these engines
			slowed := func(factor float64) float64 {
				return usual.Wait + (factor-1)*float64(usual.QueuedTokens)/usual.PrefillRate
			}
			avoided := func(now time.Time) bool { return choose(t, p, now, r).Engine.ID != first.Engine.ID }
			for _, odd := range []float64{0, -1, 0.009, 101, math.NaN(), math.Inf(1)} {
				if call.ReportSlowdown(start, odd); avoided(start) {
					t.Errorf("avoided after a report of %v", odd)
				}
			}
			if call.ReportSlowdown(start, 2.5); !avoided(start.Add(pool.until)) {
				t.Errorf("not avoided %v after a report of 2.5", pool.until)
			}
			if avoided(start.Add(pool.end)) {
				t.Errorf("still avoided %v after a report of 2.5", pool.end)
			}
			p.UpdateSlowdowns(start.Add(50*time.Millisecond), history.Position{}, []placement.Slowdown{{Engine: first.Engine.ID, Percent: 100, AgeMs: 60}})
			if !avoided(start.Add(50 * time.Millisecond)) {
				t.Error("an older report of a peer replaced a newer one")
			}
			p.UpdateSlowdowns(start.Add(50*time.Millisecond), history.Position{}, []placement.Slowdown{{Engine: first.Engine.ID, Percent: 140, AgeMs: 10}})
			r.Avoid = map[string]bool{}
			for _, e := range p.Engines() {
				r.Avoid[e.ID] = e.ID != first.Engine.ID
			}
			reportedAt := start.Add(40 * time.Millisecond)
			if c := choose(t, p, reportedAt, r); math.Abs(c.Wait-slowed(1.4)) > 0.01 {
				t.Errorf("after a newer report of a peer a wait of %.2f ms, want %.2f ms", c.Wait, slowed(1.4))
			}
			call.ReportSlowdown(reportedAt, 2.5)
			if c := choose(t, p, reportedAt.Add(200*time.Millisecond), r); math.Abs(c.Wait-slowed(pool.half)) > 0.05 {
				t.Errorf("200 ms after a report of 2.5 a wait of %.2f ms, want %.2f ms", c.Wait, slowed(pool.half))
			}
		})
	}
}

// TestSlowdownsForPeers guards against reports that peers do not get, such as the end of a slowdown,
// or get without need, and against a change of the encoded load, which the release before refuses.
func TestSlowdownsForPeers(t *testing.T) {
	p := interactivePool(2)
	call := p.Start(start, choose(t, p, start, shortStream(1)), shortStream(1))
	for _, report := range []struct {
		after  time.Duration
		factor float64
		want   int // percent; 0 for no entry
	}{{0, 1.05, 0}, {50 * time.Millisecond, 2.5, 250}, {100 * time.Millisecond, 1, 100}, {time.Second, 1, 0}} {
		now := start.Add(report.after)
		call.ReportSlowdown(now, report.factor)
		got := 0
		for _, s := range p.Slowdowns(now.Add(20 * time.Millisecond)) {
			if got = int(s.Percent); s.AgeMs != 20 {
				t.Errorf("age %d ms, want 20", s.AgeMs)
			}
		}
		if got != report.want {
			t.Errorf("after %v: %d%% for peers, want %d%%", report.after, got, report.want)
		}
	}
	if raw, err := cbor.Marshal(placement.Load{}); err != nil || raw[0] != 0x83 {
		t.Errorf("a load is encoded as %x (%v), want an array of three", raw, err)
	}
}
