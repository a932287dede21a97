package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/relay"
)

// storeLinkFault returns a fault of the connections between a node and the store.
func storeLinkFault(m relay.Mode) injection {
	return nodeLinkFault(m, func(n *node) *relay.Relay { return n.store })
}

// callerLinkFault returns a fault of the connections between callers and a node.
func callerLinkFault(m relay.Mode) injection {
	return nodeLinkFault(m, func(n *node) *relay.Relay { return n.callers })
}

// nodeLinkFault returns a fault of one of the relays of a random node.
func nodeLinkFault(m relay.Mode, link func(n *node) *relay.Relay) injection {
	return func(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
		env.mu.Lock()
		n := env.nodes[r.IntN(len(env.nodes))]
		env.mu.Unlock()
		defer env.ledger.beginOutage(n.name)()
		setModeFor(ctx, link(n), m, d)
		return nil
	}
}

// engineLinkFault returns a fault of the connections to a random engine.
func engineLinkFault(m relay.Mode) injection {
	return func(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
		e, link := env.randomEngine(r)
		defer env.ledger.beginOutage(e.id)()
		setModeFor(ctx, link, m, d)
		return nil
	}
}

// setModeFor sets the mode of a relay for a duration.
func setModeFor(ctx context.Context, link *relay.Relay, m relay.Mode, d time.Duration) {
	link.Set(m)
	pause.For(ctx, d)
	link.Set(relay.Pass)
}

// storeFault returns a fault of the store itself.
func storeFault(f platform.Faults) injection {
	return func(ctx context.Context, env *Environment, _ *rand.Rand, d time.Duration) error {
		if err := env.post("/control/faults", f); err != nil {
			return err
		}
		pause.For(ctx, d)
		return env.post("/control/faults", platform.Faults{})
	}
}
