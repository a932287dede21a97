package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// firstPatience is how long a repeatable request waits for the first byte of an
	// engine before it goes to another, in targets.
	firstPatience = 2

	// restartQuiet is for how long a request has had no sign of an engine that is known to
	// have started again when it is taken to have been sent to the former incarnation: twice
	// what an entry takes from the store to a node by way of another (a pause to gather changes
	// and a message, 100 ms each). One that was sent to the present incarnation before
	// that has signs, or soon will.
	restartQuiet = 500 * time.Millisecond
)

var (
	// errSlow ends an attempt whose engine sends nothing for too long.
	errSlow = errors.New("dispatch: engine sends nothing")

	// errRestarted ends an attempt whose engine has started again.
	errRestarted = errors.New("dispatch: engine has started again")
)

// watchFirst gives an attempt up whose engine sends nothing for too long, where
// another engine may be tried.
func (w *walk) watchFirst(cancel context.CancelCauseFunc) *time.Timer {
	if !w.mayRepeat() || w.route.Target <= 0 {
		return time.NewTimer(clock.Until(w.deadline))
	}
	return time.AfterFunc(firstPatience*w.route.Target, w.leaveSlow(cancel))
}

// leaveSlow returns a function that gives the present attempt up for another, where
// the budget has a retry for it; else the answer may still come. A timer calls it.
func (w *walk) leaveSlow(cancel context.CancelCauseFunc) func() {
	engine, sent := w.choice.Engine.ID, w.sent
	return func() {
		if w.takeRetry(clock.Now(), engine, sent, errSlow) {
			w.reserved.Store(true)
			cancel(errSlow)
		}
	}
}

// watchRestart ends an attempt whose engine has started again: the request does not run
// there any more, and its connection may say nothing until the deadline.
func (w *walk) watchRestart(cancel context.CancelCauseFunc) {
	call := w.call
	end := func() { cancel(errRestarted) }
	call.OnLost(func() {
		quiet := call.Idle(clock.Now())
		if quiet >= restartQuiet {
			end()
			return
		}
		time.AfterFunc(restartQuiet-quiet, func() {
			if call.Idle(clock.Now()) >= restartQuiet {
				end()
			}
		})
	})
}

// mayRepeat reports whether the request may go to one more engine after this
// one, whatever became of it here.
func (w *walk) mayRepeat() bool {
	return w.route.Repeatable() && w.sent+1 < w.route.MaxEngines
}

// retry reports whether a repeatable request goes to another engine after a
// failure, and takes it from the budget.
func (w *walk) retry(now time.Time, cause error) bool {
	if !w.route.Repeatable() || w.sent >= w.route.MaxEngines || !now.Before(w.deadline) {
		return false
	}
	return w.useRetry(now, cause)
}

// useRetry uses the retry that was taken when a slow engine was given up, or takes
// one from the budget.
func (w *walk) useRetry(now time.Time, cause error) bool {
	return w.reserved.Swap(false) || w.takeRetry(now, w.choice.Engine.ID, w.sent, cause)
}

// takeRetry takes one retry from the budget, after a number of sendings of which
// the last was to an engine.
func (w *walk) takeRetry(now time.Time, engine string, sent int, cause error) bool {
	ok := w.d.budget.Take(now, w.pool)
	w.d.log.Info("retry", "request", w.req.ID, "engine", engine, "cause", cause.Error(), "allowed", ok, "sent", sent)
	if ok {
		w.d.observer.Retried(w.pool)
	}
	return ok
}
