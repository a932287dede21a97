package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/quarantine"
)

const (
	// probeWait bounds how long a request that broke off waits to learn whether its engine has
	// ended: a port on which nothing listens any more says so within the way there and back, a few
	// ms; a machine without power says nothing.
	probeWait = 150 * time.Millisecond

	// probeLife is how long what was found out about an engine holds for other requests that
	// broke off there: all connections of a process end within some ms.
	probeLife = 500 * time.Millisecond
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
	p.took = time.Since(now)
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

// work returns what makes the request the same as another.
func (w *walk) work() quarantine.Work {
	return quarantine.Work{Team: w.teamName(), Method: w.req.Method, Host: w.req.Host, Target: w.req.Target, Model: w.req.Asked, Body: w.req.Body}
}

// lostEngine finds out, where an engine broke off, whether it has ended while the request was at
// work there, unplanned: not whether a connection was cut or fell silent, nor the end of an
// engine that had said it leaves.
func (w *walk) lostEngine(ctx context.Context, now time.Time, cause error) bool {
	d, engine := w.d, w.choice.Engine
	restarted := errors.Is(context.Cause(ctx), errRestarted)
	broke := ctx.Err() == nil && !errors.Is(cause, ErrForeign)
	if d.endings.prober == nil || !restarted && !broke || d.placement.Leaving(engine.ID) {
		return false
	}
	ended, took := restarted, time.Duration(0)
	if !restarted {
		p := d.endings.at(ctx, now, engine.Address)
		ended, took = p.ended, p.took
	}
	d.log.Log(ctx, endedLevel(ended), "engine failed under request", "request", w.req.ID, "fingerprint", w.fingerprint().String(), "route", w.route.Name, "team", w.teamName(),
		"engine", engine.ID, "ended", ended, "restarted", restarted, "after_ms", now.Sub(w.sentAt).Milliseconds(), "probe_ms", took.Milliseconds(), "error", cause.Error())
	if ended {
		d.observer.EngineEnded(w.pool)
	}
	return ended
}

// fingerprint returns the request's fingerprint.
func (w *walk) fingerprint() quarantine.Fingerprint { return quarantine.FingerprintOf(w.work()) }

// endedLevel returns the level at which the failure of an engine is logged.
func endedLevel(ended bool) slog.Level {
	if ended {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}
