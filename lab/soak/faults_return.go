package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/platform"
)

const (
	// maxLoss is the most that the store loses when it comes back from a copy.
	maxLoss = 3 * time.Second

	// maxRewriteDelay is how long the operator and the engines take at most to write again what was lost.
	maxRewriteDelay = 800 * time.Millisecond
)

// writtenRow is the last value of a row that the operator or an engine wrote.
type writtenRow struct {
	row
	at time.Time
}

// returnStore makes the store come back from a copy, right after a key was revoked, once or twice in a row, after an outage or without one.
// The operator and the engines write again what they had written.
func returnStore(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	if err := revokeKey(ctx, env, r, d); err != nil {
		return err
	}
	lost := time.Now().Add(-time.Duration(r.Int64N(int64(maxLoss))))
	for range 1 + r.IntN(2) {
		if r.IntN(2) == 0 {
			if err := env.post("/control/faults", platform.Faults{Down: true}); err != nil {
				return err
			}
			pause.For(ctx, d)
		}
		if err := env.post("/control/return", platform.Return{LoseMs: int(time.Since(lost).Milliseconds())}); err != nil {
			return err
		}
		if err := env.post("/control/faults", platform.Faults{}); err != nil {
			return err
		}
	}
	pause.For(ctx, time.Duration(r.Int64N(int64(maxRewriteDelay))))
	return env.writeAgain(lost)
}

// writeAgain writes the rows again that were written since a time, in their order.
func (env *Environment) writeAgain(since time.Time) error {
	env.writeMu.Lock()
	defer env.writeMu.Unlock()
	lost := slices.SortedFunc(maps.Values(env.written), func(a, b writtenRow) int { return a.at.Compare(b.at) })
	for _, w := range lost {
		if w.at.Before(since) {
			continue
		}
		if entry, ok := w.value.(map[string]any); ok && w.table == "servers" && entry["sequence"] != nil {
			entry = maps.Clone(entry)
			entry["sequence"] = time.Now().UnixMicro()
			w.value = entry
		}
		if err := env.writeLocked(w.row); err != nil {
			return err
		}
	}
	return nil
}
