package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	// maxEntrySize is the length in bytes of an oversized zone in an invalid entry.
	maxEntrySize = 60_000

	// oddRowRecovery is how long after all nodes have started a request must be served at the latest.
	oddRowRecovery = 12 * time.Second
)

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

// releaseEngine adds a reserved engine to the environment again, unless another fault has replaced it meanwhile.
func (env *Environment) releaseEngine(e *engine) {
	e.entryMu.Lock()
	defer e.entryMu.Unlock()
	if e.replaced {
		return
	}
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

// startBesideOddRow kills all nodes while the list of engines has an odd row. One of them must serve again.
func startBesideOddRow(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	if err := env.post("/control/faults", platform.Faults{OddRow: true}); err != nil {
		return err
	}
	if err := killAllNodes(ctx, env, r, d); err != nil {
		return err
	}
	served := func() bool {
		for i, n := range env.nodes {
			key, _ := env.randomKey(r)
			req, err := newRequest(ctx, n.callerAddress, routeSafe, fmt.Sprintf("odd-%d-%d", i, r.Uint64()), key, "a:50", "odd")
			if err != nil {
				return false
			}
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
				if resp.StatusCode == success {
					return true
				}
			}
		}
		return false
	}
	if err := cluster.Wait("a request is served", oddRowRecovery, served); err != nil && ctx.Err() == nil {
		env.ledger.recordExit("no request was served beside an odd row of the store")
	}
	return env.post("/control/faults", platform.Faults{})
}
