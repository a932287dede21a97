package kv_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/croftturn/croftturn/internal/kv"
)

// TestBoundsHoldTheStoresClock guards against bounds that leave out what the store's clock read, whose rate and answers vary.
func TestBoundsHoldTheStoresClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		us := func(name string, low, high int64) time.Duration {
			return time.Duration(rapid.Int64Range(low, high).Draw(t, name)) * time.Microsecond
		}
		started := time.Unix(1000, 0)
		rate := 1 + rapid.Float64Range(-9e-4, 9e-4).Draw(t, "rate")
		clockAt := func(at time.Time) time.Duration { return time.Duration(rate * float64(at.Sub(started))) }
		sent := started.Add(us("sent", 1_000_000, 1e9))
		read := sent.Add(us("way there", 0, 2_000_000))
		m := kv.Moment{Ms: clockAt(read).Milliseconds(), Sent: sent, Answered: read.Add(us("way back", 0, 2_000_000))}
		at := sent.Add(us("at", -60_000_000, 60_000_000))
		earliest, latest := m.Bounds(at)
		if was := clockAt(at); was < time.Duration(earliest)*time.Millisecond || was > time.Duration(latest)*time.Millisecond {
			t.Fatalf("the clock was at %v, not from %d to %d ms", was, earliest, latest)
		}
	})
}
