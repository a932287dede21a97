package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// randomEngine returns a random engine and the relay in front of it.
func (env *Environment) randomEngine(r *rand.Rand) (*engine, *relay.Relay) {
	env.mu.Lock()
	defer env.mu.Unlock()
	e := env.engines[r.IntN(len(env.engines))]
	return e, env.relays[e.id]
}

// misbehave sets random modes on about half of the engines.
func misbehave(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	return setModes(ctx, env, r, d, func() int { return r.IntN(modeCount) })
}

// cutAnswers makes about half of the engines end their connections after any byte of their answers.
func cutAnswers(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	return setModes(ctx, env, r, d, func() int { return modeCutAnywhere })
}

// sendEndless makes about half of the engines send heads without end in place of their answers.
func sendEndless(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	return setModes(ctx, env, r, d, func() int { return modeEndless })
}

// setModes sets drawn modes on about half of the engines, for a time.
func setModes(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration, mode func() int) error {
	env.mu.Lock()
	engines := append([]*engine(nil), env.engines...)
	env.mu.Unlock()
	for _, e := range engines {
		if r.IntN(2) == 0 {
			e.oddMode.Store(int64(mode()))
			e.evenMode.Store(int64(mode()))
		}
	}
	pause.For(ctx, d)
	for _, e := range engines {
		e.oddMode.Store(modeHealthy)
		e.evenMode.Store(modeHealthy)
	}
	return nil
}

// replace removes an engine from the environment and starts a new one in its pool, with its version.
func (env *Environment) replace(e *engine) error { return env.replaceWith(e, e.version) }

// replaceWith is replace with another version of the new engine.
func (env *Environment) replaceWith(e *engine, version string) error {
	e.entryMu.Lock()
	e.replaced = true
	e.entryMu.Unlock()
	env.mu.Lock()
	for i, other := range env.engines {
		if other == e {
			env.engines = append(env.engines[:i:i], env.engines[i+1:]...)
			break
		}
	}
	env.mu.Unlock()
	return env.addEngine(e.pool, version)
}

// crashEngine stops an engine without notice; its entry is deleted later.
func crashEngine(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	e, link := env.randomEngine(r)
	if err := env.replace(e); err != nil {
		return err
	}
	e.shutDown()
	link.Set(relay.Cut)
	pause.For(ctx, d)
	return env.write(row{"servers", e.id, nil})
}

// drainEngine marks an engine as draining in its entry; the engine keeps serving for a while,
// then stops.
func drainEngine(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	e, _ := env.randomEngine(r)
	return env.drain(ctx, e, e.version, d)
}

// drain replaces an engine by one of a version, and drains it.
func (env *Environment) drain(ctx context.Context, e *engine, version string, d time.Duration) error {
	e.entryMu.Lock()
	replaced := e.replaced
	e.entryMu.Unlock()
	if replaced {
		return nil // Another fault has it.
	}
	if err := env.replaceWith(e, version); err != nil {
		return err
	}
	e.lifecycleMu.Lock() // Prevents restarts while it drains.
	if err := env.putEngine(e, "draining"); err != nil {
		return err
	}
	env.ledger.recordTime(env.ledger.leaving, e.id, time.Now())
	pause.For(ctx, drainWithin+d)
	e.close()
	return env.write(row{"servers", e.id, nil})
}
