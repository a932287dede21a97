package admission_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/admission"
)

// TestLowerTiersAreRefusedFirst checks that at no wait a higher tier is rejected while a lower
// one with the same target is admitted, and that the highest tier is never rejected.
func TestLowerTiersAreRefusedFirst(t *testing.T) {
	for wait := time.Duration(0); wait < 10*time.Second; wait += 50 * time.Millisecond {
		higher := true
		for tier := range 5 {
			_, ok := admission.Decide(admission.Request{Tier: tier, Target: time.Second, Timeout: 4 * time.Second, Remaining: 4 * time.Second, Wait: wait})
			if ok && !higher || tier == 0 && !ok {
				t.Fatalf("wait %v: tier %d admitted: %v, the tier above: %v", wait, tier, ok, higher)
			}
			higher = ok
		}
	}
}

// TestRetriesTolerateLongerWaits checks that a rejected request is not rejected again at the
// same wait, and that retry delays are bounded.
func TestRetriesTolerateLongerWaits(t *testing.T) {
	r := admission.Request{Tier: 2, Target: time.Second, Timeout: 4 * time.Second, Remaining: 4 * time.Second, Wait: 700 * time.Millisecond}
	retryAfter, ok := admission.Decide(r)
	if ok || retryAfter < 100*time.Millisecond || retryAfter > 1400*time.Millisecond {
		t.Errorf("first attempt: retry after %v, admitted %v", retryAfter, ok)
	}
	r.Remaining = 3 * time.Second
	if _, ok := admission.Decide(r); !ok {
		t.Error("rejected again at the same wait")
	}
}
