package dispatch

import (
	"math"
	"sync"
	"time"
)

// rateMemory is how long ago a request counts half as much as a new one: callers
// ask about every two seconds where to go.
const rateMemory = 1400 * time.Millisecond

// rate is how many requests a second come, newer ones weighing more.
type rate struct {
	mu     sync.Mutex
	count  float64
	newest time.Time
}

// note counts a request.
func (r *rate) note(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count = r.countAt(now) + 1
	r.newest = now
}

// at returns the rate.
func (r *rate) at(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countAt(now) * math.Ln2 / rateMemory.Seconds()
}

// countAt returns the count with older requests weighing less; the caller holds the lock.
func (r *rate) countAt(now time.Time) float64 {
	return r.count * math.Exp2(-max(0, now.Sub(r.newest).Seconds())/rateMemory.Seconds())
}
