package front

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// startWait is how long a request waits at a node that has just started and has no
	// configuration yet: others name it as an entry point as soon as they hear from it, which
	// may be before. It had one 10 ms after such a request was refused.
	startWait = 500 * time.Millisecond

	// startPoll is how often the node looks whether it has one.
	startPoll = 5 * time.Millisecond
)

// awaitConfig waits for the node's first configuration, and reports whether it has one.
func (f *Front) awaitConfig(ctx context.Context, arrived time.Time) bool {
	for now := arrived; f.views.View() == nil && now.Sub(arrived) < startWait && ctx.Err() == nil; now = clock.Now() {
		pause.For(ctx, startPoll)
	}
	return f.views.View() != nil
}
