package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// longWaitShare is the share of a target from which an expected wait counts as long.
	longWaitShare = 0.7

	// pressureHalfLife is the half-life of a request's weight: a pool falls behind, and catches
	// up, within a few prompts.
	pressureHalfLife = 300 * time.Millisecond

	// pressureStep is the maximum weight of one request, reached when requests are rare.
	pressureStep = 0.5
)

// Pressure tracks the share of a pool's newest requests with a long expected wait. The zero
// value is ready for use. It is safe for concurrent use.
type Pressure struct {
	mu    sync.Mutex
	share float64
	at    time.Time
}

// Observe records the expected wait of a request with a target and returns the updated share.
func (p *Pressure) Observe(now time.Time, wait, target time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := max(0, now.Sub(p.at).Seconds())
	keep := max(1-pressureStep, math.Exp2(-age/pressureHalfLife.Seconds()))
	p.share *= keep
	if float64(wait) > longWaitShare*float64(target) {
		p.share += 1 - keep
	}
	p.at = now
	return p.share
}
