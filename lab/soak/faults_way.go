package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/relay"
)

// atStore returns a fault of the way between one node and the store.
func atStore(m relay.Mode) injection {
	return onWay(m, func(n *node) *relay.Relay { return n.store })
}

// atCallers returns a fault of the way between callers and one node.
func atCallers(m relay.Mode) injection {
	return onWay(m, func(n *node) *relay.Relay { return n.callers })
}

// onWay returns a fault of one of the ways of one node.
func onWay(m relay.Mode, way func(n *node) *relay.Relay) injection {
	return func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
		w.mu.Lock()
		n := w.nodes[r.IntN(len(w.nodes))]
		w.mu.Unlock()
		defer w.ledger.away(n.name)()
		disturb(ctx, way(n), m, d)
		return nil
	}
}

// atEngine returns a fault of the way to one engine.
func atEngine(m relay.Mode) injection {
	return func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
		e, way := w.anyEngine(r)
		defer w.ledger.away(e.id)()
		disturb(ctx, way, m, d)
		return nil
	}
}

// disturb sets the mode of a relay for some time.
func disturb(ctx context.Context, way *relay.Relay, m relay.Mode, d time.Duration) {
	way.Set(m)
	pause.For(ctx, d)
	way.Set(relay.Pass)
}

// store returns a fault of the store.
func store(f platform.Faults) injection {
	return func(ctx context.Context, w *World, _ *rand.Rand, d time.Duration) error {
		if err := w.post("/control/faults", f); err != nil {
			return err
		}
		pause.For(ctx, d)
		return w.post("/control/faults", platform.Faults{})
	}
}
