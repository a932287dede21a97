package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// cutAll is how long all nodes are cut from the store while a key is taken away:
// longer than a key may still be used then.
const cutAll = revokeWithin + 2*time.Second

// revokeKey takes a key away, but for the last two.
func revokeKey(_ context.Context, w *World, r *rand.Rand, _ time.Duration) error {
	w.mu.Lock()
	if len(w.keys) <= 2 {
		w.mu.Unlock()
		return nil
	}
	i := r.IntN(len(w.keys))
	gone := w.keys[i]
	w.keys = append(w.keys[:i:i], w.keys[i+1:]...)
	w.mu.Unlock()
	if err := w.putConfig(); err != nil {
		return err
	}
	w.ledger.mark(w.ledger.revoked, gone.text, time.Now())
	return nil
}

// revokeUnseen takes a key away while no node can hear of it.
func revokeUnseen(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	w.mu.Lock()
	nodes := append([]*node(nil), w.nodes...)
	w.mu.Unlock()
	for _, n := range nodes {
		n.store.Set(relay.Cut)
	}
	err := revokeKey(ctx, w, r, d)
	pause.For(ctx, cutAll)
	for _, n := range nodes {
		n.store.Set(relay.Pass)
	}
	return err
}

// giveKey gives a new team key that callers do not use, so that the version rises.
func giveKey(_ context.Context, w *World, r *rand.Rand, _ time.Duration) error {
	w.mu.Lock()
	w.keys = append(w.keys, key{fmt.Sprintf("new-%d", r.Uint64()), "team-0"})
	w.mu.Unlock()
	return w.putConfig()
}
