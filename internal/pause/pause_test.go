package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// TestFor holds that a pause ends with its time or with the context, and tells which.
func TestFor(t *testing.T) {
	if !pause.For(context.Background(), time.Microsecond) {
		t.Error("a pause that lasted its time says that the context ended")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if pause.For(ctx, time.Hour) {
		t.Error("a pause that the context ended says that it goes on")
	}
}
