package front

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/reply"
	"github.com/croftturn/croftturn/internal/routing"
)

// HeaderPatience is how long the caller of a chat completion waits, in milliseconds;
// the route's time where it does not say.
const HeaderPatience = "Croftturn-Patience-Ms"

type (
	// Dispatcher serves requests whose head was checked and whose body is read.
	Dispatcher interface {
		AwaitStart(ctx context.Context, arrived time.Time, r *dispatch.Request)
		Check(now time.Time, r *dispatch.Request) (*routing.Route, *routing.Team, *dispatch.Refusal)
		Serve(ctx context.Context, arrived time.Time, r *dispatch.Request, route *routing.Route, team *routing.Team, a dispatch.AnswerWriter)
		Refused(now time.Time, r *dispatch.Request, refusal *dispatch.Refusal)
	}

	// Completions serves chat completions at a node of the users' platform: it decodes
	// them into the requests that the node's dispatcher serves, as the platform's
	// adapter does with those of the platform.
	Completions struct {
		dispatcher Dispatcher
		limits     Limits
		log        *slog.Logger
	}

	// completionAnswer writes the answer to one completion.
	completionAnswer struct {
		*reply.Writer
		w   http.ResponseWriter
		id  string
		log *slog.Logger
	}
)

// NewCompletions returns the handler.
func NewCompletions(d Dispatcher, l Limits, log *slog.Logger) http.Handler {
	c := &Completions{dispatcher: d, limits: l, log: log}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", c)
	return mux
}

// ServeHTTP serves one completion.
func (c *Completions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	a := &completionAnswer{Writer: reply.New(w, c.limits.WriteTimeout), w: w, id: newID(), log: c.log}
	req, failure := completionHead(r, a.id)
	if failure != nil {
		c.badRequest(a, req, failure)
		return
	}
	c.dispatcher.AwaitStart(r.Context(), arrived, req)
	route, team, refusal := c.dispatcher.Check(clock.Now(), req)
	if refusal != nil {
		w.Header().Set("Connection", "close") // Else the server reads the body before it sends the refusal.
		c.dispatcher.Refused(clock.Now(), req, refusal)
		a.Refuse(*refusal)
		return
	}
	if failure := c.read(w, r, req); failure != nil {
		c.badRequest(a, req, failure)
		return
	}
	c.dispatcher.Serve(r.Context(), arrived, req, route, team, a)
	a.Finish()
}

// badRequest refuses a completion that can't be understood.
func (c *Completions) badRequest(a *completionAnswer, req *dispatch.Request, failure *CallerError) {
	c.dispatcher.Refused(clock.Now(), req, &dispatch.Refusal{Reason: dispatch.BadRequest})
	a.fail(failure)
}

// completionHead returns the request that a completion stands for, as far as its head tells.
func completionHead(r *http.Request, id string) (*dispatch.Request, *CallerError) {
	req := &dispatch.Request{
		ID: id, Host: r.Host, Path: r.URL.EscapedPath(), Target: r.URL.RequestURI(), Method: r.Method, Key: header.Bearer(r.Header),
		Header: http.Header{"Content-Type": {"application/json"}},
	}
	var failure *CallerError
	req.Patience, failure = patience(r)
	return req, failure
}

// read reads a completion whole into the request that it stands for, whose head was checked.
func (c *Completions) read(w http.ResponseWriter, r *http.Request, req *dispatch.Request) *CallerError {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(c.limits.ReadTimeout)); err != nil {
		return &CallerError{Status: http.StatusInternalServerError, Code: "internal", Message: "the reading of the body can't be bounded"}
	}
	body, failure := readBody(w, r, c.limits.MaxBody)
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug("read deadline not taken back", "request", req.ID, "error", err.Error())
	}
	if failure != nil {
		return failure
	}
	return decodeCompletion(body, req)
}

// decodeCompletion adds what a completion asks for to the request that it stands for.
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

// patience returns how long the caller waits, 0 if it does not say so.
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

// Refuse gives the final answer where no engine gave one.
func (a *completionAnswer) Refuse(r dispatch.Refusal) {
	e := &CallerError{Status: r.Reason.Status(), Code: string(r.Reason), Message: "the request was not served: " + string(r.Reason), RetryAfter: r.RetryAfter}
	if r.Reason.MayHaveRun() {
		e.Outcome = OutcomeUnknown
	}
	a.fail(e)
}

// fail answers with an error.
func (a *completionAnswer) fail(e *CallerError) {
	if err := e.write(a.w, a.id); err != nil {
		a.log.Debug("error answer not delivered", "request", a.id, "error", err.Error())
	}
}

// Begin begins an engine's answer.
func (a *completionAnswer) Begin(resp *dispatch.Response) {
	a.w.Header().Set(HeaderRequestID, a.id)
	a.Writer.Begin(resp)
}
