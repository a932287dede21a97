// Package limit keeps to the limits that engines name: how many requests a second each takes from all nodes together.
// Nodes tell each other which engines named one. One node issues the permits for an engine, and every node takes one there
// before it sends the engine a request.
package limit

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/news"
)

const (
	// leastRate is the lowest rate that is kept to, in requests a second. An engine that takes fewer, or none, is still sent
	// one now and then: only its answers say when the limit ends.
	leastRate = 0.2

	// mostRate is the highest rate that is kept to, in requests a second; a higher one is no limit for any engine.
	mostRate = 1000

	// statedLife is how long a limit holds that is not said again, and endedLife how long its end is remembered, so that
	// what a peer tells late does not bring it back.
	statedLife = 5 * time.Minute
	endedLife  = 30 * time.Second
)

type (
	// Limits knows the limits of engines. Its methods may be called from many goroutines.
	Limits struct {
		log *slog.Logger

		mu      sync.Mutex
		engines map[string]*stated
		turn    news.Turn

		opens atomic.Pointer[map[string]time.Time] // opens is what Opens returns; it is replaced, not changed.
	}

	// stated is what an engine said of its limit.
	stated struct {
		rate    float64   // rate is in requests a second; 0 where the limit has ended.
		at      time.Time // at is when the engine last said so.
		changed time.Time // changed is when this node learned that it is so.
		opens   time.Time // opens is when a permit is expected to be free.
	}
)

// New returns limits of no engines.
func New(log *slog.Logger) *Limits { return &Limits{log: log, engines: map[string]*stated{}} }

// Answered takes what an engine said in an answer to a request that was sent at a moment: its limit, or that it has none. An
// answer without a limit ends one only if the request was sent after the limit was last said: it may have overtaken another.
func (l *Limits) Answered(now, sent time.Time, engine string, rate float64, limited bool) {
	if !limited && l.opens.Load() == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.engines[engine]
	if !limited && (known == nil || known.rate == 0 || sent.Before(known.at)) {
		return
	}
	l.take(now, now, engine, kept(rate, limited), "answer")
}

// kept returns the rate that is kept to where an engine named one; 0 for none.
func kept(rate float64, limited bool) float64 {
	if !limited || rate >= mostRate {
		return 0
	}
	return max(rate, leastRate)
}

// take takes a rate that an engine said at a moment, unless what is known is newer. The caller holds the lock.
func (l *Limits) take(now, at time.Time, engine string, rate float64, from string) {
	known := l.engines[engine]
	if known == nil {
		if rate == 0 {
			return
		}
		known = &stated{}
		l.engines[engine] = known
	}
	if !at.After(known.at) {
		return
	}
	known.at = at
	if known.rate == rate {
		return
	}
	l.log.Info("engine limit", "engine", engine, "rate", rate, "before", known.rate, "from", from, "age_ms", now.Sub(at).Milliseconds())
	known.rate, known.changed, known.opens = rate, now, time.Time{}
	l.publish()
}

// Close records that no permit for an engine is free before a moment, as far as is known.
func (l *Limits) Close(engine string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.engines[engine]; known != nil {
		known.opens = until
		l.publish()
	}
}

// Forget drops what is known of an engine that has started again.
func (l *Limits) Forget(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engines[engine] != nil {
		delete(l.engines, engine)
		l.publish()
	}
}

// Opens returns the engines that have a limit, and for each when a permit is expected to be free there. The map is not to be
// changed; it is nil where no engine has a limit.
func (l *Limits) Opens() map[string]time.Time {
	if opens := l.opens.Load(); opens != nil {
		return *opens
	}
	return nil
}

// Rate returns an engine's limit in requests a second and the age of what it said, or false where it has none.
func (l *Limits) Rate(now time.Time, engine string) (rate float64, age time.Duration, ok bool) {
	if l.opens.Load() == nil {
		return 0, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.engines[engine]
	if known == nil || known.rate == 0 {
		return 0, 0, false
	}
	return known.rate, now.Sub(known.at), true
}

// Len returns how many engines have a limit.
func (l *Limits) Len() int64 { return int64(len(l.Opens())) }

// publish makes Opens return what is known now. The caller holds the lock.
func (l *Limits) publish() {
	opens := map[string]time.Time{}
	for engine, known := range l.engines {
		if known.rate > 0 {
			opens[engine] = known.opens
		}
	}
	if len(opens) == 0 {
		l.opens.Store(nil)
		return
	}
	l.opens.Store(&opens)
}

// forgetOld drops limits that nobody said for long, and ends that all have heard of. The caller holds the lock.
func (l *Limits) forgetOld(now time.Time) {
	known := len(l.engines)
	maps.DeleteFunc(l.engines, func(_ string, s *stated) bool {
		if s.rate == 0 {
			return now.Sub(s.changed) > endedLife
		}
		return now.Sub(s.at) > statedLife
	})
	if len(l.engines) != known {
		l.publish()
	}
}
