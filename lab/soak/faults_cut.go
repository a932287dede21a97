package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// cutOffNode cuts a node off from all engines for longer than it may need to get by without them. Its
// connections hang, end, or are reset.
func cutOffNode(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	mode := []relay.Mode{relay.Hold, relay.Cut, relay.Reset}[r.IntN(3)]
	n := env.reserveNode(r)
	if n == nil {
		return nil
	}
	defer env.releaseNode(n)
	from := time.Now()
	env.setEngineLinks(n, mode)
	pause.For(ctx, contactTime+cutObservation+d)
	env.ledger.recordCut(n.name, from, time.Now())
	env.setEngineLinks(n, relay.Pass)
	return nil
}

// setEngineLinks sets the mode of a node's connections to all engines.
func (env *Environment) setEngineLinks(n *node, m relay.Mode) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, link := range env.relays {
		link.SetFor(n.sourceIP, m)
	}
}
