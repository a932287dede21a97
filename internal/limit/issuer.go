package limit

import (
	"maps"
	"sync"
	"time"
)

const (
	// burst is how many permits an engine that got no requests for a while has free at once.
	burst = 2

	// issuedLife is how long the permits of an engine are remembered that nobody asks for, and sweepEvery how often they are
	// looked through.
	issuedLife = 30 * time.Second
	sweepEvery = 10 * time.Second
)

type (
	// Issuer issues the permits for engines, for all nodes. Its methods may be called from many goroutines.
	Issuer struct {
		mu      sync.Mutex
		engines map[string]*issued
		swept   time.Time
	}

	// issued is how far the permits for an engine are given.
	issued struct {
		rate float64   // rate is in requests a second.
		next time.Time // next is when the next permit is free.
	}
)

// NewIssuer returns an issuer that has issued nothing.
func NewIssuer() *Issuer { return &Issuer{engines: map[string]*issued{}} }

// Issue issues a permit for an engine that takes a rate, in requests a second, if one is free within the longest wait. It
// returns how long it is until then, in either case. An issuer that has issued none for an engine does not know what another
// has issued just before, so that its first is free after the time from one to the next.
func (i *Issuer) Issue(now time.Time, engine string, rate float64, longest time.Duration) (wait time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	every := time.Duration(float64(time.Second) / rate)
	e := i.engines[engine]
	if e == nil {
		e = &issued{rate: rate, next: now.Add(every)}
		i.engines[engine] = e
	}
	if ahead := e.next.Sub(now); e.rate != rate && ahead > 0 {
		e.next = now.Add(time.Duration(float64(ahead) * e.rate / rate))
	}
	e.rate = rate
	if idle := now.Add(-(burst - 1) * every); e.next.Before(idle) {
		e.next = idle
	}
	wait = max(0, e.next.Sub(now))
	if wait > longest {
		return wait, false
	}
	e.next = e.next.Add(every)
	return wait, true
}

// sweep forgets engines for which nobody asks any more. The caller holds the lock.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.swept) < sweepEvery {
		return
	}
	i.swept = now
	maps.DeleteFunc(i.engines, func(_ string, e *issued) bool { return now.Sub(e.next) > issuedLife })
}
