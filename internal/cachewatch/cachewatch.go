// Package cachewatch follows the cache events of engines, so that placement knows which prompt parts
// engines still hold. Without them a node assumes that a part stays for a fixed time, while engines
// under load evict much earlier.
//
// Each engine is watched by one node, which tells the others. All state is soft: where nobody watches
// or events are missing, the assumption of placement holds.
package cachewatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// maxPending bounds the evictions kept for the next message to peers. Far fewer fit into a
	// message; the newest are kept.
	maxPending = 4096

	// logInterval and logBurst bound the log lines about engines whose events cannot be read: when a
	// hall is cut off, all its engines fail at once.
	logInterval = 10 * time.Second
	logBurst    = 10

	// loggedFailures is the number of failures in a row from which they are logged. One refusal is
	// usual while another node stops watching the engine.
	loggedFailures = 2
)

type (
	// Event is a change of a prompt part in an engine's cache.
	Event struct {
		Part uint64 // Part is the ID of the part as placement.NewPart hashes it.
		Kept int    // Kept is how many tokens of the part the cache holds now; 0 if it was evicted.
	}

	// Answer holds the events of an engine since a position.
	Answer struct {
		Epoch  string // Epoch changes when the engine restarts; empty if unknown.
		Next   int64  // Next is the position after the newest event.
		Lost   bool   // Lost means that some events since the position are missing.
		Events []Event
	}

	// Source makes calls to engines.
	Source interface {
		// CacheEvents returns the events at an address since a position. It waits about a second for
		// events if there are none. It returns an error if the engine refuses the call.
		CacheEvents(ctx context.Context, address string, since int64) (Answer, error)
	}

	// Cache is what is known of the engines' caches. The methods that change it return the parts that it
	// forgot.
	Cache interface {
		Evict(now time.Time, uses []placement.Use) []placement.Use
		EvictUnused(now time.Time, engine string, unused time.Duration) []placement.Use
		Confirm(now time.Time, engine string, held []placement.Part) []placement.Use
		PartsInUse(now time.Time, within time.Duration) map[string]int // PartsInUse counts the parts used within a time by engine ID.
	}

	// Observer counts what happens in a pool.
	Observer interface {
		CacheWatched(pool string, change int)           // CacheWatched counts engines that this node watches.
		CacheEvents(pool string, events, forgotten int) // CacheEvents counts a call, its events and forgotten parts.
		CacheEventsFailed(pool string)                  // CacheEventsFailed counts a failed call.
	}

	// Watcher watches engines. It is safe for concurrent use.
	Watcher struct {
		source   Source
		cache    Cache
		observer Observer
		log      *slog.Logger
		clock    func() time.Time
		lines    *rate.Limiter
		turns    *turns

		mu      sync.Mutex
		closed  bool
		watched map[string]*watch // by engine ID
		evicted []placement.Use   // evictions since the last call of TakeEvicted, oldest first
		wg      sync.WaitGroup
	}

	// watch is one engine that is being watched. Only its goroutine uses the position.
	watch struct {
		engine   placement.Engine
		cancel   context.CancelFunc
		position position
		logged   time.Time // logged is when a failure was logged that is not over; zero if there is none.
	}

	// Option configures a Watcher.
	Option func(*Watcher)
)

// WithClock sets the clock; the default is that of the process.
func WithClock(clock func() time.Time) Option { return func(w *Watcher) { w.clock = clock } }

// New returns a Watcher that watches nothing yet.
func New(source Source, cache Cache, observer Observer, log *slog.Logger, options ...Option) *Watcher {
	w := &Watcher{
		source: source, cache: cache, observer: observer, log: log, clock: clock.Now, lines: rate.NewLimiter(rate.Every(logInterval), logBurst),
		watched: map[string]*watch{},
	}
	for _, option := range options {
		option(w)
	}
	w.turns = &turns{clock: w.clock}
	return w
}

// Sync sets the engines to watch. An engine with another address or incarnation than before is
// watched anew.
func (w *Watcher) Sync(engines []placement.Engine) {
	now := w.clock()
	w.turns.rank(now, len(engines), func() map[string]int { return w.cache.PartsInUse(now, gapUnused) })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(engines) == 0 && len(w.watched) == 0 {
		return
	}
	wanted := make(map[string]bool, len(engines))
	for _, e := range engines {
		wanted[e.ID] = true
		known := w.watched[e.ID]
		if known != nil && known.engine.Address == e.Address && known.engine.Incarnation == e.Incarnation {
			continue
		}
		w.stop(e.ID)
		w.start(e)
	}
	for id := range w.watched {
		if !wanted[id] {
			w.stop(id)
		}
	}
}

// Stop stops watching an engine at once.
func (w *Watcher) Stop(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop(id)
}

// Close stops all watching and waits for it to end.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.closed = true
	for id := range w.watched {
		w.stop(id)
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// TakeEvicted returns the parts forgotten since the last call, oldest first.
func (w *Watcher) TakeEvicted() []placement.Use {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.evicted
	w.evicted = nil
	return out
}

// start starts to watch an engine. The caller holds the lock.
func (w *Watcher) start(e placement.Engine) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &watch{engine: e, cancel: cancel}
	w.watched[e.ID] = s
	w.observer.CacheWatched(e.Pool, 1)
	w.wg.Go(func() { w.run(ctx, s) })
}

// stop stops watching an engine, if it is watched. The caller holds the lock.
func (w *Watcher) stop(id string) {
	if s := w.watched[id]; s != nil {
		delete(w.watched, id)
		s.cancel()
		w.observer.CacheWatched(s.engine.Pool, -1)
	}
}

// run calls an engine until the context ends.
func (w *Watcher) run(ctx context.Context, s *watch) {
	pause.For(ctx, startDelay(s.engine.ID))
	for since := w.clock(); w.turns.await(ctx, s.engine.ID, since); {
		a, err := w.source.CacheEvents(ctx, s.engine.Address, s.position.next)
		if ctx.Err() != nil {
			return
		}
		now := w.clock()
		since = now
		if err != nil {
			w.fail(now, s, err)
		} else {
			w.apply(now, s, a)
		}
		pause.For(ctx, max(s.position.pause, w.callPause()))
	}
}

// callPause returns the time between two calls to an engine, apart from failures.
func (w *Watcher) callPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return callPause(len(w.watched))
}

// apply applies an answer.
func (w *Watcher) apply(now time.Time, s *watch, a Answer) {
	if !s.logged.IsZero() {
		w.log.Info("cache events of an engine are read again", "engine", s.engine.ID, "after_ms", now.Sub(s.logged).Milliseconds())
		s.logged = time.Time{}
	}
	forgotten := s.position.advance(now, a).apply(now, w.cache, s.engine.ID)
	w.observer.CacheEvents(s.engine.Pool, len(a.Events), len(forgotten))
	if len(forgotten) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evicted = append(w.evicted, forgotten...)
	if excess := len(w.evicted) - maxPending; excess > 0 {
		w.evicted = append(w.evicted[:0], w.evicted[excess:]...)
	}
}

// fail records a failed call.
func (w *Watcher) fail(now time.Time, s *watch, err error) {
	s.position.fail()
	w.observer.CacheEventsFailed(s.engine.Pool)
	if s.position.failures >= loggedFailures && s.logged.IsZero() && w.lines.AllowN(now, 1) {
		s.logged = now
		w.log.Warn("cannot read cache events of an engine; its cache is guessed", "engine", s.engine.ID, "pool", s.engine.Pool, "failures", s.position.failures, "error", err.Error())
	}
}
