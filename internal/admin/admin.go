// Package admin serves the administration API: statements of the operators'
// language, whole configurations, health and metrics.
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
	// maxBody bounds a body of the administration API, in bytes.
	maxBody = 16 << 20

	// fanOutTimeout bounds the question to each other node.
	fanOutTimeout = time.Second

	// writeTimeout bounds how long a change is pursued before its outcome is
	// said to be unknown.
	writeTimeout = 10 * time.Second

	// bootstrapName is the author of the first configuration.
	bootstrapName = "bootstrap"
)

type (
	// Members tells who the nodes are.
	Members interface {
		Self() wire.Member
		Live() []wire.Member
	}

	// Caller calls other nodes.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Tables answers for this node.
	Tables interface {
		Rows(now time.Time, q *wire.QueryRequest) []wire.Row
	}

	// Result answers a statement.
	Result struct {
		Rows    []wire.Row    `json:"rows,omitempty"`
		Changes []wire.Change `json:"changes,omitempty"`
		Change  *wire.Change  `json:"change,omitempty"`  // Change is what was accepted.
		Missing []string      `json:"missing,omitempty"` // Missing are the instances that did not answer: the rows are partial.
	}

	// Admin serves the administration API.
	Admin struct {
		store     *config.Store
		keeper    *config.Syncer
		members   Members
		peers     Caller
		tables    Tables
		bootstrap string
		accepted  func()
		ready     func() error
		log       *slog.Logger
		mux       *http.ServeMux
	}

	// Option sets a part of an Admin.
	Option func(*Admin)
)

// MethodQuery is the peers' method that takes a QueryRequest.
const MethodQuery = "query"

// WithBootstrap lets a token, given by its hex SHA-256, write the first configuration.
func WithBootstrap(hash string) Option { return func(a *Admin) { a.bootstrap = hash } }

// WithAccepted sets what is called after a change was accepted.
func WithAccepted(f func()) Option { return func(a *Admin) { a.accepted = f } }

// WithReady sets what tells whether the node can serve; nil means it can.
func WithReady(f func() error) Option { return func(a *Admin) { a.ready = f } }

// WithMetrics sets the handler of /metrics.
func WithMetrics(h http.Handler) Option { return func(a *Admin) { a.mux.Handle("GET /metrics", h) } }

// New returns the administration API of a node.
func New(store *config.Store, keeper *config.Syncer, members Members, peers Caller, tables Tables, log *slog.Logger, opts ...Option) *Admin {
	a := &Admin{
		store: store, keeper: keeper, members: members, peers: peers, tables: tables, log: log, mux: http.NewServeMux(),
		accepted: func() {}, ready: func() error { return nil },
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

// ServeHTTP serves one request of an operator.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// handleReady tells whether the node can serve callers.
func (a *Admin) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleStatement runs one statement.
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

// handleApply takes a whole configuration.
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

// authorize finds the operator and checks the role. A bad token gets 401, a
// good one without the role 403; neither learns anything else.
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

// run runs a statement.
func (a *Admin) run(ctx context.Context, s *lang.Statement, text, author, id string) (*Result, error) {
	switch {
	case s.Query != nil:
		return a.query(ctx, s.Query)
	case s.Explain != nil:
		rows, missing := a.ask(ctx, &wire.QueryRequest{Table: "request", Request: s.Explain.Request})
		if len(rows) == 0 && len(missing) == 0 {
			return nil, trace.NotFound("no node remembers request %s", s.Explain.Request)
		}
		return &Result{Rows: rows, Missing: missing}, nil
	case s.History != nil:
		return a.history(ctx, s.History)
	}
	edit, err := a.edit(ctx, s)
	if err != nil {
		return nil, err
	}
	return a.write(ctx, id, author, text, edit)
}

// write makes an accepted change of an edit, and spreads it.
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

// fail answers with an error's status.
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

// failure returns the body of an error.
func failure(message string) any {
	return struct {
		Error string `json:"error"`
	}{message}
}

// answer writes a document.
func (a *Admin) answer(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(doc); err != nil {
		a.log.Debug("answer not delivered", "error", err.Error())
	}
}
