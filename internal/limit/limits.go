// Package limit keeps to the limits that engines name: how many requests a second each takes from all nodes together.
// Nodes tell each other which engines named one. One node issues the permits for an engine, and every node takes one there
// before it sends the engine a request.
package limit

import (
	"log/slog"
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

		limited atomic.Int64 // limited is how many engines have a limit.

		mu      sync.RWMutex
		engines map[string]*stated
		tell    news.List // tell is what peers are told of.
		swept   time.Time // swept is when old entries were last looked for.
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
	if !limited && l.limited.Load() == 0 {
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
		l.tell.Add(engine)
	}
	if !at.After(known.at) {
		return
	}
	known.at = at
	if known.rate == rate {
		return
	}
	l.log.Info("engine limit", "engine", engine, "rate", rate, "before", known.rate, "from", from, "age_ms", now.Sub(at).Milliseconds())
	l.count(known, rate)
	known.changed, known.opens = now, time.Time{}
	l.tell.MarkChanged(engine)
}

// count sets the rate of an engine, and counts those that have a limit. The caller holds the lock.
func (l *Limits) count(known *stated, rate float64) {
	switch {
	case known.rate == 0 && rate > 0:
		l.limited.Add(1)
	case known.rate > 0 && rate == 0:
		l.limited.Add(-1)
	}
	known.rate = rate
}

// Close records that no permit for an engine is free before a moment, as far as is known.
func (l *Limits) Close(engine string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.engines[engine]; known != nil {
		known.opens = until
	}
}

// Forget drops what is known of an engine that has started again.
func (l *Limits) Forget(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(engine)
}

// drop drops what is known of an engine. The caller holds the lock.
func (l *Limits) drop(engine string) {
	if known := l.engines[engine]; known != nil {
		l.count(known, 0)
		l.tell.Remove(engine)
		delete(l.engines, engine)
	}
}

// Opens reports whether an engine has a limit, and when a permit to send a request there is expected to be free.
func (l *Limits) Opens(engine string) (at time.Time, limited bool) {
	if l.limited.Load() == 0 {
		return time.Time{}, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	known := l.engines[engine]
	if known == nil || known.rate == 0 {
		return time.Time{}, false
	}
	return known.opens, true
}

// Rate returns an engine's limit in requests a second and the age of what it said, or false where it has none.
func (l *Limits) Rate(now time.Time, engine string) (rate float64, age time.Duration, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	known := l.engines[engine]
	if known == nil || known.rate == 0 {
		return 0, 0, false
	}
	return known.rate, now.Sub(known.at), true
}

// Len returns how many engines have a limit.
func (l *Limits) Len() int64 { return l.limited.Load() }

// sweep drops limits that nobody said for long, and ends that all have heard of. The caller holds the lock.
func (l *Limits) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for engine, known := range l.engines {
		if known.rate == 0 && now.Sub(known.changed) > endedLife || now.Sub(known.at) > statedLife {
			l.drop(engine)
		}
	}
}
