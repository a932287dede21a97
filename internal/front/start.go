package front

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// configWait is how long a request waits at a starting node for its first configuration.
	// Other nodes advertise a node as an entry point as soon as they hear from it, which can
	// be earlier: a request was refused 10 ms before the configuration arrived.
	configWait = 500 * time.Millisecond

	// configPollInterval is how often the node checks for a configuration.
	configPollInterval = 5 * time.Millisecond
)

// awaitConfig waits for the first configuration and reports whether one is available.
func (f *Front) awaitConfig(ctx context.Context, arrived time.Time) bool {
	for now := arrived; f.views.View() == nil && now.Sub(arrived) < configWait && ctx.Err() == nil; now = clock.Now() {
		pause.For(ctx, configPollInterval)
	}
	return f.views.View() != nil
}
