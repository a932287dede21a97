package limit

import (
	"maps"
	"sync"
	"time"
)

const (
	// burst is how many permits are available at once for an engine that was idle.
	burst = 2

	// issuedTTL is how long the schedule of an engine is kept after its last permit, and sweepInterval how often expired
	// ones are removed.
	issuedTTL     = 30 * time.Second
	sweepInterval = 10 * time.Second
)

type (
	// Issuer issues the permits for engines to all nodes. It is safe for concurrent use.
	Issuer struct {
		mu        sync.Mutex
		engines   map[string]*schedule
		lastSweep time.Time
	}

	// schedule is the state of the permits for an engine.
	schedule struct {
		rate float64   // rate is in requests per second.
		next time.Time // next is when the next permit is available.
	}
)

// NewIssuer returns an Issuer without state.
func NewIssuer() *Issuer { return &Issuer{engines: map[string]*schedule{}} }

// Issue issues a permit for an engine with a rate limit, in requests per second, if one is available within maxWait. It
// returns the time until a permit is available in either case. A new issuer doesn't know what its predecessor issued
// last, so its first permit for an engine is available only after one interval.
func (i *Issuer) Issue(now time.Time, engine string, rate float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	interval := time.Duration(float64(time.Second) / rate)
	e := i.engines[engine]
	if e == nil {
		e = &schedule{rate: rate, next: now.Add(interval)}
		i.engines[engine] = e
	}
	if backlog := e.next.Sub(now); e.rate != rate && backlog > 0 {
		e.next = now.Add(time.Duration(float64(backlog) * e.rate / rate))
	}
	e.rate = rate
	if idle := now.Add(-(burst - 1) * interval); e.next.Before(idle) {
		e.next = idle
	}
	wait = max(0, e.next.Sub(now))
	if wait > maxWait {
		return wait, false
	}
	e.next = e.next.Add(interval)
	return wait, true
}

// sweep removes the schedules of engines that are no longer asked for. The caller holds the lock.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.lastSweep) < sweepInterval {
		return
	}
	i.lastSweep = now
	maps.DeleteFunc(i.engines, func(_ string, e *schedule) bool { return now.Sub(e.next) > issuedTTL })
}
