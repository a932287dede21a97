package edge

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/pause"
)

// minSuspension is the shortest suspension after which this node verifies its configuration and
// reads its engines again. A busy machine may delay a process for less than this.
const minSuspension = 500 * time.Millisecond

// afterSuspension is a clock.Hook that runs after the process was suspended, before any other
// decision. Until the node has caught up on the changes it missed, no key is accepted and no idle
// connection is reused.
func (e *Edge) afterSuspension(now time.Time, away time.Duration) {
	if away < minSuspension {
		return
	}
	e.proof.Invalidate(now)
	e.dispatcher.Resumed(now)
	e.egress.CloseAllIdle()
	e.suspensions.Add(1)
	select {
	case e.suspensionEnded <- away:
	default: // An earlier suspension is still being handled.
	}
}

// handleSuspensions refreshes the node's state after each suspension, until the context ends.
func (e *Edge) handleSuspensions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case away := <-e.suspensionEnded:
			begin := clock.Now()
			e.log.Warn("process was suspended", "away_ms", away.Milliseconds(), "active", e.dispatcher.Active())
			e.discovery.Expire(begin)
			e.refreshTables(ctx)
			e.log.Info("process has caught up after a suspension", "proven", e.proof.Fresh(clock.Now()), "after_ms", clock.Since(begin).Milliseconds())
		}
	}
}

// refreshTables reads the configuration and the engines until the configuration is proven, even
// where other nodes do the reading. One call for each table returns what peers would pass on a
// second or more later.
func (e *Edge) refreshTables(ctx context.Context) {
	config := &feed.Reader{Table: e.configTable, Source: e.store, OnSuccess: e.configProven, OnFailure: e.storeFailed, Log: e.log}
	engines := &feed.Reader{Table: e.engineTable, Source: e.store, OnSuccess: e.storeAnswered, OnFailure: e.storeFailed, Log: e.log}
	var backoff pause.Backoff
	for ctx.Err() == nil && !e.proof.Fresh(clock.Now()) {
		err := config.Read(ctx)
		if err == nil {
			err = engines.Read(ctx)
		}
		if err != nil {
			e.log.Warn("could not read the store after a suspension; retrying", "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		pause.For(ctx, e.proofWait(clock.Now()))
	}
}
