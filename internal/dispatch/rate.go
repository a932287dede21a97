package dispatch

import (
	"math"
	"sync"
	"time"
)

// rateHalfLife is the age at which a request counts half as much as a new one. Callers query about
// every two seconds which node to use.
const rateHalfLife = 1400 * time.Millisecond

// rateMeter measures the request rate with exponential decay.
type rateMeter struct {
	mu     sync.Mutex
	count  float64
	newest time.Time
}

// add counts a request.
func (r *rateMeter) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count = r.countAt(now) + 1
	r.newest = now
}

// at returns the rate in requests per second.
func (r *rateMeter) at(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countAt(now) * math.Ln2 / rateHalfLife.Seconds()
}

// countAt returns the decayed count. The caller holds the lock.
func (r *rateMeter) countAt(now time.Time) float64 {
	return r.count * math.Exp2(-max(0, now.Sub(r.newest).Seconds())/rateHalfLife.Seconds())
}
