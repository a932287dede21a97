package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// restartSilence is how long a request may get no sign of life from an engine that is known to
	// have restarted before it is assumed to have been sent to the previous incarnation. It is
	// twice the time that an entry takes from the store to a node by way of another node (a delay
	// to batch changes and a message, 100 ms each). A request sent to the current incarnation
	// before that has had a sign, or soon will.
	restartSilence = 500 * time.Millisecond

	// unreadTime is how long a process runs at least before an engine counts as silent: what came while the process stood
	// still is read meanwhile. It is shorter than the turns of a process that gets little time. unreadTries bounds how often
	// it is tried where no turn is as long.
	unreadTime  = 10 * time.Millisecond
	unreadTries = 16
)

var (
	// errEngineSilent ends an attempt whose engine sends nothing for too long.
	errEngineSilent = errors.New("dispatch: engine sent nothing in time")

	// errEngineRestarted ends an attempt whose engine has restarted.
	errEngineRestarted = errors.New("dispatch: engine restarted")
)

// readUnread returns once the process has run for unreadTime without a break, or the context has ended.
func readUnread(ctx context.Context) {
	for range unreadTries {
		begin := clock.Now()
		pause.For(ctx, unreadTime)
		if ctx.Err() != nil || clock.Since(begin) < 2*unreadTime {
			return
		}
	}
}

// abandonSlow returns a function that abandons the current attempt for another engine if there is one and the retry
// budget allows it. Otherwise the attempt goes on, since the answer may still arrive. If it must fit, it goes on as well
// where another attempt, which reads the prompt again, may not end before the node stops. The function reports whether
// that was decided; begun is set if the caller has a part of the answer.
func (x *exchange) abandonSlow(cancel context.CancelCauseFunc, canMove func(now time.Time) bool) func(mustFit, begun bool) (decided bool) {
	engine, sent := x.choice.Engine.ID, x.sent
	return func(mustFit, begun bool) bool {
		now := clock.Now()
		if x.team != nil && (!x.d.proof.Fresh(now) || !x.keyValid()) {
			return true // The request may not be sent to another engine.
		}
		if mustFit && !x.mayMove(now, begun) {
			return true
		}
		if !canMove(now) {
			return false
		}
		if x.takeRetry(now, engine, sent, errEngineSilent) {
			x.retryReserved.Store(true)
			cancel(errEngineSilent)
		}
		return true
	}
}

// noteConnectionLost records that the connection to the engine broke, unless this node ended the
// attempt itself.
func (x *exchange) noteConnectionLost(ctx context.Context, now time.Time) {
	if context.Cause(ctx) == nil {
		x.call.ConnectionLost(now)
	}
}

// watchRestart ends an attempt whose engine has restarted: the request no longer runs there, and
// its connection may stay silent until the deadline. An answer may have been sent before the restart
// and not be read because its caller lags, so only time in which it is read counts as silence.
func (x *exchange) watchRestart(ctx context.Context, cancel context.CancelCauseFunc, call *placement.Call) {
	var (
		lostAt time.Time
		check  func()
	)
	check = func() {
		now := clock.Now()
		if lostAt.IsZero() {
			lostAt = now
		}
		idle := call.Idle(now)
		silent := x.silence(now, idle)
		switch {
		case ctx.Err() != nil || idle < now.Sub(lostAt): // Ended, or the current incarnation has it.
		case silent >= restartSilence:
			cancel(errEngineRestarted)
		default:
			time.AfterFunc(restartSilence-silent, check)
		}
	}
	call.OnLost(check)
}

// silence returns the part of the time since the last data from the engine in which the answer has been
// read.
func (x *exchange) silence(now time.Time, idle time.Duration) time.Duration {
	if x.writing.Load() {
		return 0
	}
	if at := x.readAgainAt.Load(); at != nil {
		return min(idle, now.Sub(*at))
	}
	return idle
}

// mayTryNext reports whether the request may go to one more engine after this one, whatever
// happened to it here.
func (x *exchange) mayTryNext() bool {
	return x.route.Repeatable() && x.sent+1 < x.route.MaxEngines
}

// retry reports whether a repeatable request goes to another engine after a failure, and charges
// the retry budget. That of the next node is charged if this one has none left for a request that was forwarded:
// requests count at the node that places them.
func (x *exchange) retry(now time.Time, cause error) bool {
	if !x.beside.none() && now.Before(x.deadline) {
		return true // Another engine has it already.
	}
	if !x.route.Repeatable() || x.sent >= x.route.MaxEngines || !now.Before(x.deadline) {
		return false
	}
	if x.useRetry(now, cause) {
		return true
	}
	x.unpaid = x.via != "" && x.mustForward() && !x.caller.Left()
	return x.unpaid
}

// payRetry charges the retry budget for a request that no node has charged it for yet, and reports whether it may be sent.
func (x *exchange) payRetry(now time.Time) bool {
	if x.unpaid && !x.takeRetry(now, "", x.sent, errNodeStopped) {
		return false
	}
	x.unpaid = false
	return true
}

// useRetry uses the retry reserved when a slow engine was abandoned, or takes one from the budget.
func (x *exchange) useRetry(now time.Time, cause error) bool {
	return x.retryReserved.Swap(false) || x.takeRetry(now, x.choice.Engine.ID, x.sent, cause)
}

// takeRetry takes one retry from the budget, unless nobody waits for it. engine is the last engine that the request was sent
// to, sent the number of engines so far.
func (x *exchange) takeRetry(now time.Time, engine string, sent int, cause error) bool {
	if x.caller.Left() {
		return false
	}
	ok := x.d.budget.Take(now, x.pool)
	x.d.log.Info("retry", "request", x.req.ID, "engine", engine, "cause", cause.Error(), "allowed", ok, "sent", sent)
	if ok {
		x.d.observer.Retried(x.pool)
	}
	return ok
}
