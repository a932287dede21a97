package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/journal"
)

// stoppingRetryAfter is the Retry-After of a stopping node: another one serves at once.
const stoppingRetryAfter = 50 * time.Millisecond

// errCutOff ends the calls in progress when the process ends.
var errCutOff = errors.New("front: the process ends")

// activeCalls tracks the calls in progress.
type activeCalls struct {
	mu      sync.Mutex
	cancels map[*call]context.CancelCauseFunc
	ended   bool
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

// CutOff ends all calls in progress, and each one that comes later, with an answer that says whether it may have run.
func (f *Front) CutOff() {
	f.active.mu.Lock()
	defer f.active.mu.Unlock()
	f.active.ended = true
	for _, cancel := range f.active.cancels {
		cancel(errCutOff)
	}
}

// cutOff reports whether a call ends because the process does.
func cutOff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutOff) }

// cutOffResult returns the result of a call that ended because the process does.
func cutOffResult(notRun bool) callResult {
	if !notRun {
		return callResult{state: journal.Unknown, failure: unknown("the node stopped while an engine ran the request")}
	}
	return callResult{state: journal.Refused, failure: &CallerError{
		Status: http.StatusServiceUnavailable, Code: "node_stopping", Message: "the node stops", RetryAfter: stoppingRetryAfter,
	}}
}
