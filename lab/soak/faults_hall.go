package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// evacuateHall evacuates a hall, for longer than its engines may still get new requests, and takes that back.
func evacuateHall(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	hall := hallOf(r.IntN(halls))
	w.evacuating.Lock()
	defer w.evacuating.Unlock()
	key := "evacuate/" + hall
	if err := w.write(row{"op", key, map[string]any{}}); err != nil {
		return err
	}
	begin := time.Now()
	pause.For(ctx, evacuateWithin+d/2)
	w.ledger.evacuate(hall, begin, time.Now())
	return w.write(row{"op", key, nil})
}
