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
	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// askHolderTimeout is how long the holder of a claim or a ticket is waited for until
	// it is asked again whether it still runs the request.
	askHolderTimeout = 30 * time.Second

	// claimUnsettledRetryAfter is the Retry-After while the platform is unavailable.
	claimUnsettledRetryAfter = 2 * time.Second

	// supersededRetryAfter is the Retry-After of a call that lay unread while its key was refused elsewhere.
	supersededRetryAfter = 50 * time.Millisecond

	// maxRecordedBytes is the maximum size of a recorded body, in bytes.
	maxRecordedBytes = 1 << 20
)

// recorder relays a response and keeps a copy. The copy is completed even if the
// caller disconnects.
type recorder struct {
	http.ResponseWriter
	status     int
	body       bytes.Buffer
	written    int // written is the length of the answer so far.
	callerGone bool
	truncated  bool
}

// WriteHeader records and relays the status.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write records the bytes and relays them while the caller is connected. It fails once an answer has become so long that its
// engine may be sending without end, and nobody reads it.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if r.written += len(p); r.written > maxRecordedBytes {
		r.truncated, r.body = true, bytes.Buffer{}
	} else {
		r.body.Write(p)
	}
	if !r.callerGone {
		if _, err := r.ResponseWriter.Write(p); err != nil {
			r.callerGone = true
		}
	}
	if r.callerGone && r.written > maxHeldAnswer {
		return 0, errTooLong
	}
	return len(p), nil
}

// FlushError flushes to the caller; a disconnected caller is no error.
func (r *recorder) FlushError() error {
	if !r.callerGone && http.NewResponseController(r.ResponseWriter).Flush() != nil {
		r.callerGone = true
	}
	return nil
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// outcome returns the recorded outcome.
func (r *recorder) outcome(end callResult) wire.Outcome {
	switch {
	case end.state != journal.Completed:
		return wire.Outcome{State: wire.OutcomeStateUnknown, Reason: reasonOf(end)}
	case r.truncated:
		return wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "it completed, but its answer is too long to be kept"}
	}
	return wire.Outcome{State: wire.OutcomeStateDone, Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body.Bytes()}
}

// reasonOf returns the error message of a result.
func reasonOf(end callResult) string {
	if end.failure == nil {
		return "the request broke off"
	}
	return end.failure.Message
}

