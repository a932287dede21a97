// Package admin serves the administration API: statements of the query and command
// language, configuration uploads, health and metrics.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/lang"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// maxBody is the maximum size of a request body, in bytes.
	maxBody = 16 << 20

	// fanOutTimeout bounds a query to all nodes.
	fanOutTimeout = time.Second

	// writeTimeout bounds writing a change. After it the outcome is reported as
	// unknown.
	writeTimeout = 10 * time.Second

	// bootstrapName is the author of changes made with the bootstrap token.
	bootstrapName = "bootstrap"
)

type (
	// Members lists the cluster's nodes.
	Members interface {
		Self() wire.Member
		Live() []wire.Member
	}

	// PeerCaller sends RPCs to other nodes.
	PeerCaller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// RowSource returns this node's rows of a table.
	RowSource interface {
		Rows(now time.Time, q *wire.QueryRequest) []wire.Row
	}

	// Result is the result of a statement.
	Result struct {
		Rows    []wire.Row    `json:"rows,omitempty"`
		Changes []wire.Change `json:"changes,omitempty"`
		Change  *wire.Change  `json:"change,omitempty"`  // Change is the accepted change.
		Missing []string      `json:"missing,omitempty"` // Missing lists the instances that did not answer; if any, the rows are partial.
	}

	// Admin is the HTTP handler of the administration API.
	Admin struct {
		store     *config.Store
		keeper    *config.Syncer
		members   Members
		peers     PeerCaller
		tables    RowSource
		bootstrap string
		accepted  func()
		ready     func() error
		release   func(now time.Time, id uint64) bool
		log       *slog.Logger
		mux       *http.ServeMux
	}

	// Option configures an Admin.
	Option func(*Admin)
)

// MethodQuery is the RPC method that takes a QueryRequest.
const MethodQuery = "query"

// WithBootstrap sets the hex SHA-256 of the token that may act until operators are configured.
func WithBootstrap(hash string) Option { return func(a *Admin) { a.bootstrap = hash } }

// WithAccepted sets a callback for accepted changes.
func WithAccepted(f func()) Option { return func(a *Admin) { a.accepted = f } }

// WithReady sets the readiness check; a nil error means ready.
func WithReady(f func() error) Option { return func(a *Admin) { a.ready = f } }

// WithRelease sets the function that releases a held request or prompt part on all nodes and reports whether it was held.
func WithRelease(f func(now time.Time, id uint64) bool) Option {
	return func(a *Admin) { a.release = f }
}

// WithMetrics sets the handler of /metrics.
func WithMetrics(h http.Handler) Option { return func(a *Admin) { a.mux.Handle("GET /metrics", h) } }

