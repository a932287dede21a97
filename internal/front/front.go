// Package front is the caller-facing HTTP API: chat completions for model pools,
// calls to service pools, entry points and tickets. A response that is cut short
// is always recognizable as incomplete.
package front

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
)

// Headers that croftturn adds to those of the published protocols.
const (
	HeaderClass         = "Croftturn-Class"          // HeaderClass names the class of a request.
	HeaderNotRepeatable = "Croftturn-Not-Repeatable" // HeaderNotRepeatable marks a request that must run at most once.
	HeaderOutcome       = "Croftturn-Outcome"        // HeaderOutcome is completed, not_run or unknown.
	HeaderRequestID     = "Croftturn-Request-Id"     // HeaderRequestID is the id accepted by the explain statement.
	HeaderRetryAfterMs  = "Retry-After-Ms"           // HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderKey           = "Idempotency-Key"          // HeaderKey carries the caller's key or a ticket.
)

// RPC methods between nodes for at-most-once requests.
const (
	MethodOutcome = "outcome" // MethodOutcome takes an OutcomeRequest and answers with an Outcome.
	MethodRun     = "run"     // MethodRun takes a RunRequest and answers with an Outcome.
)

type (
	// Members lists the cluster's nodes.
	Members interface {
		Self() wire.Member
		Live() []wire.Member
		Member(name string) (wire.Member, bool)
	}

	// PeerCaller sends RPCs to other nodes.
	PeerCaller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Views returns the current configuration.
	Views interface {
		View() *config.View
	}

	// Limits bounds the size of requests and the duration of reads and writes.
	Limits struct {
		MaxBody       int64         // MaxBody is in bytes.
		WriteTimeout  time.Duration // WriteTimeout bounds one write to a caller.
		ReadTimeout   time.Duration // ReadTimeout bounds the reading of a completion's body.
		MemoryMB      float64       // MemoryMB is what the process may use; 0 for no limit.
		EntryPointTTL time.Duration // EntryPointTTL is how long callers may cache the entry points.
	}

	// Front is the HTTP handler for callers.
	Front struct {
		views      Views
		members    Members
		peers      PeerCaller
		schedulers map[config.PoolScheduler]sched.Scheduler
		engines    *engine.Client
		journal    *journal.Journal
		tele       *telemetry.Telemetry
		limits     Limits
		claims     *claim.Claimer
		issuer     *claim.Issuer
		registry   *claim.Registry
		budget     *retryBudget
		held       heldBytes
		quarantine *quarantine.Quarantine // quarantine is nil if requests that crash engines are not tracked; then parts is, too.
		parts      *quarantine.Parts
		onCrash    func()
		active     activeCalls
		reads      caller.BodyReads
		room       caller.BodyRoom
		mux        *http.ServeMux
	}

	// Option configures a Front.
	Option func(*Front)
)

// WithScheduler sets the scheduler for the pools whose configuration names it.
func WithScheduler(name config.PoolScheduler, s sched.Scheduler) Option {
	return func(f *Front) { f.schedulers[name] = s }
}

// WithClaims sets the components that enforce at-most-once execution.
func WithClaims(k *claim.Claimer, i *claim.Issuer, r *claim.Registry) Option {
	return func(f *Front) { f.claims, f.issuer, f.registry = k, i, r }
}

// WithLimits sets the limits on requests.
func WithLimits(l Limits) Option {
	return func(f *Front) {
		f.limits = l
		f.room.SetMemory(l.MemoryMB)
	}
}

// New returns a Front with its routes registered.
func New(views Views, members Members, peers PeerCaller, engines *engine.Client, j *journal.Journal, tele *telemetry.Telemetry, opts ...Option) *Front {
	f := &Front{
		views: views, members: members, peers: peers, engines: engines, journal: j, tele: tele,
		schedulers: map[config.PoolScheduler]sched.Scheduler{}, budget: newRetryBudget(), mux: http.NewServeMux(),
		active: activeCalls{cancels: map[*call]context.CancelCauseFunc{}, waits: map[*call]context.CancelCauseFunc{}},
	}
	for _, o := range opts {
		o(f)
	}
	f.mux.HandleFunc("POST /v1/chat/completions", f.handleChat)
	f.mux.HandleFunc("GET /v1/models", f.handleModels)
	f.mux.HandleFunc("GET /v1/entry-points", f.handleEntryPoints)
	f.mux.HandleFunc("POST /v1/tickets", f.handleTicket)
	f.mux.HandleFunc("/services/{pool}/{path...}", f.handleService)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.awaitConfig(r.Context(), clock.Now()) {
		e := &CallerError{Status: http.StatusServiceUnavailable, Code: "not_ready", Message: "this node has no configuration yet", RetryAfter: time.Second}
		f.fail(w, "", e.beforeClaim(r))
		return
	}
	ctx := telemetry.Propagator.Extract(r.Context(), headerCarrier(r.Header))
	ctx, span := f.tele.Tracer.Start(ctx, "caller request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	f.mux.ServeHTTP(w, r.WithContext(ctx))
}
