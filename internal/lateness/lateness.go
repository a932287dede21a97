// Package lateness tells how far a process is behind: how long what it has to do waits until it gets the processor.
package lateness

import (
	"context"
	"math/bits"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// window is how long an observation counts at least among the recent ones; it counts twice as long at most.
	window = 4 * time.Second

	// BeatInterval is the time between two beats of a process that is not behind.
	BeatInterval = 50 * time.Millisecond

	// recovery is for how many times as long as it was late a process must have been on time to be no longer behind. One
	// that gets a third of the time or less, in turns, is behind throughout.
	recovery = 2

	// sizes is how many sizes of lateness are told apart, each twice the one before; the first is below a millisecond.
	sizes = 24
)

type (
	// Gauge holds how late the process was lately. It is safe for concurrent use.
	Gauge struct {
		mu           sync.Mutex
		since        time.Time // since is when the present window began.
		last, latest observation
		latestBySize [sizes]observation // latestBySize holds the latest observation of each size.
		beat         time.Time          // beat is the last beat.
		missed       observation        // missed is the last beat that came late by a BeatInterval or more.
	}

	// observation is how late something was done at a time.
	observation struct {
		late time.Duration
		at   time.Time
	}
)

// observe adds that something was done later than it could have been. The caller holds the lock.
func (g *Gauge) observe(now time.Time, late time.Duration) {
	if late <= 0 {
		return
	}
	g.turn(now)
	if late >= g.latest.late {
		g.latest = observation{late, now}
	}
	same := &g.latestBySize[min(bits.Len64(uint64(late.Milliseconds())), sizes-1)]
	if same.counts(now) {
		late = max(late, same.late)
	}
	*same = observation{late, now}
}

// counts reports whether the process is still behind by the observation.
func (o observation) counts(now time.Time) bool { return now.Sub(o.at) < recovery*o.late }

// Run beats until the context ends.
func (g *Gauge) Run(ctx context.Context) {
	tick := time.NewTicker(BeatInterval)
	defer tick.Stop()
	for {
		g.Beat(clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Beat adds that the process ran. It is called once in each BeatInterval, or as soon as possible after it.
func (g *Gauge) Beat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if late := now.Sub(g.beat) - BeatInterval; !g.beat.IsZero() {
		g.observe(now, late)
		if late >= BeatInterval {
			g.missed = observation{late, now}
		}
	}
	g.beat = now
}

// Present returns how late the process is now: the greatest lateness after which it has not been on time for long enough.
func (g *Gauge) Present(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := time.Duration(0)
	for _, o := range g.latestBySize {
		if o.counts(now) {
			late = max(late, o.late)
		}
	}
	return late
}

// NoticeDelay returns for how long, at most, something may have waited that the process notices now: since it stood still, if
// that was a moment ago.
func (g *Gauge) NoticeDelay(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch overdue := now.Sub(g.beat) - BeatInterval; {
	case g.beat.IsZero():
		return 0
	case overdue >= BeatInterval:
		return overdue
	case now.Sub(g.missed.at) <= 2*BeatInterval:
		return g.missed.late + now.Sub(g.missed.at)
	}
	return 0
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
