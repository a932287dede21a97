package admission_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/admission"
)

// TestPressureFollowsLongWaits checks that the share rises while waits are long, falls soon
// after, and is hardly affected by one long wait among short ones.
func TestPressureFollowsLongWaits(t *testing.T) {
	var p admission.Pressure
	now := time.Unix(1000, 0)
	note := func(n int, wait time.Duration) (share float64) {
		for range n {
			now = now.Add(20 * time.Millisecond)
			share = p.Observe(now, wait, time.Second)
		}
		return share
	}
	note(100, 100*time.Millisecond)
	if got := note(1, 2*time.Second); got > 0.1 {
		t.Errorf("after one long wait %.2f", got)
	}
	if got := note(60, 2*time.Second); got < 0.9 {
		t.Errorf("while all waits are long %.2f", got)
	}
	if got := note(60, 100*time.Millisecond); got > 0.1 {
		t.Errorf("after a second of short waits %.2f", got)
	}
}

// TestToleratedWaitFallsUnderPressure checks that a wait which is tolerated at low pressure is
// rejected when most requests wait long, and that pressure never admits more.
func TestToleratedWaitFallsUnderPressure(t *testing.T) {
	for tier := 1; tier < 4; tier++ {
		for wait := time.Duration(0); wait < 3*time.Second; wait += 50 * time.Millisecond {
			r := admission.Request{Tier: tier, Target: time.Second, Timeout: 6 * time.Second, Remaining: 6 * time.Second, Wait: wait}
			_, calm := admission.Decide(r)
			r.Pressure = 1
			_, pressed := admission.Decide(r)
			if pressed && !calm {
				t.Errorf("tier %d, wait %v: admitted only under pressure", tier, wait)
			}
			if tier == 1 && wait == 1200*time.Millisecond && (!calm || pressed) {
				t.Errorf("tier 1, wait %v: admitted %v, under pressure %v", wait, calm, pressed)
			}
		}
	}
}
