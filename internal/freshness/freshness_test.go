package freshness_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/freshness"
)

// TestNoProofOfBeforeAnAbsenceCounts holds that after an absence only what was the newest since counts.
func TestProofFromBeforeASuspensionIsRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	p := freshness.New(4 * time.Second)
	p.Renew(now)
	resumed := now.Add(time.Second)
	p.Invalidate(resumed)
	p.Renew(resumed.Add(-time.Millisecond))
	if _, proven := p.Age(resumed); proven || p.Fresh(resumed) {
		t.Error("a proof of before the absence counts")
	}
	if p.Renew(resumed); !p.Fresh(resumed) {
		t.Error("a proof of after the absence does not count")
	}
}
