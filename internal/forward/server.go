package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/reply"
	"github.com/croftturn/croftturn/internal/routing"
)

// maxUnread is how long a forwarded request may lie unread. A node that keeps up reads it in a few milliseconds.
const maxUnread = 250 * time.Millisecond

// errTooLong means that a request says it is longer than any that a node forwards.
var errTooLong = errors.New("forward: request too long")

type (
	// Dispatcher checks and serves requests.
	Dispatcher interface {
		Check(now time.Time, r *dispatch.Request) (*routing.Route, *routing.Team, *dispatch.Refusal)
		Serve(ctx context.Context, arrived time.Time, r *dispatch.Request, route *routing.Route, team *routing.Team, a dispatch.AnswerWriter)
		Refused(now time.Time, r *dispatch.Request, refusal *dispatch.Refusal)
		Version() int
		AwaitVersion(ctx context.Context, now time.Time, version int) bool
	}

	// Limits bound what a sending node may take.
	Limits struct {
		Read  time.Duration // Read limits the time for receiving a request.
		Write time.Duration // Write limits the time that one write may block.
	}

	// Handler serves the requests that other nodes forward.
	Handler struct {
		dispatcher Dispatcher
		limits     Limits
		reads      *caller.BodyReads
		room       *caller.BodyRoom
		log        *slog.Logger
	}

	// Option configures a Handler.
	Option func(*Handler)

	// answer writes the answer to a forwarded request.
	answer struct {
		*reply.Writer
		version func() int
		log     *slog.Logger
		id      string
	}
)

// WithReads sets what can interrupt the reading of requests.
func WithReads(r *caller.BodyReads) Option { return func(h *Handler) { h.reads = r } }

// WithRoom sets what bounds the memory of bodies.
func WithRoom(r *caller.BodyRoom) Option { return func(h *Handler) { h.room = r } }

// NewHandler returns the handler of forwarded requests.
func NewHandler(d Dispatcher, l Limits, log *slog.Logger, opts ...Option) *Handler {
	h := &Handler{dispatcher: d, limits: l, log: log}
	for _, o := range opts {
		o(h)
	}
	return h
}

// ServeHTTP implements http.Handler. The key and the route are checked anew, with the configuration of
// this node. The time that the request has spent at its first node counts.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := clock.Now()
	conn := caller.ConnOf(r.Context())
	arrived, left := conn.Arrival(asked)
	if left {
		panic(http.ErrAbortHandler) // The first node is not asked for the request, so that another one may run it.
	}
	body := h.room.Open()
	defer body.Close()
	req, err := h.read(w, r, body) // The first node is asked for the request by this.
	if err == nil {
		conn.SetRequest(req.ID)
	}
	read := clock.Now()
	sent, left := conn.Arrival(read)
	if left {
		if err == nil {
			h.dispatcher.Refused(read, req, &dispatch.Refusal{Reason: dispatch.CallerLeft})
		}
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		h.log.Warn("invalid forwarded request", "error", err.Error())
		w.Header().Set("Connection", "close") // Otherwise the server reads the body before it sends the refusal.
		status := http.StatusBadRequest
		if errors.Is(err, caller.ErrNoRoom) {
			status = http.StatusServiceUnavailable
		}
		http.Error(w, "invalid request", status) // Its first node chooses another one.
		return
	}
	req.Unread = max(asked.Sub(arrived), read.Sub(sent))
	now := clock.Now()
	a := &answer{Writer: reply.New(w, h.limits.Write), version: h.dispatcher.Version, log: h.log, id: req.ID}
	current := h.dispatcher.AwaitVersion(r.Context(), now, req.Forwarded.Config)
	route, team, refusal := h.dispatcher.Check(clock.Now(), req)
	if !current {
		// Its first node, and maybe its caller, have seen the effect of a newer configuration.
		refusal = &dispatch.Refusal{Reason: dispatch.Stale}
	}
	if req.Unread > maxUnread {
		// Its caller may have left by now without a sign from the first node, which decides again.
		refusal = &dispatch.Refusal{Reason: dispatch.NoEngine}
	}
	if refusal != nil {
		h.dispatcher.Refused(now, req, refusal)
		a.Refuse(*refusal)
	} else {
		h.dispatcher.Serve(r.Context(), arrived.Add(-req.Forwarded.Spent), req, route, team, a)
	}
	a.Finish()
}

// read reads a forwarded request. One that does not arrive before the node ends, or has no room, is refused like an invalid one,
// so that its first node knows that it has not run.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, room *caller.Body) (*dispatch.Request, error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(h.limits.Read)); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	end := h.reads.Begin(control)
	head, body, err := readMessage(w, r, room)
	end() // Before the deadline is cleared: it must not be set again.
	if err != nil {
		return nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear read deadline: %w", err)
	}
	return head.request(body), nil
}

// readMessage reads the head and the body of a forwarded request.
func readMessage(w http.ResponseWriter, r *http.Request, room *caller.Body) (*requestHead, []byte, error) {
	const most = 4 + maxHead + maxBody
	if r.ContentLength > most {
		return nil, nil, fmt.Errorf("request of %d bytes: %w", r.ContentLength, errTooLong)
	}
	whole, err := room.Read(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	if err != nil {
		return nil, nil, fmt.Errorf("read request: %w", err)
	}
	head, body := &requestHead{}, bytes.NewReader(whole)
	if err := readHead(body, head); err != nil {
		return nil, nil, err
	}
	return head, whole[len(whole)-body.Len():], nil
}

// Refuse implements dispatch.AnswerWriter.
func (a *answer) Refuse(r dispatch.Refusal) {
	a.begin(&responseHead{Refusal: r.Reason, RetryAfter: r.RetryAfter, Version: a.version()})
}

// Begin implements dispatch.AnswerWriter.
func (a *answer) Begin(r *dispatch.Response) {
	a.begin(&responseHead{Status: r.Status, Header: r.Header, Length: r.Length, Unframed: r.Unframed, Engine: r.Engine, Pool: r.Pool, EngineVersion: r.Version, Tries: r.Tries})
}

// begin writes the head of the answer.
func (a *answer) begin(head *responseHead) {
	raw, err := writeHead(head)
	if err == nil {
		a.Writer.Begin(&dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1})
		err = a.Write(raw)
	}
	if err != nil {
		a.log.Debug("failed to write the answer to a forwarded request", "request", a.id, "error", err.Error())
		a.Abort()
	}
}
