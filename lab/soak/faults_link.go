package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/croftturn/croftturn/lab/relay"
)

const (
	// nodeLinkMbps is the bandwidth of a node's link to the engines, in megabits a second. Only a node whose link is to
	// be full is held to it.
	nodeLinkMbps = 16

	// fullLinkBody is the size of the requests that fill a link, in bytes, at twice what it carries.
	fullLinkBody = 32 << 10
)

// fillLink makes callers ask for more than the link of a node carries, and leave.
func fillLink(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	n := env.reserveNode(r)
	if n == nil {
		return nil
	}
	defer env.releaseNode(n)
	defer env.ledger.beginOutage(n.name)()
	env.setNodeLink(n, relay.NewLink(nodeLinkMbps))
	defer env.setNodeLink(n, nil)
	env.askAndLeave(ctx, n, r, d, strings.Repeat("b", fullLinkBody))
	return nil
}

// setNodeLink sets the link of a node to all engines.
func (env *Environment) setNodeLink(n *node, l *relay.Link) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, engine := range env.relays {
		engine.SetLink(n.sourceIP, l)
	}
}
