package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
	"go.opentelemetry.io/otel/propagation"
)

// Outcomes, as the header and the body of an answer name them.
const (
	OutcomeCompleted = "completed"
	OutcomeNotRun    = "not_run"
	OutcomeUnknown   = "unknown"
)

// CallerError is an answer other than the one the caller asked for.
type CallerError struct {
	Status     int
	Code       string
	Message    string
	Outcome    string        // Outcome is not_run unless set.
	RetryAfter time.Duration // RetryAfter says when to come back; 0 for never with the same request.
}

// Error describes the answer.
func (e *CallerError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// headerCarrier lets the propagator read headers.
func headerCarrier(h http.Header) propagation.HeaderCarrier { return propagation.HeaderCarrier(h) }

// body returns the answer's body, in the shape that callers' client libraries
// expect of errors.
func (e *CallerError) body(id string) []byte {
	var doc struct {
		Error struct {
			Message      string `json:"message"`
			Type         string `json:"type"`
			Code         string `json:"code"`
			Outcome      string `json:"outcome"`
			RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
			RequestID    string `json:"request_id,omitempty"`
		} `json:"error"`
	}
	doc.Error.Message, doc.Error.Code, doc.Error.Type = e.Message, e.Code, errorType(e.Status)
	doc.Error.Outcome, doc.Error.RequestID = e.outcome(), id
	doc.Error.RetryAfterMs = e.RetryAfter.Milliseconds()
	text, err := json.Marshal(doc)
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal"}}`)
	}
	return text
}

// outcome returns the outcome, which is not_run unless set.
func (e *CallerError) outcome() string {
	if e.Outcome == "" {
		return OutcomeNotRun
	}
	return e.Outcome
}

// errorType returns the published protocol's type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized, status == http.StatusForbidden:
		return "authentication_error"
	case status >= 500:
		return "server_error"
	}
	return "invalid_request_error"
}

// extend gives the caller time for the next write, so that one who takes nothing
// does not hold its place on an engine for good.
func (f *Front) extend(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.limits.WriteTimeout)); err != nil {
		f.tele.Log.Debug("no write deadline", "error", err.Error())
	}
}

// fail answers with an error.
func (f *Front) fail(w http.ResponseWriter, id string, e *CallerError) {
	f.extend(w)
	if err := e.write(w, id); err != nil {
		f.tele.Log.Debug("error answer not delivered", "request", id, "error", err.Error())
	}
}

// write writes the answer to a request.
func (e *CallerError) write(w http.ResponseWriter, id string) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, e.outcome())
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(e.Status)
	if _, err := w.Write(e.body(id)); err != nil {
		return fmt.Errorf("write error answer: %w", err)
	}
	return nil
}

// replay answers with an outcome that was recorded, here or at another node.
func (f *Front) replay(w http.ResponseWriter, id string, o wire.Outcome) {
	f.extend(w)
	retry := time.Duration(o.RetryAfterMs) * time.Millisecond
	switch {
	case o.State == wire.OutcomeStateDone || (o.Status != 0 && len(o.Body) > 0):
		h := w.Header()
		h.Set("Content-Type", o.ContentType)
		h.Set(HeaderOutcome, outcomeHeader(o.State))
		h.Set(HeaderRequestID, id)
		if retry > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
			h.Set(HeaderRetryAfterMs, strconv.Itoa(o.RetryAfterMs))
		}
		w.WriteHeader(o.Status)
		if _, err := w.Write(o.Body); err != nil {
			f.tele.Log.Debug("recorded answer not delivered", "request", id, "error", err.Error())
		}
	case o.State == wire.OutcomeStateNotRun:
		f.fail(w, id, &CallerError{Status: http.StatusTooManyRequests, Code: o.Reason, Message: "the request did not run", RetryAfter: retry})
	default:
		f.fail(w, id, unknown(o.Reason))
	}
}

// outcomeHeader names a recorded state as callers see it.
func outcomeHeader(s wire.OutcomeState) string {
	switch s {
	case wire.OutcomeStateDone:
		return OutcomeCompleted
	case wire.OutcomeStateNotRun:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// unknown returns the answer for a request that may have run.
func unknown(reason string) *CallerError {
	if reason == "" {
		reason = "the request may have run"
	}
	return &CallerError{Status: http.StatusBadGateway, Code: "outcome_unknown", Message: reason, Outcome: OutcomeUnknown}
}
