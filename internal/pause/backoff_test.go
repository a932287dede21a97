package pause

import (
	"testing"
	"time"
)

// TestBackoffDoublesUpToItsBound holds the pauses after failures in a row, and that a
// success begins them anew.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	var b Backoff
	for round := range 2 {
		for i, want := range []time.Duration{50, 100, 200, 400, 800, 800} {
			if got := b.step(); got != want*time.Millisecond {
				t.Errorf("round %d, failure %d: %v, want %v ms", round, i, got, int(want))
			}
		}
		b.Reset()
	}
}
