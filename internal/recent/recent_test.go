package recent_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/recent"
)

var start = time.Unix(1000, 0)

// TestEventsExpireBySlice checks that an event counts for the window, less one slice at most, and
// no longer, also after many windows without events.
func TestEventsExpireBySlice(t *testing.T) {
	c := recent.New(start, 5*time.Second, 10)
	for range 3 {
		c.Add(start.Add(400 * time.Millisecond))
	}
	c.Add(start.Add(4 * time.Second))
	tests := []struct {
		after time.Duration
		want  int
	}{
		{4900 * time.Millisecond, 4},
		{5 * time.Second, 1},
		{8900 * time.Millisecond, 1},
		{9 * time.Second, 0},
		{time.Hour, 0},
	}
	for _, test := range tests {
		if got := c.Sum(start.Add(test.after)); got != test.want {
			t.Errorf("after %v: %d events, want %d", test.after, got, test.want)
		}
	}
}

// TestEventsOutOfOrder checks that a time before the newest slice, or before the start, counts
// as now and clears nothing: goroutines read the clock before they count.
func TestEventsOutOfOrder(t *testing.T) {
	c := recent.New(start, 5*time.Second, 10)
	c.Add(start.Add(-time.Minute))
	c.Add(start.Add(3 * time.Second))
	c.Add(start.Add(time.Second))
	if got := c.Sum(start.Add(2 * time.Second)); got != 3 {
		t.Errorf("%d events, want 3", got)
	}
	if got := c.Sum(start.Add(7 * time.Second)); got != 2 {
		t.Errorf("%d events after the first expired, want 2", got)
	}
}
