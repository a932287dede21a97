package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/sched"
)

const (
	// maxAttempts bounds how many engines one request is sent to.
	maxAttempts = 4

	// fullRetryAfter is when to come back where all engines that were tried
	// refused as full.
	fullRetryAfter = time.Second

	// fullPause is the wait before the next engine is asked for.
	fullPause = 20 * time.Millisecond
)

type (
	// gate is passed after a request got its place and before its first byte
	// goes to the engine. An error means that it must not go.
	gate func(ctx context.Context) error

	// exchange sends a call to an engine and its answer to the caller. It is
	// used for one call; send may be called again after an error.
	exchange interface {
		// send returns what was learned, and an error of the engine package, or
		// errCallerGone.
		send(ctx context.Context, w http.ResponseWriter, g sched.Grant) (sched.Result, error)
		// begun reports whether the caller has received a part of the answer.
		begun() bool
		// resumable reports whether send can go on where it broke off.
		resumable() bool
		// breakOff ends an answer that is not whole, so that the caller sees it.
		breakOff(w http.ResponseWriter, e *CallerError)
	}

	// ending is how a call ended.
	ending struct {
		state   string       // state is one of the journal's.
		failure *CallerError // failure is what the caller still has to be told; nil for nothing.
		gateErr error        // gateErr is what the gate said.
	}
)

// errCallerGone says that the caller can't be written to any more.
var errCallerGone = errors.New("front: the caller has gone")

// handle reads a call and serves it, here or at the process that issued its
// ticket.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, read func(http.ResponseWriter, *http.Request) (*call, *CallerError), with func(c *call) exchange) {
	c, failure := read(w, r)
	if failure != nil {
		f.fail(w, "", failure)
		return
	}
	if f.forwarded(w, r, c) {
		return
	}
	f.serve(r.Context(), w, c, with(c))
}

// serve runs a call from its journal entry to its last byte.
func (f *Front) serve(ctx context.Context, w http.ResponseWriter, c *call, x exchange) {
	span := trace.SpanFromContext(ctx)
	span.SetAttributes(attribute.String("request", c.id), attribute.String("class", c.class.Name), attribute.String("team", c.team.Name))
	w.Header().Set(HeaderRequestID, c.id)
	f.journal.Begin(c.arrived, journal.Entry{ID: c.id, Class: c.class.Name, Team: c.team.Name, Pool: c.pool.Name, Tier: c.class.Tier})
	var end ending
	if c.atMostOnce() {
		end = f.runOnce(c.detached(ctx), w, c, x)
	} else {
		end = f.run(ctx, w, c, x, nil)
	}
	f.finish(w, c, x, end)
}

// finish tells the caller what it still has to be told, and records the end.
func (f *Front) finish(w http.ResponseWriter, c *call, x exchange, end ending) {
	reason := ""
	if end.failure != nil {
		reason = end.failure.Code
	}
	f.journal.End(clock.Now(), c.id, end.state, reason)
	f.tele.Requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", c.class.Name), attribute.String("state", end.state)))
	f.tele.Log.Info("request ended", "request", c.id, "class", c.class.Name, "team", c.team.Name, "pool", c.pool.Name,
		"state", end.state, "reason", reason, "ms", clock.Since(c.arrived).Milliseconds())
	switch {
	case end.failure == nil:
	case x.begun():
		x.breakOff(w, end.failure)
	default:
		f.fail(w, c.id, end.failure)
	}
}

