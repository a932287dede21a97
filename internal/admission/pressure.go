package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// longWaitShare is the share of a target from which an expected wait counts as long.
	longWaitShare = 0.7

	// pressureHalfLife is the time in which the newest request's wait counts half: a pool
	// falls behind, and catches up, within a few prompts.
	pressureHalfLife = 300 * time.Millisecond

	// pressureStep is the most that one request counts, where they are rare.
	pressureStep = 0.5
)

// Pressure follows which share of a pool's newest requests was expected to wait long. The
// zero value is ready for use; its methods may be called from many goroutines.
type Pressure struct {
	mu    sync.Mutex
	share float64
	at    time.Time
}

// Observe takes the wait that is expected for a request with a target, and returns the
// share of the newest requests whose wait was long, this one among them.
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
