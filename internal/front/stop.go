package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/journal"
)

const (
	// stoppingRetryAfter is the Retry-After of a stopping node: another one serves at once.
	stoppingRetryAfter = 50 * time.Millisecond

	// codeStopping is the code of calls that a stopping node does not begin.
	codeStopping = "node_stopping"

	// stoppedReason is why the outcome of a call is unknown that was ended with the process.
	stoppedReason = "the node stopped while an engine ran the request"
)

var (
	// errCutOff ends the calls in progress when the process ends.
	errCutOff = errors.New("front: the process ends")

	// errNoTimeLeft ends the wait of a call that would not have its time on an engine.
	errNoTimeLeft = errors.New("front: the process ends before the call may")
)

type (
	// Stop is a planned stop of the process.
	Stop struct {
		Begin time.Time     // Begin is when the process saw the signal.
		End   time.Time     // End is when calls in progress are ended, at the earliest.
		Run   time.Duration // Run is how long each call that is sent to an engine may take at least.
	}

	// activeCalls tracks the calls in progress.
	activeCalls struct {
		mu      sync.Mutex
		cancels map[*call]context.CancelCauseFunc
		waits   map[*call]context.CancelCauseFunc // waits holds the calls that wait for a slot.
		ended   bool
		stop    *Stop // stop is nil before the signal.

		answers, requests atomic.Int64 // answers counts the answers that had begun and were ended, requests the other calls.
	}
)

// latest returns when a call of a class may be sent to an engine at the latest. Nothing bounds how long it runs there; it gets
// the time that calls in progress have, and that of an answer which takes as long as its class aims at.
func (s *Stop) latest(c *config.Class) time.Time {
	return s.End.Add(-max(s.Run, time.Duration(c.TotalMs)*time.Millisecond))
}

// add registers a call and returns its context. The returned function removes it and is called when the call ends.
func (a *activeCalls) add(ctx context.Context, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels[c] = cancel
	if a.ended {
		cancel(errCutOff)
	}
	return ctx, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.cancels, c)
		cancel(nil)
	}
}

// limitWait returns a context for the wait of a call for a slot, which ends with errNoTimeLeft. The returned function is called
// when the wait ends.
func (a *activeCalls) limitWait(ctx context.Context, now time.Time, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits[c] = cancel
	if a.stop != nil {
		a.stop.endWait(now, c, cancel)
	}
	return ctx, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.waits, c)
		cancel(nil)
	}
}

// endWait ends a wait for a slot when the call can't be sent any more.
func (s *Stop) endWait(now time.Time, c *call, cancel context.CancelCauseFunc) {
	time.AfterFunc(s.latest(c.class).Sub(now), func() { cancel(errNoTimeLeft) })
}

// stopping returns the stop of the process, or nil before it.
func (a *activeCalls) stopping() *Stop {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop
}

// NoteStop begins the stop of the process. From then on calls are not sent to engines where they would have less than their time;
// those that wait for a slot until then are told so.
func (f *Front) NoteStop(now time.Time, s Stop) {
	f.active.mu.Lock()
	defer f.active.mu.Unlock()
	f.active.stop = &s
	time.AfterFunc(s.End.Add(-s.Run).Sub(now), f.reads.Interrupt)
	for c, cancel := range f.active.waits {
		s.endWait(now, c, cancel)
	}
}

// mayBegin reports whether a call may be sent to an engine, or to the node that runs it.
func (f *Front) mayBegin(now time.Time, c *call) bool {
	s := f.active.stopping()
	return s == nil || !now.After(s.latest(c.class))
}

// Active returns the number of calls in progress.
func (f *Front) Active() int {
	f.active.mu.Lock()
	defer f.active.mu.Unlock()
	return len(f.active.cancels)
}

// EndedByStop returns how many answers that had begun CutOff has ended, and how many other calls.
func (f *Front) EndedByStop() (answers, requests int64) {
	return f.active.answers.Load(), f.active.requests.Load()
}

// CutOff ends all calls in progress, and each one that comes later, with an answer that says whether it may have run.
func (f *Front) CutOff() {
	f.active.mu.Lock()
	defer f.active.mu.Unlock()
	f.active.ended = true
	for _, cancel := range f.active.cancels {
		cancel(errCutOff)
	}
}

// logCutOff logs and counts a call that CutOff ended: how far it had come, and since when the process had been stopping.
func (f *Front) logCutOff(now time.Time, c *call, begun bool, end callResult) {
	begin := now
	if s := f.active.stopping(); s != nil {
		begin = s.Begin
	}
	f.tele.Log.Warn("request ended by the stop", "request", c.id, "class", c.class.Name, "pool", c.pool.Name, "state", end.state, "begun", begun, "once", c.atMostOnce(),
		"ran_ms", now.Sub(c.arrived).Milliseconds(), "arrived_ms", c.arrived.Sub(begin).Milliseconds(), "stopping_ms", now.Sub(begin).Milliseconds())
	if begun {
		f.active.answers.Add(1)
	} else {
		f.active.requests.Add(1)
	}
}

// cutOff reports whether a call ends because the process does.
func cutOff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutOff) }

// cutOffResult returns the result of a call that ended because the process does.
func cutOffResult(notRun bool) callResult {
	if !notRun {
		return callResult{state: journal.Unknown, failure: unknown(stoppedReason)}
	}
	return callResult{state: journal.Refused, failure: &CallerError{
		Status: http.StatusServiceUnavailable, Code: codeStopping, Message: "the node stops", RetryAfter: stoppingRetryAfter,
	}}
}

// notSent returns the result of a call that a stopping node gives up before it looks for earlier sendings with the same key. The
// key brings their outcome by way of another node.
func notSent(c *call) callResult {
	end := cutOffResult(true)
	if c.atMostOnce() {
		end.state = journal.Unknown
		end.failure.Outcome, end.failure.Message = OutcomeUnknown, "the node stops and did not send the request; ask another node with the same key"
	}
	return end
}

// refuseUnread logs a call whose body has not arrived when this node begins no call any more, and returns its error.
func (f *Front) refuseUnread(now time.Time, w http.ResponseWriter, c *call) *CallerError {
	end := notSent(c)
	w.Header().Set(HeaderRequestID, c.id)
	f.tele.Log.Info("request ended while its body arrived", "request", c.id, "class", c.class.Name, "team", c.team.Name,
		"state", end.state, "reason", end.failure.Code, "ms", now.Sub(c.arrived).Milliseconds())
	return end.failure
}
