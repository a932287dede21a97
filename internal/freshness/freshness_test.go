package freshness_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/freshness"
)

// TestProofFromBeforeASuspensionIsRejected checks that after a suspension only a newer proof is accepted.
func TestProofFromBeforeASuspensionIsRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	p := freshness.New(4 * time.Second)
	p.Renew(now)
	resumed := now.Add(time.Second)
	p.Invalidate(resumed)
	p.Renew(resumed.Add(-time.Millisecond))
	if _, proven := p.Age(resumed); proven || p.Fresh(resumed) {
		t.Error("a proof from before the suspension is accepted")
	}
	if p.Renew(resumed); !p.Fresh(resumed) {
		t.Error("a proof from after the suspension is not accepted")
	}
	p.Hold(resumed.Add(time.Second))
	p.Invalidate(resumed.Add(time.Millisecond))
	if p.Renew(resumed.Add(2 * time.Millisecond)); p.Fresh(resumed.Add(2*time.Millisecond)) || p.Wait(resumed) != time.Second {
		t.Error("a suspension ends the time for which no proof is accepted")
	}
}
