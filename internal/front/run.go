package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/sched"
)

const (
	// maxAttempts is the maximum number of engines one request is sent to.
	maxAttempts = 4

	// engineFullRetryAfter is the Retry-After when all engines that were tried
	// rejected the request as full.
	engineFullRetryAfter = time.Second

	// engineFullDelay is the delay before the next attempt after an engine was full.
	engineFullDelay = 20 * time.Millisecond
)

type (
	// precondition is checked after a slot is acquired and before the first byte is
	// sent to the engine. On error the request must not be sent.
	precondition func(ctx context.Context) error

	// exchange sends a call to an engine and relays the response to the caller.
	// It serves one call; send may be called again after an error.
	exchange interface {
		// send returns the result for the scheduler, and an error of the engine
		// package or errCallerGone.
		send(ctx context.Context, w http.ResponseWriter, g sched.Grant) (sched.Result, error)
		// started reports whether part of the response was written to the caller.
		started() bool
		// resumable reports whether send can continue an interrupted response.
		resumable() bool
		// abort ends an incomplete response so that the caller can detect it.
		abort(w http.ResponseWriter, e *CallerError)
	}

	// callResult is the result of a call.
	callResult struct {
		state           string       // state is one of the journal's states.
		failure         *CallerError // failure is the error still to be sent to the caller, if any.
		preconditionErr error        // preconditionErr is the error of a failed precondition.
	}
)

// errCallerGone means that the caller has disconnected.
var errCallerGone = errors.New("front: the caller has gone")

// handle parses a call and serves it here, or forwards it to the process that
// issued its ticket.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, read func(http.ResponseWriter, *http.Request, *caller.Body) (*call, *CallerError), with func(c *call) exchange) {
	room := f.room.Open()
	defer room.Close()
	c, failure := read(w, r, room)
	if failure != nil {
		f.fail(w, "", failure.beforeClaim(r))
		return
	}
	if f.forwarded(w, r, c) {
		return
	}
	f.serve(r.Context(), w, c, with(c))
}

// serve runs a call and records it in the journal.
func (f *Front) serve(ctx context.Context, w http.ResponseWriter, c *call, x exchange) {
	span := trace.SpanFromContext(ctx)
	span.SetAttributes(attribute.String("request", c.id), attribute.String("class", c.class.Name), attribute.String("team", c.team.Name))
	w.Header().Set(HeaderRequestID, c.id)
	f.journal.Begin(c.arrived, c.entry())
	ctx, remove := f.active.add(c.detached(ctx), c)
	defer remove()
	c.held = f.held.open()
	defer c.held.release()
	var end callResult
	if c.atMostOnce() {
		end = f.runOnce(ctx, w, c, x)
	} else {
		end = f.run(ctx, w, c, x, nil)
	}
	if cutOff(ctx) && end.state != journal.Completed {
		f.logCutOff(clock.Now(), c, x.started(), end)
	}
	f.finish(w, c, x, end)
}

// entry returns the call's entry in the journal.
func (c *call) entry() journal.Entry {
	return journal.Entry{ID: c.id, Class: c.class.Name, Team: c.team.Name, Pool: c.pool.Name, Tier: c.class.Tier}
}

// record records the result of a call.
func (f *Front) record(now time.Time, c *call, end callResult) {
	reason := ""
	if end.failure != nil {
		reason = end.failure.Code
	}
	f.journal.End(now, c.id, end.state, reason)
	f.tele.Requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", c.class.Name), attribute.String("state", end.state)))
	f.tele.Log.Info("request ended", "request", c.id, "class", c.class.Name, "team", c.team.Name, "pool", c.pool.Name,
		"state", end.state, "reason", reason, "ms", now.Sub(c.arrived).Milliseconds())
}

// finish records the result of a call and sends a pending error to the caller.
func (f *Front) finish(w http.ResponseWriter, c *call, x exchange, end callResult) {
	f.record(clock.Now(), c, end)
	switch {
	case end.state == journal.Cancelled:
		panic(http.ErrAbortHandler) // A handler that only returns ends with a whole answer.
	case end.failure == nil:
	case x.started():
		x.abort(w, end.failure)
	default:
		f.fail(w, c.id, end.failure)
	}
}

