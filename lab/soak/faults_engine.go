package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// anyEngine returns an engine by chance.
func (w *World) anyEngine(r *rand.Rand) (*engine, *relay.Relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[r.IntN(len(w.engines))]
	return e, w.relays[e.id]
}

// misbehave lets about half of the engines misbehave, each in one or two of its ways.
func misbehave(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	w.mu.Lock()
	engines := append([]*engine(nil), w.engines...)
	w.mu.Unlock()
	for _, e := range engines {
		if r.IntN(2) == 0 {
			e.odd.Store(int64(r.IntN(modesOfEngines)))
			e.even.Store(int64(r.IntN(modesOfEngines)))
		}
	}
	pause.For(ctx, d)
	for _, e := range engines {
		e.odd.Store(modeWell)
		e.even.Store(modeWell)
	}
	return nil
}

// replace takes an engine out of the world and puts a new one in its place.
func (w *World) replace(e *engine) error {
	w.mu.Lock()
	for i, other := range w.engines {
		if other == e {
			w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	return w.addEngine(e.pool)
}

// crashEngine ends an engine without a word; its entry goes later.
func crashEngine(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e, way := w.anyEngine(r)
	if err := w.replace(e); err != nil {
		return err
	}
	e.end()
	way.Set(relay.Cut)
	pause.For(ctx, d)
	return w.write(row{"servers", e.id, nil})
}

// drainEngine lets an engine say that it leaves, serve on for a while, and end.
func drainEngine(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e, _ := w.anyEngine(r)
	if err := w.replace(e); err != nil {
		return err
	}
	e.ending.Lock() // It serves on, and does not start again.
	if err := w.putEngine(e, "draining"); err != nil {
		return err
	}
	w.ledger.mark(w.ledger.leaving, e.id, time.Now())
	pause.For(ctx, drainWithin+d)
	e.close()
	return w.write(row{"servers", e.id, nil})
}
