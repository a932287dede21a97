package front

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// askHolderTimeout bounds how long the holder of a claim is asked for the
	// outcome of a request that it may still be running.
	askHolderTimeout = 30 * time.Second

	// unsettledRetryAfter is when to come back while the platform can't be asked.
	unsettledRetryAfter = 2 * time.Second

	// recordMost bounds a recorded body, in bytes.
	recordMost = 1 << 20
)

// recorder passes an answer on and keeps a copy of it. The caller may go while
// the answer is written; the copy is made all the same.
type recorder struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
	gone   bool
	full   bool
}

// WriteHeader keeps the status.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write keeps a copy, and passes the bytes on while the caller takes them.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if r.body.Len()+len(p) > recordMost {
		r.full = true
	} else {
		r.body.Write(p)
	}
	if !r.gone {
		if _, err := r.ResponseWriter.Write(p); err != nil {
			r.gone = true
		}
	}
	return len(p), nil
}

// FlushError flushes to the caller; a caller that has gone is no error.
func (r *recorder) FlushError() error {
	if !r.gone && http.NewResponseController(r.ResponseWriter).Flush() != nil {
		r.gone = true
	}
	return nil
}

// Unwrap lets a ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// outcome returns what was recorded.
func (r *recorder) outcome(end ending) wire.Outcome {
	switch {
	case end.state != journal.Completed:
		return wire.Outcome{State: wire.OutcomeStateUnknown, Reason: reasonOf(end)}
	case r.full:
		return wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "it completed, but its answer is too long to be kept"}
	}
	return wire.Outcome{State: wire.OutcomeStateDone, Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body.Bytes()}
}

// reasonOf returns an ending's message.
func reasonOf(end ending) string {
	if end.failure == nil {
		return "the request broke off"
	}
	return end.failure.Message
}

// runOnce runs a call whose key must run at most once in the whole system. A
// key that was seen before gets the first run's outcome, or unknown.
func (f *Front) runOnce(ctx context.Context, w http.ResponseWriter, c *call, x exchange) ending {
	run, first := f.registry.Begin(clock.Now(), c.keyInSystem(), c.id)
	if !first {
		<-run.Done()
		f.journal.Note(clock.Now(), c.id, "", "", "the same key runs or ran here as "+run.Attempt)
		return f.replayed(w, c, f.registry.Outcome(run))
	}
	rec := &recorder{ResponseWriter: w}
	if claim.IsTicket(c.key) {
		return f.runTicket(ctx, rec, c, x, run)
	}
	return f.runClaimed(ctx, rec, c, x, run)
}

// replayed answers with a recorded outcome.
func (f *Front) replayed(w http.ResponseWriter, c *call, o wire.Outcome) ending {
	f.replay(w, c.id, o)
	switch o.State {
	case wire.OutcomeStateDone:
		return ending{state: journal.Completed}
	case wire.OutcomeStateNotRun:
		return ending{state: journal.Refused}
	}
	return ending{state: journal.Unknown}
}

// runTicket runs a call whose key is a ticket of this process. Nobody else can
// run it, so that no write is needed. A ticket that was refused is used up: a
// sending of it that comes late, by way of another node, must not run after the
// caller was told not_run.
func (f *Front) runTicket(ctx context.Context, rec *recorder, c *call, x exchange, run *claim.Run) ending {
	if err := f.issuer.Check(clock.Now(), c.key, c.team.Name); err != nil {
		e := &CallerError{Status: http.StatusBadRequest, Code: "bad_ticket", Message: "the ticket is not valid for this team"}
		if errors.Is(err, claim.ErrExpiredTicket) {
			e = unknown("the ticket has expired")
		}
		f.registry.Abandon(clock.Now(), run, wire.Outcome{State: wire.OutcomeStateUnknown, Reason: e.Message})
		return ending{state: journal.Refused, failure: e}
	}
	end := f.run(ctx, rec, c, x, nil)
	outcome := rec.outcome(end)
	if end.state == journal.Refused {
		outcome = notRun(end.failure)
	}
	f.registry.Finish(clock.Now(), run, outcome)
	return end
}

