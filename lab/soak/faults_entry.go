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

// maxEntrySize is the length in bytes of an oversized zone in an invalid entry.
const maxEntrySize = 60_000

// reserveEngine removes an engine from the environment, so that no other fault picks it; it
// returns nil if at most two are left. releaseEngine adds it again.
func (env *Environment) reserveEngine(r *rand.Rand) *engine {
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.engines) <= 2 {
		return nil
	}
	i := r.IntN(len(env.engines))
	e := env.engines[i]
	env.engines = append(env.engines[:i:i], env.engines[i+1:]...)
	return e
}

// releaseEngine adds a reserved engine to the environment again.
func (env *Environment) releaseEngine(e *engine) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.engines = append(env.engines, e)
}

// restartEngine restarts an engine under the same id; its connections are closed or become
// half-open.
func restartEngine(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	e := env.reserveEngine(r)
	if e == nil {
		return nil
	}
	defer env.releaseEngine(e)
	env.mu.Lock()
	link := env.relays[e.id]
	env.mu.Unlock()
	if r.IntN(2) == 0 {
		link.Set(relay.Hold)
	}
	e.lifecycleMu.Lock()
	defer e.lifecycleMu.Unlock()
	err := e.restart(ctx, d)
	link.Set(relay.Pass)
	if err != nil {
		return err
	}
	return env.putEngine(e, "ready")
}

// invalidEntries writes invalid entries under a new key and in place of an engine's entry, and
// restores both later.
func invalidEntries(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	e := env.reserveEngine(r)
	if e == nil {
		return nil
	}
	defer env.releaseEngine(e)
	other := fmt.Sprintf("x-%d", r.IntN(5))
	for _, key := range []string{other, e.id} {
		if err := env.write(row{"servers", key, invalidEntry(r, e)}); err != nil {
			return err
		}
	}
	pause.For(ctx, d)
	if err := env.write(row{"servers", other, nil}); err != nil {
		return err
	}
	return env.putEngine(e, "ready")
}

// invalidEntry returns a random malformed or oversized entry.
func invalidEntry(r *rand.Rand, e *engine) any {
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
		good["zone"] = strings.Repeat("z", maxEntrySize)
	}
	return good
}
