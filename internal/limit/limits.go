// Package limit enforces the rate limits that engines announce: how many requests per second each accepts from all nodes
// together. Nodes gossip the limits. For each engine one node issues permits, and every node obtains one there before it
// sends the engine a request.
package limit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/news"
)

const (
	// minRate is the lowest rate that is enforced, in requests per second. An engine with a lower limit, or a limit of zero, still
	// gets a request now and then, since only its answers show when the limit ends.
	minRate = 0.2

	// maxRate is the highest rate that is enforced, in requests per second; a higher limit is treated as none.
	maxRate = 1000

	// limitTTL is how long a limit is valid if it is not announced again, and clearedTTL how long the end of a limit is
	// remembered, so that late gossip does not restore the limit.
	limitTTL   = 5 * time.Minute
	clearedTTL = 30 * time.Second
)

type (
	// Limits holds the limits of engines. It is safe for concurrent use.
	Limits struct {
		log *slog.Logger

		limited atomic.Int64 // limited is the number of engines that have a limit.

		mu        sync.RWMutex
		engines   map[string]*engineLimit
		gossip    news.List // gossip lists the engines to gossip.
		lastSweep time.Time // lastSweep is when expired limits were last removed.
	}

	// engineLimit is the limit that an engine last announced.
	engineLimit struct {
		rate       float64   // rate is in requests per second; 0 if the limit has ended.
		reportedAt time.Time // reportedAt is when the engine last announced it.
		learnedAt  time.Time // learnedAt is when this node learned of the present rate.
		nextPermit time.Time // nextPermit is when a permit is expected to be available.
	}
)

// New returns Limits without engines.
func New(log *slog.Logger) *Limits { return &Limits{log: log, engines: map[string]*engineLimit{}} }

// Answered applies the limit in an engine's answer to a request sent at a time, or the absence of one. An answer without a
// limit ends a known limit only if its request was sent after the limit was last announced, since answers may overtake
// one another.
func (l *Limits) Answered(now, sent time.Time, engine string, rate float64, limited bool) {
	if !limited && l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.engines[engine]
	if !limited && (known == nil || known.rate == 0 || sent.Before(known.reportedAt)) {
		return
	}
	l.update(now, now, engine, effectiveRate(rate, limited), "answer")
}

// effectiveRate returns the rate to enforce for an announced limit; 0 for none.
func effectiveRate(rate float64, limited bool) float64 {
	if !limited || rate >= maxRate {
		return 0
	}
	return max(rate, minRate)
}

// update applies a rate that an engine announced at a time, unless a newer one is known. The caller holds the lock.
func (l *Limits) update(now, at time.Time, engine string, rate float64, from string) {
	known := l.engines[engine]
	if known == nil {
		if rate == 0 {
			return
		}
		known = &engineLimit{}
		l.engines[engine] = known
		l.gossip.Add(engine)
	}
	if !at.After(known.reportedAt) {
		return
	}
	known.reportedAt = at
	if known.rate == rate {
		return
	}
	l.log.Info("engine limit", "engine", engine, "rate", rate, "before", known.rate, "from", from, "age_ms", now.Sub(at).Milliseconds())
	l.setRate(known, rate)
	known.learnedAt, known.nextPermit = now, time.Time{}
	l.gossip.MarkChanged(engine)
}

// setRate sets the rate of an engine and updates the number of engines that have a limit. The caller holds the lock.
func (l *Limits) setRate(known *engineLimit, rate float64) {
	switch {
	case known.rate == 0 && rate > 0:
		l.limited.Add(1)
	case known.rate > 0 && rate == 0:
		l.limited.Add(-1)
	}
	known.rate = rate
}

// SetNextPermit records that no permit for an engine is expected to be available before a time.
func (l *Limits) SetNextPermit(engine string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.engines[engine]; known != nil {
		known.nextPermit = until
	}
}

// Forget removes the limit of an engine that has restarted.
func (l *Limits) Forget(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(engine)
}

// drop removes the limit of an engine. The caller holds the lock.
func (l *Limits) drop(engine string) {
	if known := l.engines[engine]; known != nil {
		l.setRate(known, 0)
		l.gossip.Remove(engine)
		delete(l.engines, engine)
	}
}

// Opens reports whether an engine has a limit, and when a permit to send it a request is expected to be available.
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
	return known.nextPermit, true
}

// Rate returns the limit of an engine in requests per second and its age, or false if it has none.
func (l *Limits) Rate(now time.Time, engine string) (rate float64, age time.Duration, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	known := l.engines[engine]
	if known == nil || known.rate == 0 {
		return 0, 0, false
	}
	return known.rate, now.Sub(known.reportedAt), true
}

// Len returns the number of engines that have a limit.
func (l *Limits) Len() int64 { return l.limited.Load() }

// sweep removes limits that were not announced for long, and ended limits that all peers have learned of. The caller holds
// the lock.
func (l *Limits) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for engine, known := range l.engines {
		if known.rate == 0 && now.Sub(known.learnedAt) > clearedTTL || now.Sub(known.reportedAt) > limitTTL {
			l.drop(engine)
		}
	}
}
