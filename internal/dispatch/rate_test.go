package dispatch

import (
	"testing"
	"time"
)

// TestRate holds that a steady rate is told within a tenth after some seconds, and
// that it falls once no requests come.
func TestRate(t *testing.T) {
	var r rate
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.note(now)
	}
	if got := r.at(now); got < 90 || got > 110 {
		t.Errorf("got %.1f a second, want about 100", got)
	}
	if got := r.at(now.Add(rateMemory)); got < 45 || got > 55 {
		t.Errorf("got %.1f after one half life, want about 50", got)
	}
	if got := (&rate{}).at(now); got != 0 {
		t.Errorf("got %.1f before the first request", got)
	}
}
