package front

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/reply"
	"github.com/croftturn/croftturn/internal/routing"
)

// HeaderPatience is how long the caller of a chat completion waits, in milliseconds.
// The route's default applies without it.
const HeaderPatience = "Croftturn-Patience-Ms"

type (
	// Dispatcher checks the head of a request and serves it once its body is read.
	Dispatcher interface {
		AwaitStart(ctx context.Context, arrived time.Time, r *dispatch.Request)
		Check(now time.Time, r *dispatch.Request) (*routing.Route, *routing.Team, *dispatch.Refusal)
		Serve(ctx context.Context, arrived time.Time, r *dispatch.Request, route *routing.Route, team *routing.Team, a dispatch.AnswerWriter)
		Refused(now time.Time, r *dispatch.Request, refusal *dispatch.Refusal)
	}

	// Completions serves chat completions at a node on the users' platform. It decodes
	// them into dispatcher requests, as the platform's adapter does for platform
	// requests.
	Completions struct {
		dispatcher Dispatcher
		limits     Limits
		log        *slog.Logger
		reads      *caller.BodyReads
		room       *caller.BodyRoom
	}

	// CompletionsOption configures Completions.
	CompletionsOption func(*Completions)

	// completionAnswer writes the response to one completion.
	completionAnswer struct {
		*reply.Writer
		w   http.ResponseWriter
		id  string
		log *slog.Logger
	}
)

// WithReads sets what can interrupt the reading of bodies.
func WithReads(r *caller.BodyReads) CompletionsOption { return func(c *Completions) { c.reads = r } }

// WithRoom sets what bounds the memory of bodies.
func WithRoom(r *caller.BodyRoom) CompletionsOption { return func(c *Completions) { c.room = r } }

// NewCompletions returns a handler for the completions endpoint.
func NewCompletions(d Dispatcher, l Limits, log *slog.Logger, opts ...CompletionsOption) http.Handler {
	c := &Completions{dispatcher: d, limits: l, log: log}
	for _, o := range opts {
		o(c)
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", c)
	return mux
}

// ServeHTTP implements http.Handler.
func (c *Completions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	read := clock.Now()
	conn := caller.ConnOf(r.Context())
	arrived, left := conn.Arrival(read)
	a := &completionAnswer{Writer: reply.New(w, c.limits.WriteTimeout), w: w, id: newID(), log: c.log}
	conn.SetRequest(a.id)
	req, failure := completionHead(r, a.id)
	req.Unread = read.Sub(arrived)
	if left {
		c.dispatcher.Refused(read, req, &dispatch.Refusal{Reason: dispatch.CallerLeft})
		panic(http.ErrAbortHandler)
	}
	if failure != nil {
		c.badRequest(a, req, failure)
		return
	}
	c.dispatcher.AwaitStart(r.Context(), arrived, req)
	route, team, refusal := c.dispatcher.Check(clock.Now(), req)
	if refusal != nil {
		w.Header().Set("Connection", "close") // Otherwise the server reads the body before it sends the refusal.
		c.dispatcher.Refused(clock.Now(), req, refusal)
		a.Refuse(*refusal)
		return
	}
	body := c.room.Open()
	defer body.Close()
	failure, interrupted := c.read(w, r, req, body)
	switch {
	case failure != nil && failure.Code == string(dispatch.BodiesFull):
		refusal := dispatch.NoRoomForBody()
		c.dispatcher.Refused(clock.Now(), req, refusal)
		a.Refuse(*refusal)
		return
	case interrupted:
		refusal := dispatch.NotRunAtStop()
		c.dispatcher.Refused(clock.Now(), req, refusal)
		a.Refuse(*refusal)
		return
	case failure != nil:
		c.badRequest(a, req, failure)
		return
	}
	c.dispatcher.Serve(r.Context(), arrived, req, route, team, a)
	a.Finish()
}

// badRequest refuses a completion that is malformed.
func (c *Completions) badRequest(a *completionAnswer, req *dispatch.Request, failure *CallerError) {
	c.dispatcher.Refused(clock.Now(), req, &dispatch.Refusal{Reason: dispatch.BadRequest})
	a.fail(failure)
}

// completionHead builds the dispatcher request from a completion's line and headers.
func completionHead(r *http.Request, id string) (*dispatch.Request, *CallerError) {
	req := &dispatch.Request{
		ID: id, Host: r.Host, Path: r.URL.EscapedPath(), Target: r.URL.RequestURI(), Method: r.Method, Key: header.Bearer(r.Header),
		Header: http.Header{"Content-Type": {"application/json"}},
	}
	var failure *CallerError
	req.Patience, failure = patience(r)
	return req, failure
}

// read reads and decodes the body into req, within the read timeout. interrupted is set if the node ends before.
func (c *Completions) read(w http.ResponseWriter, r *http.Request, req *dispatch.Request, room *caller.Body) (failure *CallerError, interrupted bool) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(c.limits.ReadTimeout)); err != nil {
		return &CallerError{Status: http.StatusInternalServerError, Code: "internal", Message: "the reading of the body can't be bounded"}, false
	}
	end := c.reads.Begin(control)
	body, failure := readBody(w, r, room, c.limits.MaxBody)
	interrupted = end()
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug("failed to clear the read deadline", "request", req.ID, "error", err.Error())
	}
	if failure != nil {
		return failure, interrupted
	}
	return decodeCompletion(body, req), false
}

// decodeCompletion sets the fields of req that come from the body.
func decodeCompletion(body []byte, req *dispatch.Request) *CallerError {
	doc, failure := parseCompletion(body)
	if failure != nil {
		return failure
	}
	if doc.Model == "" {
		return &CallerError{Status: http.StatusBadRequest, Code: "bad_body", Message: "model is missing"}
	}
	req.Body, req.Model, req.Prompt, req.OutputTokens = body, doc.Model, doc.prompt(len(body)), doc.outputTokens()
	req.RequestedModel = doc.Model
	return nil
}

// patience returns the value of HeaderPatience, or 0 without it.
func patience(r *http.Request) (time.Duration, *CallerError) {
	text := r.Header.Get(HeaderPatience)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 {
		return 0, &CallerError{Status: http.StatusBadRequest, Code: "bad_patience", Message: HeaderPatience + " is not a number of milliseconds"}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Refuse writes the final error response when no engine answered.
func (a *completionAnswer) Refuse(r dispatch.Refusal) {
	e := &CallerError{Status: r.Reason.Status(), Code: string(r.Reason), Message: "the request was not served: " + string(r.Reason), RetryAfter: r.RetryAfter}
	if r.Reason.MayHaveRun() {
		e.Outcome = OutcomeUnknown
	}
	a.fail(e)
}

// fail writes an error response.
func (a *completionAnswer) fail(e *CallerError) {
	if err := e.write(a.w, a.id); err != nil {
		a.log.Debug("failed to write the error response", "request", a.id, "error", err.Error())
	}
}

// Begin starts the response with the engine's status and headers.
func (a *completionAnswer) Begin(resp *dispatch.Response) {
	a.w.Header().Set(HeaderRequestID, a.id)
	a.Writer.Begin(resp)
}
