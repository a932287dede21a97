package retry

import (
	"testing"
	"time"
)

// TestAllowanceBoundsWorkForNothing guards against second runs that take a twentieth of the engines' time or more, also where
// each takes longer than was set aside for it.
func TestAllowanceBoundsWorkForNothing(t *testing.T) {
	var a Allowance
	ran, spent := time.Duration(0), time.Duration(0)
	for range 5000 {
		a.Answered("p", 500*time.Millisecond)
		ran += 500 * time.Millisecond
		if a.Take("p", 300*time.Millisecond) {
			a.Settle("p", 300*time.Millisecond, 400*time.Millisecond)
			spent += 400 * time.Millisecond
		}
	}
	if share := spent.Seconds() / (ran + spent).Seconds(); share > 0.05 || share < 0.02 {
		t.Errorf("%.3f of the time was spent on second runs", share)
	}
	if a.Take("other", 2*firstAllowance) || !a.Take("other", firstAllowance) {
		t.Error("a pool without runs has another allowance than the first")
	}
}
