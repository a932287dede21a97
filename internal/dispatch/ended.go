package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// probeWait bounds how long a request that broke off waits to learn whether its engine has
	// ended: a port on which nothing listens any more says so within the way there and back, a few
	// ms; a machine without power says nothing.
	probeWait = 150 * time.Millisecond

	// probeLife is how long what was found out about an engine holds for other requests that
	// broke off there: all connections of a process end within some ms. One that lived a while ago may have ended since.
	probeLife = 50 * time.Millisecond
)

type (
	// Prober finds out about engines from outside.
	Prober interface {
		// Ended reports whether nothing listens at an engine's address any more.
		Ended(ctx context.Context, address string) bool
	}

	// Option changes a dispatcher.
	Option func(*Dispatcher)

	// endings finds out whether engines have ended, once for all requests that broke off there.
	endings struct {
		prober Prober

		mu     sync.Mutex
		probes map[string]*probe // probes are by the engine's address.
	}

	// probe is one look at an engine. ended and took are set once done is closed.
	probe struct {
		begun time.Time
		done  chan struct{}
		ended bool
		took  time.Duration
	}
)

// WithProber has a dispatcher find out whether an engine has ended under a request.
func WithProber(p Prober) Option {
	return func(d *Dispatcher) { d.endings.prober = p }
}

// at looks at an engine, unless another request did lately, and returns what was found.
func (e *endings) at(ctx context.Context, now time.Time, address string) *probe {
	e.mu.Lock()
	p := e.probes[address]
	if p != nil && now.Sub(p.begun) <= probeLife {
		e.mu.Unlock()
		<-p.done
		return p
	}
	p = &probe{begun: now, done: make(chan struct{})}
	e.forget(now)
	e.probes[address] = p
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeWait)
	defer cancel()
	p.ended = e.prober.Ended(ctx, address)
	p.took = clock.Since(now)
	close(p.done)
	return p
}

// forget drops what is too old to be used. The caller holds the lock.
func (e *endings) forget(now time.Time) {
	for address, p := range e.probes {
		if now.Sub(p.begun) > probeLife {
			delete(e.probes, address)
		}
	}
}
