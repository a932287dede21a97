package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
)

type (
	// fakeProber reports a fixed result for all engines and counts its probes.
	fakeProber struct {
		ended  atomic.Bool
		silent atomic.Bool // silent is set if engines accept no connections either.
		probes atomic.Int64
	}

	// crashObserver counts requests whose engine crashed.
	crashObserver struct {
		retryObserver
		n     atomic.Int64
		began atomic.Int64 // began counts requests that engines started to run.
	}
)

// newFakeProber returns a prober with a fixed result.
func newFakeProber(ended bool) *fakeProber {
	p := &fakeProber{}
	p.ended.Store(ended)
	return p
}

func (p *fakeProber) Ended(context.Context, string) bool {
	p.probes.Add(1)
	time.Sleep(10 * time.Millisecond) // Other requests fail meanwhile.
	return p.ended.Load()
}

func (p *fakeProber) Accepts(context.Context, string) bool {
	return !p.ended.Load() && !p.silent.Load()
}

func (c *crashObserver) EngineCrashed(string)    { c.n.Add(1) }
func (c *crashObserver) Began(time.Time, string) { c.began.Add(1) }

// breakMidway answers with one event and then fails.
func breakMidway(context.Context) (*dispatch.Response, error) {
	resp := respond(http.StatusOK, "")
	resp.Length, resp.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), iotest.ErrReader(errConnReset)))
	return resp, nil
}

// reject rejects a request without running it.
func reject(context.Context) (*dispatch.Response, error) {
	resp := respond(http.StatusServiceUnavailable, "")
	resp.NotRun = true
	return resp, nil
}

// TestWhichFailuresCountAsCrash checks which failures count as a crash of the engine, that requests
// that fail together probe once, and which requests count as started by the engine: those that got
// the head of an answer, and those whose answer was lost while the engine is alive.
func TestWhichFailuresCountAsCrash(t *testing.T) {
	reset := func(ctx context.Context) (*dispatch.Response, error) { return nil, errConnReset }
	silentUntilDeadline := func(ctx context.Context) (*dispatch.Response, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	failure := func(ctx context.Context) (*dispatch.Response, error) {
		return respond(http.StatusInternalServerError, ""), nil
	}
	mismatched := func(ctx context.Context) (*dispatch.Response, error) { return nil, dispatch.ErrMismatchedResponse }
	for name, c := range map[string]struct {
		serve    func(ctx context.Context) (*dispatch.Response, error)
		ended    bool
		draining bool
		want     int64 // want is how many of two requests count as crashed.
		probes   int64
		began    int64
	}{
		"no answer, engine crashed":      {reset, true, false, 2, 1, 0},
		"partial answer, engine crashed": {breakMidway, true, false, 2, 1, 2},
		"no answer, engine alive":        {reset, false, false, 0, 1, 2},
		"no answer, engine draining":     {reset, true, true, 0, 0, 1},
		"no answer until the deadline":   {silentUntilDeadline, true, false, 0, 0, 0},
		"server error":                   {failure, true, false, 0, 0, 2},
		"rejected":                       {reject, true, false, 0, 0, 0},
		"answer of another request":      {mismatched, true, false, 0, 0, 2},
	} {
		p, place, count := newFakeProber(c.ended), placement.New("hall"), &crashObserver{}
		place.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8})
		proof := freshness.New(time.Hour)
		proof.Renew(time.Now())
		budget := retry.New(time.Now(), retry.Limits{Window: time.Second}, func() int { return 1 })
		e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
			place.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8, Draining: c.draining})
			return c.serve(ctx)
		}}
		d := dispatch.New(proof, place, budget, e, count, slog.New(slog.DiscardHandler), dispatch.WithProber(p))
		d.SetTable(table(1, "k"))
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { servePatience(t, d, "stream", 100*time.Millisecond) })
			if c.draining {
				wg.Wait() // The second request finds no engine.
			}
		}
		wg.Wait()
		if count.n.Load() != c.want || p.probes.Load() != c.probes {
			t.Errorf("%s: %d requests count, after %d probes; want %d after %d", name, count.n.Load(), p.probes.Load(), c.want, c.probes)
		}
		if got := count.began.Load(); got != c.began {
			t.Errorf("%s: %d requests count as started, want %d", name, got, c.began)
		}
	}
}

// TestProbeResultExpires checks that the result of a probe is not reused for a request that fails
// at the same engine some time later.
func TestProbeResultExpires(t *testing.T) {
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errConnReset }}
	d, q, p := newQuarantineDispatcher(e)
	p.ended.Store(false)
	serve(t, d, "unsafe")
	p.ended.Store(true)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		serve(t, d, "unsafe")
	}
	if q.Len() != 1 {
		t.Errorf("%d requests held after three crashes, want 1", q.Len())
	}
}
