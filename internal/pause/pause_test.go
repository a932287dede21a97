package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// TestFor checks that a wait ends with its duration or its context and reports which.
func TestFor(t *testing.T) {
	if !pause.For(context.Background(), time.Microsecond) {
		t.Error("For reported the end of the context after the full duration")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if pause.For(ctx, time.Hour) {
		t.Error("For did not report the end of the context")
	}
}
