package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// NoRoute says that no route has the host and path.
	NoRoute Reason = "no_route"

	// UnknownKey says that no team holds the key.
	UnknownKey Reason = "unknown_key"

	// TooLarge says that the body is longer than the configuration allows.
	TooLarge Reason = "body_too_large"

	// BadRequest says that the request can't be understood.
	BadRequest Reason = "bad_request"

	// TooSlow says that the caller did not send its request in time.
	TooSlow Reason = "request_too_slow"

	// NotReady says that the node knows no configuration yet.
	NotReady Reason = "no_configuration"

	// Stale says that the node can't prove that its configuration is the newest.
	Stale Reason = "configuration_not_proven"

	// Stopping says that the node stops before the request could end.
	Stopping Reason = "node_stopping"

	// NoEngine says that the pool has no engine that could be reached.
	NoEngine Reason = "no_engine"

	// Busy says that the request can't be served on time now.
	Busy Reason = "busy"

	// Full says that the engines turned the request away without running it.
	Full Reason = "engines_full"

	// Broken says that an engine failed after the request was sent.
	Broken Reason = "engine_failed"

	// TimedOut says that no answer came in time; the request may have run.
	TimedOut Reason = "timed_out"

	// CallerLeft says that the caller closed its connection.
	CallerLeft Reason = "caller_left"
)

var (
	// ErrNotSent says that no byte of a request left: it has not run.
	ErrNotSent = errors.New("dispatch: request not sent")

	// ErrForeign says that an engine's answer belongs to another request.
	ErrForeign = errors.New("dispatch: answer of another request")
)

type (
	// Reason says why a request was not served.
	Reason string

	// Refusal is a request's final answer where no engine gave one.
	Refusal struct {
		Reason   Reason
		ComeBack time.Duration // ComeBack is when the caller should ask again; 0 if it should not, or at once.
	}

	// Request is a request as its caller sent it.
	Request struct {
		ID           string
		Host         string
		Path         string
		Key          string
		Prompt       placement.Prompt
		OutputTokens int           // OutputTokens is the most that the answer may have; 0 if unknown.
		Patience     time.Duration // Patience is how long the caller waits; 0 if it does not say.
		LastEventID  string        // LastEventID is the last event that the caller has of a stream it resumes.
		Header       http.Header   // Header is passed on to the engine, but for what concerns one connection.
		Method       string
		Target       string // Target is the path and query as they were sent.
		Body         []byte
	}

	// Attempt is what is sent to one engine.
	Attempt struct {
		Engine      placement.Engine
		Team        string
		Urgency     int           // Urgency is the request's place in the order of all, 0 first.
		Left        time.Duration // Left of the caller's time.
		LastEventID string        // LastEventID is the event after which the engine goes on; empty for a whole answer.
	}

	// Response is an engine's answer.
	Response struct {
		Status   int
		Header   http.Header
		NotRun   bool  // NotRun says that the engine did not run the request.
		Replaced bool  // Replaced says that another engine has the address now.
		Running  int   // Running is how many requests the engine had at work.
		Waiting  int   // Waiting is how many more waited there.
		Loaded   bool  // Loaded says that Running and Waiting were told.
		Length   int64 // Length of the body, -1 if unknown.
		Body     io.ReadCloser
	}

	// Sender sends a request to an engine. The error is ErrNotSent where no byte
	// left; after any other the request may have run.
	Sender interface {
		Send(ctx context.Context, r *Request, a Attempt) (*Response, error)
	}

	// Answer takes the answer to a caller. Exactly one of Refuse and Begin is
	// called first; after Begin come writes, and Abort if the answer is not whole.
	Answer interface {
		Refuse(r Refusal)
		Begin(r *Response)
		Write(p []byte) error
		Abort()
	}
)
