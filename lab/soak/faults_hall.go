package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// evacuateHall evacuates a hall for longer than its engines may still get new requests, then
// reverts it.
func evacuateHall(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	hall := hallOf(r.IntN(halls))
	env.evacuationMu.Lock()
	defer env.evacuationMu.Unlock()
	key := "evacuate/" + hall
	if err := env.write(row{"op", key, map[string]any{}}); err != nil {
		return err
	}
	begin := time.Now()
	pause.For(ctx, evacuateWithin+d/2)
	env.ledger.recordEvacuation(hall, begin, time.Now())
	return env.write(row{"op", key, nil})
}
