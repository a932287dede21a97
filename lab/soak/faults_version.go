package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	streamPool = "llm"  // streamPool is the pool that serves the streams.
	deskPool   = "desk" // deskPool is the pool that serves all other requests.
)

// initialVersion returns the software version of an engine that is started first: with two seeds of three
// there are two versions from the start.
func (env *Environment) initialVersion() string {
	if env.opts.Seed%3 == 0 || env.enginesStarted%4 < 2 {
		return "v1"
	}
	return "v2"
}

// rollVersions replaces some or all engines of the streams by engines of a new version, one after another.
// The new one starts before the old one begins to drain.
func rollVersions(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	env.mu.Lock()
	env.versions++
	version := fmt.Sprintf("v%d", 10+env.versions)
	var old []*engine
	for _, e := range env.engines {
		if e.pool == streamPool && r.IntN(3) > 0 {
			old = append(old, e)
		}
	}
	env.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(old))
	for i, e := range old {
		wg.Go(func() { errs[i] = env.drain(ctx, e, version, d) })
		pause.For(ctx, 300*time.Millisecond)
	}
	wg.Wait()
	return errors.Join(errs...)
}

// killAllNodes kills all nodes that no other fault owns, and starts them again.
func killAllNodes(ctx context.Context, env *Environment, _ *rand.Rand, d time.Duration) error {
	env.mu.Lock()
	var nodes []*node
	for _, n := range env.nodes {
		if !n.reserved {
			n.reserved = true
			nodes = append(nodes, n)
		}
	}
	env.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(nodes))
	for i, n := range nodes {
		wg.Go(func() {
			defer env.releaseNode(n)
			errs[i] = killNode(ctx, env, n, d)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
