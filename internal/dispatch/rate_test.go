package dispatch

import (
	"testing"
	"time"
)

// TestRate checks that a steady rate is measured within a tenth after some seconds, and that it
// falls once requests stop.
func TestRate(t *testing.T) {
	var r rateMeter
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.add(now)
	}
	if got := r.at(now); got < 90 || got > 110 {
		t.Errorf("got %.1f a second, want about 100", got)
	}
	if got := r.at(now.Add(rateHalfLife)); got < 45 || got > 55 {
		t.Errorf("got %.1f after one half life, want about 50", got)
	}
	if got := (&rateMeter{}).at(now); got != 0 {
		t.Errorf("got %.1f before the first request", got)
	}
}
