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

	// termWithin is how long another node may take to become the holder of the duties.
	termWithin = 8 * time.Second

	// lateRewriteDelay is how long they take where nodes start meanwhile, about as long as the nodes expect at most.
	lateRewriteDelay = 1800 * time.Millisecond

	// lossBeforeRevoked is how long before the end of a revoked key the store comes back without the revocation: before
	// then nodes start and read the copy, and what was lost is written again only after it.
	lossBeforeRevoked = 800 * time.Millisecond

	// maxRewriteDelay is how long the operator and the engines take at most to write again what was lost.
	maxRewriteDelay = 800 * time.Millisecond
)

// writtenRow is the last value of a row that the operator or an engine wrote.
type writtenRow struct {
	row
	at time.Time // at is when the store had acknowledged it.
}

// returnStore makes the store come back from a copy, right after a key was revoked, once or twice in a row, after
// an outage or without one. The operator and the engines write again what they had written.
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

// loseAllAtAReturn revokes a key, and shortly before its time is over makes the store come back from a copy that has it
// and kills all nodes, so that nobody is left who knows better.
func loseAllAtAReturn(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	copied := time.Now()
	if err := revokeKey(ctx, env, r, d); err != nil {
		return err
	}
	pause.For(ctx, revokeWithin-lossBeforeRevoked)
	env.platform.GoBack(copied)
	back := time.Now()
	if err := killAllNodes(ctx, env, r, 0); err != nil {
		return err
	}
	pause.For(ctx, lateRewriteDelay-time.Since(back))
	return env.writeAgain(copied)
}

// loseEvacuation makes the store come back from a copy that lacks a hall's evacuation, which the operator writes again.
func loseEvacuation(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	hall := hallOf(r.IntN(halls))
	env.evacuationMu.Lock()
	defer env.evacuationMu.Unlock()
	key := "evacuate/" + hall
	copied := time.Now()
	if err := env.write(row{"op", key, map[string]any{}}); err != nil {
		return err
	}
	begin := time.Now()
	pause.For(ctx, evacuateWithin+d)
	env.platform.GoBack(copied)
	pause.For(ctx, maxRewriteDelay)
	if err := env.writeAgain(copied); err != nil {
		return err
	}
	pause.For(ctx, d)
	env.ledger.recordEvacuation(hall, begin, time.Now())
	return env.write(row{"op", key, nil})
}

// loseTerm kills the holder of the duties, makes the store come back from a copy that lacks the term of the next
// one, and kills that, too.
func loseTerm(ctx context.Context, env *Environment, _ *rand.Rand, d time.Duration) error {
	copied := time.Now()
	for range 2 {
		calls := env.platform.DutyCalls()
		if len(calls) == 0 {
			return nil
		}
		last := calls[len(calls)-1]
		n := env.reserveNodeNamed(last.Holder)
		if n == nil {
			return nil
		}
		if err := func() error { defer env.releaseNode(n); return killNode(ctx, env, n, d) }(); err != nil {
			return err
		}
		for end := time.Now().Add(termWithin); time.Now().Before(end) && env.platform.DutyCalls()[len(env.platform.DutyCalls())-1] == last; {
			pause.For(ctx, 50*time.Millisecond)
		}
		if copied.IsZero() {
			break
		}
		env.platform.GoBack(copied)
		if err := env.writeAgain(copied); err != nil {
			return err
		}
		copied = time.Time{}
	}
	return nil
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
