package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// prefill has an engine process one prompt alone at a rate, in tokens per millisecond, and
// returns the choice with its estimate.
func prefill(t *testing.T, p *placement.Placement, now time.Time, rate float64) placement.Choice {
	t.Helper()
	r := placement.Request{Pool: "p", Prompt: placement.Prompt{Tokens: 9000}}
	c := choose(t, p, now, r)
	call := p.Start(now, c, r)
	end := now.Add(time.Duration(9000 / rate * float64(time.Millisecond)))
	call.Began(end)
	call.End(end, placement.Answered)
	return c
}

// TestPrefillRateIsLearned checks that the expected wait follows the observed prefill rate,
// whether engines are slow or fast, and that an engine that stalled once does not count as slow
// for long.
func TestPrefillRateIsLearned(t *testing.T) {
	for _, rate := range []float64{12, 45, 180} {
		p := newPlacement(2)
		now := start
		for range 30 {
			prefill(t, p, now, rate)
			now = now.Add(time.Second)
		}
		if got := prefill(t, p, now, rate).Wait * rate / 9000; math.Abs(got-1) > 0.3 {
			t.Errorf("at %v tokens per millisecond the expected wait is %.2f of the actual one", rate, got)
		}
		prefill(t, p, now, rate/50)
		now = now.Add(time.Minute)
		for range 4 {
			now = now.Add(5 * time.Second)
			prefill(t, p, now, rate)
		}
		if got := prefill(t, p, now.Add(time.Second), rate).Wait * rate / 9000; math.Abs(got-1) > 0.5 {
			t.Errorf("at %v tokens per millisecond, after a stall: %.2f of the actual one", rate, got)
		}
	}
}
