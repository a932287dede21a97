package cachewatch

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxCallRate is how many calls a node makes per second, whatever it watches: with 2,000 nodes and
	// 20,000 engines a hub watches 270 engines, which would take 800 calls per second.
	maxCallRate = 60

	// callInterval is the least time between two calls.
	callInterval = (time.Second + maxCallRate - 1) / maxCallRate

	// rankInterval is how often engines are ranked, which goes through all parts that the node knows.
	rankInterval = 5 * time.Second

	// maxTurnWait is how long an engine may have had no call until it comes before all others: what nodes
	// believe of its cache without events is outdated by then.
	maxTurnWait = 30 * time.Second
)

type (
	// turns bounds the rate of the calls over all engines. Of the engines that wait for a call, those not
	// called for maxTurnWait come first, then those with the most cached parts in use.
	turns struct {
		clock func() time.Time

		mu       sync.Mutex
		parts    map[string]int // cached parts in use by engine ID; nil if there are few engines
		rankedAt time.Time
		next     time.Time // next is the earliest time of the next call.
		waiting  []*turn
		armed    bool // armed means that a timer for the next call is set.
	}

	// turn is an engine that waits for a call.
	turn struct {
		engine  string
		since   time.Time     // since is when it was last called or its watch began.
		granted chan struct{} // granted is closed when the call may be made.
	}
)

// callPause returns the time between two calls to an engine if a node watches some engines: all of them
// together get maxCallRate, up to 300 engines.
func callPause(engines int) time.Duration {
	return min(max(minPause, time.Duration(engines)*callInterval), maxPause)
}

// rank records how many cached parts in use each engine holds, if it is time for it. The ranks do not
// matter while the engines are too few to reach maxCallRate.
func (t *turns) rank(now time.Time, engines int, partsInUse func() map[string]int) {
	if callPause(engines) == minPause {
		return
	}
	t.mu.Lock()
	due := t.parts == nil || now.Sub(t.rankedAt) >= rankInterval
	t.mu.Unlock()
	if !due {
		return
	}
	parts := partsInUse()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts, t.rankedAt = parts, now
}

// await waits until an engine may be called, and reports false if the context ends before.
func (t *turns) await(ctx context.Context, engine string, since time.Time) bool {
	own := &turn{engine: engine, since: since, granted: make(chan struct{})}
	t.mu.Lock()
	t.waiting = append(t.waiting, own)
	if !t.armed {
		t.armed = true
		time.AfterFunc(t.next.Sub(t.clock()), t.grant)
	}
	t.mu.Unlock()
	select {
	case <-own.granted:
		return ctx.Err() == nil
	case <-ctx.Done():
		t.mu.Lock()
		defer t.mu.Unlock()
		t.waiting = slices.DeleteFunc(t.waiting, func(each *turn) bool { return each == own })
		return false
	}
}

// grant lets one engine be called if it is time for it, and sets the timer for the next one.
func (t *turns) grant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted, wait := t.step(t.clock())
	if granted != nil {
		close(granted.granted)
	}
	if t.armed = len(t.waiting) > 0; t.armed {
		time.AfterFunc(wait, t.grant)
	}
}

// step returns the engine that is called now, nil for none, and the time until the next step.
func (t *turns) step(now time.Time) (granted *turn, wait time.Duration) {
	if wait := t.next.Sub(now); wait > 0 || len(t.waiting) == 0 {
		return nil, wait
	}
	best := 0
	for i := range t.waiting {
		if t.before(now, t.waiting[i], t.waiting[best]) {
			best = i
		}
	}
	granted = t.waiting[best]
	t.waiting = slices.Delete(t.waiting, best, best+1)
	t.next = now.Add(callInterval)
	return granted, callInterval
}

// before reports whether an engine is called before another.
func (t *turns) before(now time.Time, a, b *turn) bool {
	late := now.Sub(a.since) >= maxTurnWait
	switch parts := t.parts[a.engine] - t.parts[b.engine]; {
	case late != (now.Sub(b.since) >= maxTurnWait):
		return late
	case late && !a.since.Equal(b.since):
		return a.since.Before(b.since)
	case parts != 0:
		return parts > 0
	}
	return a.since.Before(b.since)
}
