package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// mostEntry is the longest entry that another writer writes, in bytes.
const mostEntry = 60_000

// borrow takes an engine out of the world, so that no other fault has it in hand; it is nil
// where few are left. returnEngine puts it back.
func (w *World) borrow(r *rand.Rand) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.engines) <= 2 {
		return nil
	}
	i := r.IntN(len(w.engines))
	e := w.engines[i]
	w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
	return e
}

// returnEngine puts an engine back that was borrowed.
func (w *World) returnEngine(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines = append(w.engines, e)
}

// restartEngine lets an engine end and start again under its id; its connections end with a reset,
// or say nothing any more.
func restartEngine(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e := w.borrow(r)
	if e == nil {
		return nil
	}
	defer w.returnEngine(e)
	w.mu.Lock()
	way := w.relays[e.id]
	w.mu.Unlock()
	if r.IntN(2) == 0 {
		way.Set(relay.Hold)
	}
	e.ending.Lock()
	defer e.ending.Unlock()
	err := e.restart(ctx, d)
	way.Set(relay.Pass)
	if err != nil {
		return err
	}
	return w.putEngine(e, "ready")
}

// strangeEntries writes entries as no engine does, beside the others and in the place of one,
// and sets things right later.
func strangeEntries(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e := w.borrow(r)
	if e == nil {
		return nil
	}
	defer w.returnEngine(e)
	other := fmt.Sprintf("x-%d", r.IntN(5))
	for _, key := range []string{other, e.id} {
		if err := w.write(row{"servers", key, strange(r, e)}); err != nil {
			return err
		}
	}
	pause.For(ctx, d)
	if err := w.write(row{"servers", other, nil}); err != nil {
		return err
	}
	return w.putEngine(e, "ready")
}

// strange returns an entry as no engine writes it, by chance.
func strange(r *rand.Rand, e *engine) any {
	good := e.entry(e.listener.Addr().String(), "ready")
	fields := []string{"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence"}
	field := fields[r.IntN(len(fields))]
	switch r.IntN(5) {
	case 0:
		return raw{0xff, 0, '{'}
	case 1:
		delete(good, field)
	case 2:
		good[field] = []any{field}
	case 3:
		good["state"] = "resting"
	default:
		good["zone"] = strings.Repeat("z", mostEntry)
	}
	return good
}