// New returns an Admin with its routes registered.
func New(store *config.Store, keeper *config.Syncer, members Members, peers PeerCaller, tables RowSource, log *slog.Logger, opts ...Option) *Admin {
	a := &Admin{
		store: store, keeper: keeper, members: members, peers: peers, tables: tables, log: log, mux: http.NewServeMux(),
		accepted: func() {}, ready: func() error { return nil }, release: func(time.Time, uint64) bool { return false },
	}
	for _, o := range opts {
		o(a)
	}
	a.mux.HandleFunc("POST /admin/v1/statements", a.handleStatement)
	a.mux.HandleFunc("POST /admin/v1/configuration", a.handleApply)
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.mux.HandleFunc("GET /readyz", a.handleReady)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// handleReady reports whether the node can serve callers.
func (a *Admin) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleStatement handles one statement.
func (a *Admin) handleStatement(w http.ResponseWriter, r *http.Request) {
	author, ok := a.authorize(w, r, config.OperatorRolesElemRead)
	if !ok {
		return
	}
	var req struct {
		Text     string `json:"text"`
		ChangeID string `json:"change_id"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		a.fail(w, trace.BadParameter("body: %v", err))
		return
	}
	s, err := lang.Parse(req.Text)
	if err != nil {
		a.fail(w, err)
		return
	}
	if s.Changes() {
		if author, ok = a.authorize(w, r, config.OperatorRolesElemChange); !ok {
			return
		}
	}
	result, err := a.run(r.Context(), s, req.Text, author, req.ChangeID)
	if err != nil {
		a.fail(w, err)
		return
	}
	a.answer(w, http.StatusOK, result)
}

// handleApply replaces the whole configuration.
func (a *Admin) handleApply(w http.ResponseWriter, r *http.Request) {
	author, ok := a.authorize(w, r, config.OperatorRolesElemChange)
	if !ok {
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		a.fail(w, trace.BadParameter("body: %v", err))
		return
	}
	next, err := config.Parse("configuration", text)
	if err != nil {
		a.fail(w, trace.BadParameter("%v", err))
		return
	}
	result, err := a.write(r.Context(), r.URL.Query().Get("change_id"), author, "apply", config.ReplaceAll(next))
	if err != nil {
		a.fail(w, err)
		return
	}
	a.answer(w, http.StatusOK, result)
}

// authorize authenticates the operator and checks the role. An unknown token gets 401,
// a missing role 403, both without further details.
func (a *Admin) authorize(w http.ResponseWriter, r *http.Request, role config.OperatorRolesElem) (string, bool) {
	token := header.Bearer(r.Header)
	view := a.store.View()
	if view == nil || len(view.Config.Operators) == 0 {
		if config.TokenMatches(token, a.bootstrap) {
			return bootstrapName, true
		}
		a.answer(w, http.StatusUnauthorized, failure("unauthorized"))
		return "", false
	}
	op := view.OperatorByToken(token)
	if op == nil {
		a.answer(w, http.StatusUnauthorized, failure("unauthorized"))
		return "", false
	}
	if !slices.Contains(op.Roles, role) {
		a.answer(w, http.StatusForbidden, failure("forbidden"))
		return "", false
	}
	return op.Name, true
}

// run executes a statement.
func (a *Admin) run(ctx context.Context, s *lang.Statement, text, author, id string) (*Result, error) {
	switch {
	case s.Query != nil:
		return a.query(ctx, s.Query)
	case s.Explain != nil:
		rows, missing := a.queryNodes(ctx, &wire.QueryRequest{Table: "request", Request: s.Explain.Request})
		if len(rows) == 0 && len(missing) == 0 {
			return nil, trace.NotFound("no node remembers request %s", s.Explain.Request)
		}
		return &Result{Rows: rows, Missing: missing}, nil
	case s.History != nil:
		return a.history(ctx, s.History)
	case s.Release != nil:
		heldID, err := strconv.ParseUint(s.Release.ID, 16, 64)
		if err != nil || !a.release(clock.Now(), heldID) {
			return nil, trace.NotFound("%s is not held", s.Release.ID)
		}
		a.log.Info("released", "id", s.Release.ID, "author", author)
		return &Result{}, nil
	}
	edit, err := a.edit(ctx, s)
	if err != nil {
		return nil, err
	}
	return a.write(ctx, id, author, text, edit)
}

// write commits an edit as a change and triggers its propagation.
func (a *Admin) write(ctx context.Context, id, author, text string, edit config.Edit) (*Result, error) {
	if id == "" {
		return nil, trace.BadParameter("change_id is missing; it settles what became of a change whose answer was lost")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	ch, err := a.keeper.Write(ctx, clock.Now(), id, author, text, edit)
	if err != nil {
		return nil, fmt.Errorf("change %s: %w", id, err)
	}
	a.log.Info("change accepted", "change", ch.ID, "version", ch.Version, "author", author, "statement", text)
	a.accepted()
	return &Result{Change: &ch}, nil
}

// fail writes an error response with the status for the error.
func (a *Admin) fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case trace.IsBadParameter(err):
		status = http.StatusBadRequest
	case trace.IsNotFound(err):
		status = http.StatusNotFound
	case trace.IsCompareFailed(err), trace.IsLimitExceeded(err):
		status = http.StatusConflict
	case errors.Is(err, kv.ErrUncertain):
		status = http.StatusGatewayTimeout
	case errors.Is(err, kv.ErrUnavailable):
		status = http.StatusServiceUnavailable
	}
	a.answer(w, status, failure(err.Error()))
}

// failure returns the body of an error response.
func failure(message string) any {
	return struct {
		Error string `json:"error"`
	}{message}
}

// answer writes a JSON response.
func (a *Admin) answer(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(doc); err != nil {
		a.log.Debug("failed to write the response", "error", err.Error())
	}
}
