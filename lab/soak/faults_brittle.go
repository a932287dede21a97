package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// brittleSlots is how many requests a brittle engine runs at a time; none may wait. brittleLimit is
	// how many it may turn away in a second without falling over.
	brittleSlots = 1
	brittleLimit = 2

	// maxFalls is how often the engines of a pool may fall over in one time in which they are brittle.
	maxFalls = 2
)

// brittleness is the state of an engine while it is brittle. A fall is counted only.
type brittleness struct {
	mu       sync.Mutex
	running  int
	rejected []time.Time // rejected holds the times of the rejections since the last fall.
	falls    int
}

// brittlePeriod is a time in which the engines of a pool were brittle.
type brittlePeriod struct {
	pool string
	interval
	falls int
}

// enter reports whether the engine has room for a request.
func (b *brittleness) enter(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < brittleSlots {
		b.running++
		return true
	}
	if b.rejected = append(b.rejected, now); len(b.rejected) > brittleLimit {
		if now.Sub(b.rejected[len(b.rejected)-1-brittleLimit]) < time.Second {
			b.falls, b.rejected = b.falls+1, nil
		}
	}
	return false
}

// leave frees the room of a request.
func (b *brittleness) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// rejectBrittle turns a request away if the engine is brittle and has no room; leave frees the room.
func (e *engine) rejectBrittle(w http.ResponseWriter) (leave func(), rejected bool) {
	b := e.brittle.Load()
	if b == nil {
		return func() {}, false
	}
	w.Header().Set("Server-Brittle", strconv.Itoa(brittleLimit))
	if b.enter(time.Now()) {
		return b.leave, false
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return func() {}, true
}

// makeBrittle makes the engines of a pool brittle, after a time in which they say so and have room.
func makeBrittle(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	pool := []string{streamPool, deskPool}[r.IntN(2)]
	if !env.brittleMu.TryLock() {
		return nil
	}
	defer env.brittleMu.Unlock()
	env.mu.Lock()
	var engines []*engine
	for _, e := range env.engines {
		if e.pool == pool {
			engines = append(engines, e)
		}
	}
	env.mu.Unlock()
	for _, e := range engines {
		if err := env.putSlots(e, brittleSlots); err != nil {
			return err
		}
		e.brittle.Store(&brittleness{})
	}
	pause.For(ctx, contactTime)
	from, falls := time.Now(), 0
	for _, e := range engines {
		e.brittle.Store(&brittleness{})
	}
	pause.For(ctx, contactTime+d)
	for _, e := range engines {
		b := e.brittle.Swap(nil)
		b.mu.Lock()
		falls += b.falls
		b.mu.Unlock()
		if err := env.putSlots(e, usualSlots); err != nil {
			return err
		}
	}
	env.ledger.recordBrittle(brittlePeriod{pool, interval{from, time.Now()}, falls})
	return nil
}

// putSlots writes an engine's entry with other slots, unless the engine is on its way out.
func (env *Environment) putSlots(e *engine, slots int64) error {
	e.entryMu.Lock()
	defer e.entryMu.Unlock()
	e.slots.Store(slots)
	if e.replaced {
		return nil
	}
	return env.putEngine(e, "ready")
}

// recordBrittle records a time in which the engines of a pool were brittle.
func (l *Ledger) recordBrittle(p brittlePeriod) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittle = append(l.brittle, p)
}

// tooManyFalls returns a violation if engines fell over too often while nodes and store had no faults.
func (l *Ledger) tooManyFalls(p brittlePeriod) []string {
	if p.falls <= maxFalls || !l.faultFree(p.from.Add(-2*recoveryTime), p.to) {
		return nil
	}
	return []string{fmt.Sprintf("brittle engines of pool %s fell over %d times, %d allowed", p.pool, p.falls, maxFalls)}
}
