package edge

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/pause"
)

// leastAbsence is the shortest absence after which this node proves its configuration and reads its engines anew: below
// it lies what a busy machine holds a process up for.
const leastAbsence = 500 * time.Millisecond

// returned is called after an absence, before anything else is decided; it is a clock.Hook. No key is believed, and
// no connection that has rested is trusted, until what it could not hear of is known.
func (e *Edge) returned(now time.Time, away time.Duration) {
	if away < leastAbsence {
		return
	}
	e.proof.Forget(now)
	e.dispatcher.Resumed(now)
	e.egress.ForgetAll()
	e.absences.Add(1)
	select {
	case e.back <- away:
	default: // The one before is still being made up for.
	}
}

// makeUp makes up for absences until the context ends.
func (e *Edge) makeUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case away := <-e.back:
			begin := clock.Now()
			e.log.Warn("process was away", "away_ms", away.Milliseconds(), "active", e.dispatcher.Active())
			e.discovery.Expire(begin)
			e.readAnew(ctx)
			e.log.Info("process is back", "proven", e.proof.Fresh(clock.Now()), "after_ms", clock.Since(begin).Milliseconds())
		}
	}
}

// readAnew reads the configuration and the engines once, whoever else does, until the configuration is proven. One
// call each renews what peers would tell a second or more later.
func (e *Edge) readAnew(ctx context.Context) {
	config := &feed.Reader{Table: e.config, Source: e.store, Proven: e.proven, Lost: e.lost, Log: e.log}
	engines := &feed.Reader{Table: e.engines, Source: e.store, Proven: e.answered, Lost: e.lost, Log: e.log}
	var backoff pause.Backoff
	for ctx.Err() == nil && !e.proof.Fresh(clock.Now()) {
		err := config.Read(ctx)
		if err == nil {
			err = engines.Read(ctx)
		}
		if err != nil {
			e.log.Warn("store not read after an absence", "error", err.Error())
			backoff.Wait(ctx)
		}
	}
}
