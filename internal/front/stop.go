package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/journal"
)

const (
	// stoppingRetryAfter is the Retry-After of a stopping node: another one serves at once.
	stoppingRetryAfter = 50 * time.Millisecond

	// stoppedReason is why the outcome of a call is unknown that was ended with the process.
	stoppedReason = "the node stopped while an engine ran the request"
)

// errCutOff ends the calls in progress when the process ends.
var errCutOff = errors.New("front: the process ends")

// activeCalls tracks the calls in progress.
type activeCalls struct {
	mu      sync.Mutex
	cancels map[*call]context.CancelCauseFunc
	ended   bool
	begin   time.Time // begin is when the process saw the signal to stop; zero before.

	answers, requests atomic.Int64 // answers counts the answers that had begun and were ended, requests the other calls.
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

// NoteStop records when the process saw the signal to stop.
func (f *Front) NoteStop(begin time.Time) {
	f.active.mu.Lock()
	defer f.active.mu.Unlock()
	f.active.begin = begin
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
	f.active.mu.Lock()
	begin := f.active.begin
	f.active.mu.Unlock()
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
		Status: http.StatusServiceUnavailable, Code: "node_stopping", Message: "the node stops", RetryAfter: stoppingRetryAfter,
	}}
}
