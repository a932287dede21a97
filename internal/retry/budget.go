// Package retry bounds how many requests are sent to another engine, so that the router does not
// add load to a service in trouble.
package retry

import (
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/recent"
)

// slices is the number of slices of a window.
const slices = 20

type (
	// Limits are the bounds over all nodes.
	Limits struct {
		Share  float64       // Share of the requests that may be retried.
		Extra  float64       // Extra is the number of additional retries per window, over all nodes.
		Window time.Duration // Window is the length of the sliding window.
	}

	// Budget counts the requests and retries of one node, by pool.
	Budget struct {
		limits Limits
		nodes  func() int
		start  time.Time // start is when counting began; differences to it use the monotonic clock

		mu    sync.Mutex
		pools map[string]*window
	}

	// window counts the requests and retries of one pool.
	window struct {
		requests, retries *recent.Counter
	}
)

// New returns a budget. nodes returns the number of nodes that share the limits.
func New(now time.Time, limits Limits, nodes func() int) *Budget {
	return &Budget{limits: limits, nodes: nodes, start: now, pools: map[string]*window{}}
}

// SetLimits changes the limits, except the window, which is fixed for the life of the process.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Window = b.limits.Window
	b.limits = l
}

// Request counts a request for a pool.
func (b *Budget) Request(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(pool).requests.Add(now)
}

// Take reports whether one more retry is allowed, and counts it. The extra retries are divided
// evenly among the nodes.
func (b *Budget) Take(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	if float64(w.retries.Sum(now)+1) > b.allowed(now, w) {
		return false
	}
	w.retries.Add(now)
	return true
}

// Spare reports whether at least half of the retries of a pool are left. It counts nothing.
func (b *Budget) Spare(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	return float64(w.retries.Sum(now)+1) <= b.allowed(now, w)/2
}

// allowed returns how many retries a pool has in all. The caller holds the lock.
func (b *Budget) allowed(now time.Time, w *window) float64 {
	return b.limits.Share*float64(w.requests.Sum(now)) + b.limits.Extra/float64(max(1, b.nodes()))
}

// window returns the window of a pool. The caller holds the lock.
func (b *Budget) window(pool string) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{requests: recent.New(b.start, b.limits.Window, slices), retries: recent.New(b.start, b.limits.Window, slices)}
		b.pools[pool] = w
	}
	return w
}