// runClaimed runs a call after its key is claimed in the platform's table.
func (f *Front) runClaimed(ctx context.Context, rec *recorder, c *call, x exchange, run *claim.Run) ending {
	attempt, err := f.claims.Begin(ctx, c.keyInSystem(), c.id)
	if err != nil {
		return f.notMine(ctx, rec, c, run, err)
	}
	end := f.run(ctx, rec, c, x, func(ctx context.Context) error {
		f.journal.Note(clock.Now(), c.id, "", "", "claiming its key")
		return attempt.Claim(ctx, clock.Now())
	})
	if end.gateErr != nil {
		return f.notMine(ctx, rec, c, run, end.gateErr)
	}
	if end.state != journal.Refused {
		f.registry.Finish(clock.Now(), run, rec.outcome(end))
		return end
	}
	if err := attempt.Void(ctx, clock.Now()); err != nil {
		return f.notMine(ctx, rec, c, run, err)
	}
	f.registry.Abandon(clock.Now(), run, notRun(end.failure))
	return end
}

// notMine ends a call whose key this node could not claim or void. It did not
// run here; whether it ran elsewhere is what the claim's holder says.
func (f *Front) notMine(ctx context.Context, rec *recorder, c *call, run *claim.Run, err error) ending {
	var taken *claim.TakenError
	if !errors.As(err, &taken) {
		e := unknown("the platform could not be asked whether an earlier sending ran; this one did not")
		e.Status, e.Code, e.RetryAfter = http.StatusServiceUnavailable, "claim_unsettled", unsettledRetryAfter
		f.registry.Abandon(clock.Now(), run, wire.Outcome{State: wire.OutcomeStateUnknown, Reason: e.Message})
		return ending{state: journal.Unknown, failure: e}
	}
	f.journal.Note(clock.Now(), c.id, "", "", err.Error())
	o := wire.Outcome{State: wire.OutcomeStateNotRun, Reason: "superseded"}
	if !taken.Void() {
		o = f.askHolder(ctx, c.keyInSystem(), taken.Record)
	}
	f.registry.Abandon(clock.Now(), run, o)
	return f.replayed(rec, c, o)
}

// notRun returns the outcome of a refusal.
func notRun(e *CallerError) wire.Outcome {
	return wire.Outcome{State: wire.OutcomeStateNotRun, Reason: e.Code, RetryAfterMs: int(e.RetryAfter.Milliseconds())}
}

// askHolder asks the process that holds a claim what became of the request.
func (f *Front) askHolder(ctx context.Context, key string, r claim.Record) wire.Outcome {
	gone := wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "an earlier sending may have run; the node that took it is gone"}
	m, ok := f.members.Member(r.Node)
	if !ok || m.Incarnation != r.Incarnation || m.State == wire.MemberStateD {
		return gone
	}
	ctx, cancel := context.WithTimeout(ctx, askHolderTimeout)
	defer cancel()
	o := wire.Outcome{}
	req := &wire.OutcomeRequest{Key: key, Attempt: r.Attempt}
	if err := f.peers.Call(ctx, m.PeerAddress, MethodOutcome, req, &o); err != nil {
		gone.Reason = "an earlier sending may have run; the node that took it does not answer"
		return gone
	}
	return o
}

// HandleOutcome waits for the outcome of a request that this process holds; it
// is the handler of MethodOutcome.
func (f *Front) HandleOutcome(ctx context.Context, req *wire.OutcomeRequest) (any, error) {
	run := f.registry.Lookup(req.Key, req.Attempt)
	if run == nil {
		return &wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "an earlier sending may have run; its holder does not know the outcome"}, nil
	}
	select {
	case <-run.Done():
		o := f.registry.Outcome(run)
		return &o, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