// run acquires a slot, checks the precondition and sends the call, retrying on
// another engine where that is allowed.
func (f *Front) run(ctx context.Context, w http.ResponseWriter, c *call, x exchange, check precondition) callResult {
	scheduler := f.schedulers[c.pool.Scheduler]
	f.budget.countRequest(c.pool.Name)
	exclude, started := "", false
	defer func() { f.endTrial(c, false) }()
	for try := 1; ; try++ {
		if failure := f.refuseHeld(clock.Now(), c); failure != nil {
			return callResult{state: journal.Refused, failure: failure}.withEarlierTry(started)
		}
		if !x.started() && !f.mayBegin(clock.Now(), c) {
			return cutOffResult(true).withEarlierTry(started)
		}
		want := c.schedRequest(exclude)
		g, err := f.acquire(ctx, scheduler, want, c, x)
		if err != nil {
			return f.acquireFailed(ctx, err).withEarlierTry(started)
		}
		f.journal.Note(clock.Now(), c.id, journal.Running, g.Engine.Name, g.Why)
		if failure := f.refuseHeld(clock.Now(), c); failure != nil { // It may have become held while it waited for a slot.
			scheduler.Release(want, g, sched.Result{Status: broker.StatusCancelled})
			return callResult{state: journal.Refused, failure: failure}.withEarlierTry(started)
		}
		if check != nil {
			if err := check(ctx); err != nil {
				scheduler.Release(want, g, sched.Result{Status: broker.StatusCancelled})
				return callResult{state: journal.Refused, preconditionErr: err}
			}
			check = nil
		}
		if !x.started() && !f.mayBegin(clock.Now(), c) {
			scheduler.Release(want, g, sched.Result{Status: broker.StatusCancelled})
			return cutOffResult(true).withEarlierTry(started)
		}
		sent := clock.Now()
		endRun := f.beginRun(sent, c, g.Engine)
		res, err := f.send(ctx, w, c, x, g)
		scheduler.Release(want, g, res)
		f.recordTry(ctx, c, g.Engine, sent, res.Status, err)
		endRun()
		if err == nil {
			return callResult{state: journal.Completed}
		}
		f.journal.Note(clock.Now(), c.id, "", "", "engine "+g.Engine.Name+": "+err.Error())
		if end, over := f.afterFailure(c, x, err, try); over {
			return end.withEarlierTry(started)
		}
		exclude = g.Engine.Name
		started = started || !neverRan(err)
		if errors.Is(err, engine.ErrFull) {
			pause.For(ctx, engineFullDelay)
		}
		f.tele.Retries.Add(ctx, 1)
	}
}

// acquire waits for a slot within a trace span. A call whose answer has begun waits as long as it can.
func (f *Front) acquire(ctx context.Context, s sched.Scheduler, want sched.Request, c *call, x exchange) (sched.Grant, error) {
	ctx, span := f.tele.Tracer.Start(ctx, "acquire")
	defer span.End()
	if !x.started() {
		var end func()
		ctx, end = f.active.limitWait(ctx, clock.Now(), c)
		defer end()
	}
	g, err := s.Acquire(ctx, want)
	if err != nil && errors.Is(context.Cause(ctx), errNoTimeLeft) {
		return g, fmt.Errorf("%w: %w", errNoTimeLeft, err)
	}
	return g, err
}

// send sends a call to an engine within a trace span.
func (f *Front) send(ctx context.Context, w http.ResponseWriter, c *call, x exchange, g sched.Grant) (sched.Result, error) {
	ctx, span := f.tele.Tracer.Start(ctx, "engine "+g.Engine.Name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	return x.send(ctx, w, g)
}

// acquireFailed turns a scheduler's error into a callResult.
func (f *Front) acquireFailed(ctx context.Context, err error) callResult {
	var refusal *sched.Refusal
	switch {
	case errors.As(err, &refusal):
		status := http.StatusTooManyRequests
		if refusal.Reason == sched.ReasonNoEngine {
			status = http.StatusServiceUnavailable
		}
		return callResult{state: journal.Refused, failure: &CallerError{
			Status: status, Code: refusal.Reason, Message: refusal.Why, RetryAfter: refusal.RetryAfter,
		}}
	case cutOff(ctx), errors.Is(err, errNoTimeLeft):
		return cutOffResult(true)
	case ctx.Err() != nil:
		return callResult{state: journal.Cancelled}
	}
	return callResult{state: journal.Refused, failure: &CallerError{
		Status: http.StatusServiceUnavailable, Code: "no_place", Message: err.Error(), RetryAfter: time.Second,
	}}
}

// neverRan reports whether an error guarantees that the engine did not run the
// request.
func neverRan(err error) bool {
	return errors.Is(err, engine.ErrFull) || errors.Is(err, engine.ErrNotSent)
}

// withEarlierTry reports the outcome as unknown instead of not_run if an earlier
// try may have run.
func (e callResult) withEarlierTry(started bool) callResult {
	if !started || e.failure == nil || e.failure.outcome() != OutcomeNotRun {
		return e
	}
	failure := *e.failure
	failure.Outcome = OutcomeUnknown
	failure.Message = "an engine broke off before, and then: " + failure.Message
	e.failure, e.state = &failure, journal.Unknown
	return e
}

// afterFailure returns the result after a failed try, or false to retry.
func (f *Front) afterFailure(c *call, x exchange, err error, try int) (callResult, bool) {
	var rejected *engine.RejectedError
	notRun := neverRan(err)
	switch {
	case errors.As(err, &rejected):
		return callResult{state: journal.Refused, failure: &CallerError{Status: rejected.Status, Code: "engine_rejected", Message: string(rejected.Body)}}, true
	case errors.Is(err, errCutOff):
		return cutOffResult(notRun), true
	case errors.Is(err, errCallerGone):
		return callResult{state: journal.Cancelled}, true
	case notRun && try < maxAttempts:
		return callResult{}, false
	case notRun:
		return callResult{state: journal.Refused, failure: &CallerError{
			Status: http.StatusTooManyRequests, Code: sched.ReasonEngineFull, Message: "the engines that were tried take no work", RetryAfter: engineFullRetryAfter,
		}}, true
	case c.notRepeatable:
		return callResult{state: journal.Unknown, failure: unknown("the engine broke off: " + err.Error())}, true
	case try < maxAttempts && (!x.started() || x.resumable()) && f.budget.takeRetry(c.pool.Name):
		return callResult{}, false
	}
	return callResult{state: journal.Unknown, failure: unknown("the engine broke off: " + err.Error())}, true
}
