package front

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
)

// memoryWriter buffers a response that is returned to a peer.
type memoryWriter struct {
	*heldAnswer
	header  http.Header
	status  int
	tooLong bool
}

// Header implements http.ResponseWriter.
func (m *memoryWriter) Header() http.Header { return m.header }

// WriteHeader implements http.ResponseWriter.
func (m *memoryWriter) WriteHeader(status int) { m.status = status }

// Write implements io.Writer. It fails once the response is too long to be held.
func (m *memoryWriter) Write(p []byte) (int, error) {
	if m.status == 0 {
		m.status = http.StatusOK
	}
	if m.tooLong || !m.add(p) {
		m.tooLong = true
		m.release()
		return 0, errTooLong
	}
	return len(p), nil
}

// FlushError does nothing; http.ResponseController calls it.
func (m *memoryWriter) FlushError() error { return nil }

// SetWriteDeadline does nothing; http.ResponseController calls it.
func (m *memoryWriter) SetWriteDeadline(time.Time) error { return nil }

// handleTicket issues a ticket: an idempotency key that only this process runs and
// that other nodes forward here. Once the process stops, it may be gone before a
// ticket is used, and nobody could tell then whether its request has run.
func (f *Front) handleTicket(w http.ResponseWriter, r *http.Request) {
	team, failure := authenticate(f.views.View(), r)
	if failure != nil {
		f.fail(w, "", failure)
		return
	}
	if f.active.stopping() != nil {
		f.fail(w, "", cutOffResult(true).failure)
		return
	}
	f.writeJSON(w, struct {
		Ticket string `json:"ticket"`
	}{f.issuer.Issue(clock.Now(), team.Name)})
}

// forwarded checks a ticket, forwards the call if another process issued it, and
// reports whether a response was written.
func (f *Front) forwarded(w http.ResponseWriter, r *http.Request, c *call) bool {
	if !claim.IsTicket(c.key) {
		return false
	}
	c.notRepeatable = true
	ticket, err := claim.ParseTicket(c.key)
	if err != nil {
		f.fail(w, c.id, &CallerError{Status: http.StatusBadRequest, Code: "bad_ticket", Message: "the key looks like a ticket but is none"})
		return true
	}
	self := f.members.Self()
	if ticket.Node == self.Name && ticket.Incarnation == self.Incarnation {
		return false
	}
	if now := clock.Now(); !f.mayBegin(now, c) {
		end := notSent(c)
		f.journal.Begin(c.arrived, c.entry())
		f.record(now, c, end)
		f.fail(w, c.id, end.failure)
		return true
	}
	ctx, remove := f.active.add(r.Context(), c)
	defer remove()
	o := f.forward(ctx, r, c, ticket)
	if cutOff(ctx) && o.State == wire.OutcomeStateUnknown {
		o.Reason = stoppedReason
		f.logCutOff(clock.Now(), c, false, callResult{state: journal.Unknown})
	}
	f.tele.Log.Info("forwarded request ended", "request", c.id, "class", c.class.Name, "team", c.team.Name, "pool", c.pool.Name,
		"peer", ticket.Node, "state", o.State, "ms", clock.Since(c.arrived).Milliseconds())
	f.replay(w, c.id, o)
	return true
}

// forward sends a call to the process that issued its ticket and returns the outcome.
func (f *Front) forward(ctx context.Context, r *http.Request, c *call, t claim.Ticket) wire.Outcome {
	m, ok := f.members.Member(t.Node)
	if !ok || m.Incarnation != t.Incarnation || m.State == wire.MemberStateD {
		return wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "the process that issued the ticket is gone; the request may have run"}
	}
	parent := http.Header{}
	telemetry.Propagator.Inject(ctx, headerCarrier(parent))
	req := &wire.RunRequest{
		Ticket: c.key, Token: r.Header.Get("Authorization"), Class: r.Header.Get(HeaderClass), Method: r.Method,
		Path: r.URL.RequestURI(), ContentType: r.Header.Get("Content-Type"), TraceParent: parent.Get("Traceparent"), Body: c.body,
	}
	o := wire.Outcome{}
	if err := f.callHolder(ctx, m, MethodRun, req, &o); err != nil {
		return wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "the process that issued the ticket does not answer; the request may have run"}
	}
	return o
}

// HandleRun runs a call that a peer forwarded with a ticket of this process; it
// is the handler of MethodRun.
func (f *Front) HandleRun(ctx context.Context, req *wire.RunRequest) (any, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return &wire.Outcome{State: wire.OutcomeStateNotRun, Reason: "bad_request"}, nil
	}
	r.Header.Set("Authorization", req.Token)
	r.Header.Set(HeaderClass, req.Class)
	r.Header.Set(HeaderKey, req.Ticket)
	r.Header.Set("Content-Type", req.ContentType)
	r.Header.Set("Traceparent", req.TraceParent)
	rec := &memoryWriter{heldAnswer: f.held.open(), header: http.Header{}}
	defer rec.release()
	broken := f.serveInto(rec, r)
	return f.recorded(rec, broken), nil
}

// serveInto serves a request and reports whether the response was aborted.
func (f *Front) serveInto(w http.ResponseWriter, r *http.Request) (broken bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			broken = true
		}
	}()
	f.ServeHTTP(w, r)
	return false
}

// recorded turns a buffered response into an outcome.
func (f *Front) recorded(rec *memoryWriter, broken bool) *wire.Outcome {
	o := &wire.Outcome{State: wire.OutcomeStateUnknown, Status: rec.status, ContentType: rec.Header().Get("Content-Type"), Body: rec.body}
	o.RetryAfterMs, _ = strconv.Atoi(rec.Header().Get(HeaderRetryAfterMs))
	switch {
	case rec.tooLong:
		return &wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "the answer is too long to be returned by another node"}
	case broken:
		return &wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "the request broke off"}
	case rec.Header().Get(HeaderOutcome) == OutcomeCompleted:
		o.State = wire.OutcomeStateDone
	case rec.Header().Get(HeaderOutcome) == OutcomeNotRun:
		o.State = wire.OutcomeStateNotRun
	}
	return o
}
