package pause

import (
	"testing"
	"time"
)

// TestBackoffDoublesUpToItsBound checks the delays after consecutive failures and that a success
// resets them.
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
