// Package retry bounds how many requests go to a second engine, so that a
// service in trouble is not pressed further by the router.
package retry

import (
	"sync"
	"time"
)

// slices is how many parts a window is counted in.
const slices = 20

type (
	// Limits are the bounds over all nodes.
	Limits struct {
		Share  float64       // Share of the requests that may be sent again.
		Extra  int           // Extra is how many more may be sent again in a window.
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

	// window counts by slices of its length.
	window struct {
		requests [slices]int
		retries  [slices]int
		last     int64 // last is the number of the newest slice
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
	w := b.window(now, pool)
	w.requests[w.last%slices]++
}

// Take reports whether one more request may be sent again, and counts it. This
// node's part of the extra is that of one node among all.
func (b *Budget) Take(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, pool)
	allowed := b.limits.Share*float64(sum(w.requests)) + float64(b.limits.Extra)/float64(max(1, b.nodes()))
	if float64(sum(w.retries)+1) > allowed {
		return false
	}
	w.retries[w.last%slices]++
	return true
}

// window returns a pool's counts with the slices before the window cleared.
func (b *Budget) window(now time.Time, pool string) *window {
	w := b.pools[pool]
	at := int64(now.Sub(b.start) / (b.limits.Window / slices))
	if w == nil {
		w = &window{last: at}
		b.pools[pool] = w
	}
	for step := max(w.last+1, at-slices+1); step <= at; step++ {
		w.requests[step%slices], w.retries[step%slices] = 0, 0
	}
	w.last = max(w.last, at)
	return w
}

// sum adds up the slices.
func sum(counts [slices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
