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

// Outcomes in the header and the body of a response.
const (
	OutcomeCompleted = "completed"
	OutcomeNotRun    = "not_run"
	OutcomeUnknown   = "unknown"
)

// CallerError is an error response to a caller.
type CallerError struct {
	Status     int
	Code       string
	Message    string
	Outcome    string        // Outcome is not_run unless set.
	RetryAfter time.Duration // RetryAfter is when to retry; 0 means the same request can't succeed.
}

// Error implements error.
func (e *CallerError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// headerCarrier adapts headers to the trace propagator.
func headerCarrier(h http.Header) propagation.HeaderCarrier { return propagation.HeaderCarrier(h) }

// body returns the response body in the error format that client libraries
// expect.
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

// outcome returns the outcome, by default not_run.
func (e *CallerError) outcome() string {
	if e.Outcome == "" {
		return OutcomeNotRun
	}
	return e.Outcome
}

// beforeClaim returns the error of a request that is refused before its key, if it has one, was looked up: this sending did not
// run, but an earlier one may have, and nothing keeps one that lies elsewhere from running.
func (e *CallerError) beforeClaim(r *http.Request) *CallerError {
	if e.Outcome != "" || r.Header.Get(HeaderKey) == "" {
		return e
	}
	failure := *e
	failure.Outcome, failure.Message = OutcomeUnknown, e.Message+"; this sending did not run, others with its key may have"
	return &failure
}

// errorType returns the published API's error type for a status.
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

// extendWriteDeadline sets the deadline for the next write, so that a caller which
// stops reading does not occupy its slot on an engine forever.
func (f *Front) extendWriteDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.limits.WriteTimeout)); err != nil {
		f.tele.Log.Debug("failed to set the write deadline", "error", err.Error())
	}
}

// fail writes an error response. That of a stopping node closes its connection.
func (f *Front) fail(w http.ResponseWriter, id string, e *CallerError) {
	if f.active.stopping() != nil {
		w.Header().Set("Connection", "close")
	}
	f.extendWriteDeadline(w)
	if err := e.write(w, id); err != nil {
		f.tele.Log.Debug("failed to write the error response", "request", id, "error", err.Error())
	}
}

// write writes the error as an HTTP response.
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

// replay writes a response from an outcome recorded here or at another node.
func (f *Front) replay(w http.ResponseWriter, id string, o wire.Outcome) {
	f.extendWriteDeadline(w)
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
			f.tele.Log.Debug("failed to write the recorded response", "request", id, "error", err.Error())
		}
	case o.State == wire.OutcomeStateNotRun:
		f.fail(w, id, &CallerError{Status: http.StatusTooManyRequests, Code: o.Reason, Message: "the request did not run", RetryAfter: retry})
	default:
		f.fail(w, id, unknown(o.Reason))
	}
}

// outcomeHeader returns the header value for a recorded state.
func outcomeHeader(s wire.OutcomeState) string {
	switch s {
	case wire.OutcomeStateDone:
		return OutcomeCompleted
	case wire.OutcomeStateNotRun:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// unknown returns the error for a request that may have run.
func unknown(reason string) *CallerError {
	if reason == "" {
		reason = "the request may have run"
	}
	return &CallerError{Status: http.StatusBadGateway, Code: "outcome_unknown", Message: reason, Outcome: OutcomeUnknown}
}
