package freshness_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/freshness"
)

// TestNoProofOfBeforeAnAbsenceCounts holds that after an absence only what was the newest since counts.
func TestNoProofOfBeforeAnAbsenceCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	p := freshness.New(4 * time.Second)
	p.Renew(now)
	back := now.Add(time.Second)
	p.Forget(back)
	p.Renew(back.Add(-time.Millisecond))
	if _, proven := p.Age(back); proven || p.Fresh(back) {
		t.Error("a proof of before the absence counts")
	}
	if p.Renew(back); !p.Fresh(back) {
		t.Error("a proof of after the absence does not count")
	}
}