// runOnce runs a call whose key must run at most once in the cluster. A key seen
// before returns the first run's outcome, or unknown.
func (f *Front) runOnce(ctx context.Context, w http.ResponseWriter, c *call, x exchange) callResult {
	run, first := f.registry.Begin(clock.Now(), c.scopedKey(), c.id)
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

// replayed writes a recorded outcome and returns the matching result.
func (f *Front) replayed(w http.ResponseWriter, c *call, o wire.Outcome) callResult {
	f.replay(w, c.id, o)
	switch o.State {
	case wire.OutcomeStateDone:
		return callResult{state: journal.Completed}
	case wire.OutcomeStateNotRun:
		return callResult{state: journal.Refused}
	}
	return callResult{state: journal.Unknown}
}

// runTicket runs a call whose key is a ticket issued by this process. No other
// process can run it, so the platform's table is not written. A refused ticket can't
// be reused: a delayed duplicate forwarded by another node must not run after the
// caller was told not_run.
func (f *Front) runTicket(ctx context.Context, rec *recorder, c *call, x exchange, run *claim.Run) callResult {
	if err := f.issuer.Verify(clock.Now(), c.key, c.team.Name); err != nil {
		e := &CallerError{Status: http.StatusBadRequest, Code: "bad_ticket", Message: "the ticket is not valid for this team"}
		if errors.Is(err, claim.ErrExpiredTicket) {
			e = unknown("the ticket has expired")
		}
		f.registry.Abandon(clock.Now(), run, wire.Outcome{State: wire.OutcomeStateUnknown, Reason: e.Message})
		return callResult{state: journal.Refused, failure: e}
	}
	end := f.run(ctx, rec, c, x, nil)
	outcome := rec.outcome(end)
	if end.state == journal.Refused {
		outcome = notRun(end.failure)
	}
	f.registry.Finish(clock.Now(), run, outcome)
	return end
}

// runClaimed runs a call once its key is claimed in the platform's table.
func (f *Front) runClaimed(ctx context.Context, rec *recorder, c *call, x exchange, run *claim.Run) callResult {
	attempt, err := f.claims.Begin(ctx, c.scopedKey(), c.id, c.reached)
	if err != nil {
		return f.claimFailed(ctx, rec, c, run, err)
	}
	end := superseded()
	if !attempt.Superseded() {
		end = f.run(ctx, rec, c, x, func(ctx context.Context) error {
			f.journal.Note(clock.Now(), c.id, "", "", "claiming its key")
			return attempt.Claim(ctx, clock.Now())
		})
	}
	var taken *claim.TakenError
	if err := end.preconditionErr; errors.As(err, &taken) && taken.Void() {
		f.journal.Note(clock.Now(), c.id, "", "", err.Error())
		end = superseded()
	} else if err != nil {
		return f.claimFailed(ctx, rec, c, run, err)
	}
	if end.state != journal.Refused {
		f.registry.Finish(clock.Now(), run, rec.outcome(end))
		return end
	}
	if err := attempt.Void(ctx, clock.Now()); err != nil {
		return f.claimFailed(ctx, rec, c, run, err)
	}
	if failure := *end.failure; failure.RetryAfter > 0 { // A new try that comes sooner would have to come again.
		failure.RetryAfter = max(failure.RetryAfter, clock.Until(attempt.RetryAt()).Round(time.Millisecond))
		end.failure = &failure
	}
	f.registry.Abandon(clock.Now(), run, notRun(end.failure))
	return end
}

// superseded returns the result of a call that had reached this node, or had been read, before its key was refused elsewhere.
func superseded() callResult {
	return callResult{state: journal.Refused, failure: &CallerError{
		Status: http.StatusTooManyRequests, Code: "superseded", Message: "the key was refused while this sending waited; send it again", RetryAfter: supersededRetryAfter,
	}}
}

// claimFailed ends a call whose key this node could not claim or void. The call did
// not run here; the claim's holder knows whether it ran elsewhere.
func (f *Front) claimFailed(ctx context.Context, rec *recorder, c *call, run *claim.Run, err error) callResult {
	var taken *claim.TakenError
	if !errors.As(err, &taken) {
		e := unknown("the platform could not be asked whether an earlier sending ran; this one did not")
		e.Status, e.Code, e.RetryAfter = http.StatusServiceUnavailable, "claim_unsettled", claimUnsettledRetryAfter
		f.registry.Abandon(clock.Now(), run, wire.Outcome{State: wire.OutcomeStateUnknown, Reason: e.Message})
		return callResult{state: journal.Unknown, failure: e}
	}
	f.journal.Note(clock.Now(), c.id, "", "", err.Error())
	if now := clock.Now(); !f.mayBegin(now, c) {
		end := notSent(c)
		f.registry.Abandon(now, run, wire.Outcome{State: wire.OutcomeStateUnknown, Reason: end.failure.Message})
		return end
	}
	o := f.askHolder(ctx, c.scopedKey(), taken.Record)
	f.registry.Abandon(clock.Now(), run, o)
	return f.replayed(rec, c, o)
}

// notRun returns the outcome of a refusal.
func notRun(e *CallerError) wire.Outcome {
	return wire.Outcome{State: wire.OutcomeStateNotRun, Reason: e.Code, RetryAfterMs: int(e.RetryAfter.Milliseconds())}
}

// askHolder asks the claim's holder for the outcome of the request.
func (f *Front) askHolder(ctx context.Context, key string, r claim.Record) wire.Outcome {
	gone := wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "an earlier sending may have run; the node that took it is gone"}
	m, ok := f.members.Member(r.Node)
	if !ok || m.Incarnation != r.Incarnation || m.State == wire.MemberStateD {
		return gone
	}
	o := wire.Outcome{}
	req := &wire.OutcomeRequest{Key: key, Attempt: r.Attempt}
	if err := f.callHolder(ctx, m, MethodOutcome, req, &o); err != nil {
		gone.Reason = "an earlier sending may have run; the node that took it does not answer"
		return gone
	}
	return o
}

// callHolder calls a method of a node that holds a claim or a ticket, however long it runs the request. A call that takes long
// is repeated while the node is alive, over another connection if nothing came over this one; the node answers each with the
// same outcome.
func (f *Front) callHolder(ctx context.Context, m wire.Member, method string, req any, o *wire.Outcome) error {
	for {
		err := f.callOnce(ctx, m.PeerAddress, method, req, o)
		if !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, peer.ErrUnreachable) || ctx.Err() != nil || !f.alive(m.Name, m.Incarnation) {
			return err
		}
	}
}

// callOnce calls a method of a peer and waits for at most askHolderTimeout.
func (f *Front) callOnce(ctx context.Context, address, method string, req any, o *wire.Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, askHolderTimeout)
	defer cancel()
	return f.peers.Call(ctx, address, method, req, o)
}

// alive reports whether a process is a member of the cluster.
func (f *Front) alive(name string, incarnation int) bool {
	m, ok := f.members.Member(name)
	return ok && m.Incarnation == incarnation && m.State != wire.MemberStateD
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
