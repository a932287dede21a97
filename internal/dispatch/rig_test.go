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
	// errConnReset is a connection to an engine that broke after the request was sent.
	errConnReset = errors.New("connection reset")

	// retried counts the retries taken.
	retried atomic.Int64
)

type (
	// fakeSender answers requests with a function of the test; n counts attempts from 1.
	fakeSender struct {
		serve func(ctx context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error)

		mu   sync.Mutex
		sent []dispatch.Attempt
	}

	// recordedAnswer records what the caller gets.
	recordedAnswer struct {
		refusal *dispatch.Refusal
		status  int
		body    strings.Builder
		aborted bool
	}

	// retryObserver counts retries only.
	retryObserver struct{}
)

func (e *fakeSender) Send(ctx context.Context, _ *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error) {
	e.mu.Lock()
	e.sent = append(e.sent, a)
	n := len(e.sent)
	e.mu.Unlock()
	return e.serve(ctx, n, a)
}

// awaitSent waits until some requests were sent.
func (e *fakeSender) awaitSent(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(timeout); e.sentCount() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests were sent, want %d", e.sentCount(), n)
		}
	}
}

// sentCount returns how many requests were sent.
func (e *fakeSender) sentCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

func (a *recordedAnswer) Refuse(r dispatch.Refusal)         { a.refusal = &r }
func (a *recordedAnswer) Begin(r *dispatch.Response)        { a.status = r.Status }
func (a *recordedAnswer) Write(p []byte) error              { _, err := a.body.Write(p); return err }
func (a *recordedAnswer) Abort()                            { a.aborted = true }
func (retryObserver) Ended(_, _ string, _, _ time.Duration) {}
func (retryObserver) Retried(string)                        { retried.Add(1) }
func (retryObserver) Began(time.Time, string)               {}
func (retryObserver) EngineCrashed(string)                  {}

// respond returns a complete answer of an engine.
func respond(status int, body string) *dispatch.Response {
	return &dispatch.Response{Status: status, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

// newDispatcher returns a dispatcher with two engines and a budget of some retries.
func newDispatcher(e *fakeSender, retries int) *dispatch.Dispatcher {
	return newDispatcherWith(e, retries, table(1, "k"), 8, "e1", "e2")
}

// newDispatcherWith returns a dispatcher with a budget of some retries, a configuration, and
// engines with some slots each.
func newDispatcherWith(e *fakeSender, retries int, t *routing.Table, slots int, ids ...string) *dispatch.Dispatcher {
	return newDispatcherWithPlacement(placement.New("hall"), e, retries, t, slots, ids...)
}

// newDispatcherWithPlacement is newDispatcherWith with a placement that the engines are added to.
func newDispatcherWithPlacement(p *placement.Placement, e *fakeSender, retries int, t *routing.Table, slots int, ids ...string) *dispatch.Dispatcher {
	return newDispatcherWithProof(freshness.New(time.Hour), p, e, retries, t, slots, ids...)
}

// newDispatcherWithProof is newDispatcherWithPlacement with a configuration that is proven now.
func newDispatcherWithProof(proof *freshness.Proof, p *placement.Placement, e *fakeSender, retries int, t *routing.Table, slots int, ids ...string) *dispatch.Dispatcher {
	now := time.Now()
	for _, id := range ids {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: slots})
	}
	proof.Renew(now)
	budget := retry.New(now, retry.Limits{Extra: float64(retries), Window: 10 * time.Second}, func() int { return 1 })
	d := dispatch.New(proof, p, budget, e, retryObserver{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	d.SetTable(t)
	return d
}

// table returns a configuration with a route of each kind and a team with some keys.
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
func serve(t *testing.T, d *dispatch.Dispatcher, name string) *recordedAnswer {
	t.Helper()
	return serveContext(context.Background(), t, d, name)
}

// serveContext is serve for a caller that leaves when the context ends.
func serveContext(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, name string) *recordedAnswer {
	t.Helper()
	return serveRequest(ctx, t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/" + name + "/x", Key: "k", Patience: timeout})
}

// servePatience is serve for a caller that waits for a given time.
func servePatience(t *testing.T, d *dispatch.Dispatcher, name string, patience time.Duration) *recordedAnswer {
	t.Helper()
	return serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/" + name + "/x", Key: "k", Patience: patience})
}

// serveRequest serves a request and returns what its caller got.
func serveRequest(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, r *dispatch.Request) *recordedAnswer {
	t.Helper()
	now := time.Now()
	route, team, refusal := d.Check(now, r)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal.Reason)
	}
	a := &recordedAnswer{}
	d.Serve(ctx, now, r, route, team, a)
	return a
}
