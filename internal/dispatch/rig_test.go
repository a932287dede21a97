package dispatch_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

const (
	target  = 20 * time.Millisecond
	timeout = 2 * time.Second
)

var (
	// errCut is an engine's connection that broke after the request was sent.
	errCut = errors.New("connection reset")

	// retried counts the retries taken.
	retried atomic.Int64
)

type (
	// engines is a sender whose answers a test writes; n counts sendings from 1.
	engines struct {
		serve func(ctx context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error)

		mu   sync.Mutex
		sent []dispatch.Attempt
	}

	// answer keeps what the caller gets.
	answer struct {
		refusal *dispatch.Refusal
		status  int
		body    strings.Builder
		aborted bool
	}

	// noMetrics counts retries only.
	noMetrics struct{}
)

func (e *engines) Send(ctx context.Context, _ *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error) {
	e.mu.Lock()
	e.sent = append(e.sent, a)
	n := len(e.sent)
	e.mu.Unlock()
	return e.serve(ctx, n, a)
}

// awaitSent waits until some requests were sent.
func (e *engines) awaitSent(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(timeout); e.sentSoFar() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests were sent, want %d", e.sentSoFar(), n)
		}
	}
}

// sentSoFar returns how many requests were sent.
func (e *engines) sentSoFar() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

func (a *answer) Refuse(r dispatch.Refusal)             { a.refusal = &r }
func (a *answer) Begin(r *dispatch.Response)            { a.status = r.Status }
func (a *answer) Write(p []byte) error                  { _, err := a.body.Write(p); return err }
func (a *answer) Abort()                                { a.aborted = true }
func (noMetrics) Ended(_, _ string, _, _ time.Duration) {}
func (noMetrics) Retried(string)                        { retried.Add(1) }
func (noMetrics) Began(time.Time, string)               {}
func (noMetrics) EngineEnded(string)                    {}

// respond returns an engine's whole answer.
func respond(status int, body string) *dispatch.Response {
	return &dispatch.Response{Status: status, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

// newDispatcher returns a dispatcher of two engines with a budget of some retries.
func newDispatcher(e *engines, retries int) *dispatch.Dispatcher {
	return dispatcherOf(e, retries, table(1, "k"), 8, "e1", "e2")
}

// dispatcherOf returns a dispatcher with a budget of some retries, a configuration, and
// engines that have some places each.
func dispatcherOf(e *engines, retries int, t *routing.Table, slots int, ids ...string) *dispatch.Dispatcher {
	return dispatcherAt(placement.New("hall"), e, retries, t, slots, ids...)
}

// dispatcherAt returns such a dispatcher with a placement to which the engines are added.
func dispatcherAt(p *placement.Placement, e *engines, retries int, t *routing.Table, slots int, ids ...string) *dispatch.Dispatcher {
	return dispatcherBy(freshness.New(time.Hour), p, e, retries, t, slots, ids...)
}

// dispatcherBy returns such a dispatcher whose configuration is proven now.
func dispatcherBy(proof *freshness.Proof, p *placement.Placement, e *engines, retries int, t *routing.Table, slots int, ids ...string) *dispatch.Dispatcher {
	now := time.Now()
	for _, id := range ids {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: slots})
	}
	proof.Renew(now)
	budget := retry.New(now, retry.Limits{Extra: float64(retries), Window: 10 * time.Second}, func() int { return 1 })
	d := dispatch.New(proof, p, budget, e, noMetrics{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	d.SetTable(t)
	return d
}

// table returns a configuration with a route of each kind that holds some keys.
func table(version int, keys ...string) *routing.Table {
	route := func(name string, kind routing.Kind, engines int) *routing.Route {
		return &routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: timeout, Target: target, MaxEngines: engines,
			Shares: []routing.Share{{Pool: "p", Weight: 1}},
		}
	}
	resumable := route("resumable", routing.Stream, 2)
	resumable.Resumable = true
	routes := []*routing.Route{route("safe", routing.Safe, 2), route("unsafe", routing.Unsafe, 2), route("stream", routing.Stream, 1), resumable}
	return routing.NewTable(version, routes, []*routing.Pool{{Name: "p"}}, []*routing.Team{{Name: "t", Keys: keys}}, routing.Limits{})
}

// serve serves one request on a route and returns what its caller got.
func serve(t *testing.T, d *dispatch.Dispatcher, name string) *answer {
	t.Helper()
	return serveUntil(context.Background(), t, d, name)
}

// serveUntil does what serve does for a caller that leaves when the context ends.
func serveUntil(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, name string) *answer {
	t.Helper()
	return serveRequest(ctx, t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/" + name + "/x", Key: "k", Patience: timeout})
}

// serveFor does what serve does for a caller that waits for a time.
func serveFor(t *testing.T, d *dispatch.Dispatcher, name string, patience time.Duration) *answer {
	t.Helper()
	return serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/" + name + "/x", Key: "k", Patience: patience})
}

// serveRequest serves a request and returns what its caller got.
func serveRequest(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, r *dispatch.Request) *answer {
	t.Helper()
	now := time.Now()
	route, team, refusal := d.Check(now, r)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal.Reason)
	}
	a := &answer{}
	d.Serve(ctx, now, r, route, team, a)
	return a
}