// run gets a place, passes the gate, and sends the call, again on another
// engine where that is allowed.
func (f *Front) run(ctx context.Context, w http.ResponseWriter, c *call, x exchange, pass gate) ending {
	scheduler := f.schedulers[c.pool.Scheduler]
	f.budget.first(c.pool.Name)
	exclude, started := "", false
	for try := 1; ; try++ {
		want := c.want(exclude)
		g, err := f.acquire(ctx, scheduler, want)
		if err != nil {
			return f.noPlace(ctx, err).after(started)
		}
		f.journal.Note(clock.Now(), c.id, journal.Running, g.Engine.Name, g.Why)
		if pass != nil {
			if err := pass(ctx); err != nil {
				scheduler.Release(want, g, sched.Result{Status: broker.StatusCancelled})
				return ending{state: journal.Refused, gateErr: err}
			}
			pass = nil
		}
		res, err := f.send(ctx, w, c, x, g)
		scheduler.Release(want, g, res)
		if err == nil {
			return ending{state: journal.Completed}
		}
		f.journal.Note(clock.Now(), c.id, "", "", "engine "+g.Engine.Name+": "+err.Error())
		if end, over := f.afterFailure(c, x, err, try); over {
			return end.after(started)
		}
		exclude = g.Engine.Name
		started = started || !neverRan(err)
		if errors.Is(err, engine.ErrFull) {
			pause.For(ctx, fullPause)
		}
		f.tele.Retries.Add(ctx, 1)
	}
}

// acquire waits for a place under a span.
func (f *Front) acquire(ctx context.Context, s sched.Scheduler, want sched.Request) (sched.Grant, error) {
	ctx, span := f.tele.Tracer.Start(ctx, "acquire")
	defer span.End()
	return s.Acquire(ctx, want)
}

// send sends a call to an engine under a span.
func (f *Front) send(ctx context.Context, w http.ResponseWriter, c *call, x exchange, g sched.Grant) (sched.Result, error) {
	ctx, span := f.tele.Tracer.Start(ctx, "engine "+g.Engine.Name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	return x.send(ctx, w, g)
}

// noPlace turns a scheduler's error into an ending.
func (f *Front) noPlace(ctx context.Context, err error) ending {
	var refusal *sched.Refusal
	switch {
	case errors.As(err, &refusal):
		status := http.StatusTooManyRequests
		if refusal.Reason == sched.ReasonNoEngine {
			status = http.StatusServiceUnavailable
		}
		return ending{state: journal.Refused, failure: &CallerError{
			Status: status, Code: refusal.Reason, Message: refusal.Why, RetryAfter: refusal.RetryAfter,
		}}
	case ctx.Err() != nil:
		return ending{state: journal.Cancelled}
	}
	return ending{state: journal.Refused, failure: &CallerError{
		Status: http.StatusServiceUnavailable, Code: "no_place", Message: err.Error(), RetryAfter: time.Second,
	}}
}

// neverRan reports whether an error says that the request did not run at all on
// the engine it was sent to.
func neverRan(err error) bool {
	return errors.Is(err, engine.ErrFull) || errors.Is(err, engine.ErrNotSent)
}

// after returns the ending of a request of which an earlier try may have run: it
// is never said of such a one that it did not.
func (e ending) after(started bool) ending {
	if !started || e.failure == nil || e.failure.outcome() != OutcomeNotRun {
		return e
	}
	failure := *e.failure
	failure.Outcome = OutcomeUnknown
	failure.Message = "an engine broke off before, and then: " + failure.Message
	e.failure, e.state = &failure, journal.Unknown
	return e
}

// afterFailure decides what follows a failed try: an ending, or another try.
func (f *Front) afterFailure(c *call, x exchange, err error, try int) (ending, bool) {
	var rejected *engine.RejectedError
	notRun := neverRan(err)
	switch {
	case errors.As(err, &rejected):
		return ending{state: journal.Refused, failure: &CallerError{Status: rejected.Status, Code: "engine_rejected", Message: string(rejected.Body)}}, true
	case errors.Is(err, errCallerGone):
		return ending{state: journal.Cancelled}, true
	case notRun && try < maxAttempts:
		return ending{}, false
	case notRun:
		return ending{state: journal.Refused, failure: &CallerError{
			Status: http.StatusTooManyRequests, Code: sched.ReasonEngineFull, Message: "the engines that were tried take no work", RetryAfter: fullRetryAfter,
		}}, true
	case c.notRepeatable:
		return ending{state: journal.Unknown, failure: unknown("the engine broke off: " + err.Error())}, true
	case try < maxAttempts && (!x.begun() || x.resumable()) && f.budget.take(c.pool.Name):
		return ending{}, false
	}
	return ending{state: journal.Unknown, failure: unknown("the engine broke off: " + err.Error())}, true
}
