// Package retry bounds how many requests go to a second engine, so that a
// service in trouble is not pressed further by the router.
package retry

import (
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/recent"
)

// slices is how many parts a window is counted in.
const slices = 20

type (
	// Limits are the bounds over all nodes.
	Limits struct {
		Share  float64       // Share of the requests that may be sent again.
		Extra  float64       // Extra is how many more may be sent again in a window, over all nodes.
		Window time.Duration // Window slides.
	}

	// Budget counts the requests and retries of one node, by pool.
	Budget struct {
		limits Limits
		nodes  func() int
		start  time.Time // start of the count; differences to it are of the steady clock

		mu    sync.Mutex
		pools map[string]*window
	}

	// window counts what was sent to one pool.
	window struct {
		requests, retries *recent.Counter
	}
)

// New returns a budget; nodes tells how many nodes share the limits.
func New(now time.Time, limits Limits, nodes func() int) *Budget {
	return &Budget{limits: limits, nodes: nodes, start: now, pools: map[string]*window{}}
}

// SetLimits changes the limits; a new window takes effect with a new process only.
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

// Take reports whether one more request may be sent again, and counts it. This
// node's part of the extra is that of one node among all.
func (b *Budget) Take(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	allowed := b.limits.Share*float64(w.requests.Sum(now)) + b.limits.Extra/float64(max(1, b.nodes()))
	if float64(w.retries.Sum(now)+1) > allowed {
		return false
	}
	w.retries.Add(now)
	return true
}

// window returns a pool's counts.
func (b *Budget) window(pool string) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{requests: recent.New(b.start, b.limits.Window, slices), retries: recent.New(b.start, b.limits.Window, slices)}
		b.pools[pool] = w
	}
	return w
}
