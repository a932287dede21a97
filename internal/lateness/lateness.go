// Package lateness tells how far a process is behind: how long what it has to do waits until it gets the processor.
package lateness

import (
	"sync"
	"time"
)

// window is how long an observation counts at least; it counts twice as long at most.
const window = 4 * time.Second

// Gauge holds the greatest lateness that was observed recently. It is safe for concurrent use.
type Gauge struct {
	mu           sync.Mutex
	since        time.Time // since is when the present window began.
	last, latest observation
}

// observation is the greatest lateness of a window, and when it was observed.
type observation struct {
	late time.Duration
	at   time.Time
}

// Observe adds that something was done later than it could have been.
func (g *Gauge) Observe(now time.Time, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(now)
	if late >= g.latest.late {
		g.latest = observation{late, now}
	}
}

// Recent returns the greatest lateness that was observed recently.
func (g *Gauge) Recent(now time.Time) time.Duration {
	late, _ := g.Worst(now)
	return late
}

// Worst returns the greatest lateness that was observed recently, and how long ago that was.
func (g *Gauge) Worst(now time.Time) (late, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(now)
	worst := g.latest
	if g.last.late > worst.late {
		worst = g.last
	}
	if worst.late == 0 {
		return 0, 0
	}
	return worst.late, now.Sub(worst.at)
}

// turn begins a new window when the present one is over. The caller holds the lock.
func (g *Gauge) turn(now time.Time) {
	switch age := now.Sub(g.since); {
	case age < window:
		return
	case age < 2*window:
		g.last = g.latest
	default:
		g.last = observation{}
	}
	g.since, g.latest = now, observation{}
}
