package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// partitionDuration is how long all nodes are cut off from the store while a key is revoked:
// longer than the key may still be used.
const partitionDuration = revokeWithin + 2*time.Second

// revokeKey revokes a random key, unless only two are left.
func revokeKey(_ context.Context, env *Environment, r *rand.Rand, _ time.Duration) error {
	env.mu.Lock()
	if len(env.keys) <= 2 {
		env.mu.Unlock()
		return nil
	}
	i := r.IntN(len(env.keys))
	revoked := env.keys[i]
	env.keys = append(env.keys[:i:i], env.keys[i+1:]...)
	env.mu.Unlock()
	if err := env.putConfig(); err != nil {
		return err
	}
	env.ledger.recordTime(env.ledger.revoked, revoked.text, time.Now())
	return nil
}

// revokeWhilePartitioned revokes a key while all nodes are cut off from the store.
func revokeWhilePartitioned(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	env.mu.Lock()
	nodes := append([]*node(nil), env.nodes...)
	env.mu.Unlock()
	for _, n := range nodes {
		n.store.Set(relay.Cut)
	}
	err := revokeKey(ctx, env, r, d)
	pause.For(ctx, partitionDuration)
	for _, n := range nodes {
		n.store.Set(relay.Pass)
	}
	return err
}

// takeAllKeys takes all keys away for a time, so that the configuration has an empty list of teams.
func takeAllKeys(ctx context.Context, env *Environment, _ *rand.Rand, d time.Duration) error {
	env.mu.Lock()
	taken := env.keys
	env.keys = nil
	env.mu.Unlock()
	err := env.putConfig()
	pause.For(ctx, d)
	env.mu.Lock()
	env.keys = append(slices.Clone(taken), env.keys...)
	env.mu.Unlock()
	return errors.Join(err, env.putConfig())
}

// addKey adds a key that no caller uses, which raises the configuration version.
func addKey(_ context.Context, env *Environment, r *rand.Rand, _ time.Duration) error {
	env.mu.Lock()
	env.keys = append(env.keys, key{fmt.Sprintf("new-%d", r.Uint64()), "team-0"})
	env.mu.Unlock()
	return env.putConfig()
}
