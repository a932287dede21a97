package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// probeTimeout bounds how long a failed request waits for the probe of its engine. A port
	// without a listener refuses a connection within one round trip, a few ms; a machine without
	// power does not answer at all.
	probeTimeout = 150 * time.Millisecond

	// probeTTL is how long a probe result is shared with other requests that failed at the same
	// engine. All connections of a process break within some ms; an engine that was alive earlier
	// may have crashed since.
	probeTTL = 50 * time.Millisecond
)

type (
	// Prober checks engines from outside.
	Prober interface {
		// Ended reports whether nothing listens at the address of an engine any more.
		Ended(ctx context.Context, address string) bool

		// Accepts reports whether an address accepts a connection.
		Accepts(ctx context.Context, address string) bool
	}

	// Option configures a dispatcher.
	Option func(*Dispatcher)

	// crashDetector probes whether engines have terminated, once for all requests that failed
	// there.
	crashDetector struct {
		prober Prober

		mu     sync.Mutex
		probes map[string]*probe // probes are keyed by engine address.

		unconfirmed map[string][]failedRun // unconfirmed holds recent failures by engine.
	}

	// probe is one check of an engine. ended and took are set before done is closed.
	probe struct {
		startedAt time.Time
		done      chan struct{}
		ended     bool
		took      time.Duration
	}
)

// WithProber makes a dispatcher check whether an engine crashed under a request.
func WithProber(p Prober) Option {
	return func(d *Dispatcher) { d.crashes.prober = p }
}

// probe checks an engine, or returns the result of a check by another request that began at since or later.
func (c *crashDetector) probe(ctx context.Context, now, since time.Time, address string) *probe {
	c.mu.Lock()
	p := c.probes[address]
	if p != nil && !p.startedAt.Before(since) {
		c.mu.Unlock()
		<-p.done
		return p
	}
	p = &probe{startedAt: now, done: make(chan struct{})}
	c.expire(now)
	c.probes[address] = p
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	p.ended = c.prober.Ended(ctx, address)
	p.took = clock.Since(now)
	close(p.done)
	return p
}

// expire removes outdated probes. The caller holds the lock.
func (c *crashDetector) expire(now time.Time) {
	for address, p := range c.probes {
		if now.Sub(p.startedAt) > probeTTL {
			delete(c.probes, address)
		}
	}
}
