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
	// prober says of all engines that they have ended, or live, and counts how often it is asked.
	prober struct {
		ended atomic.Bool
		asked atomic.Int64
	}

	// endedCount counts requests under which their engine ended.
	endedCount struct {
		noMetrics
		n     atomic.Int64
		began atomic.Int64 // began counts requests that engines began.
	}
)

// newProber returns a prober.
func newProber(ended bool) *prober {
	p := &prober{}
	p.ended.Store(ended)
	return p
}

func (p *prober) Ended(context.Context, string) bool {
	p.asked.Add(1)
	time.Sleep(10 * time.Millisecond) // Others break off meanwhile.
	return p.ended.Load()
}

func (c *endedCount) EngineEnded(string)      { c.n.Add(1) }
func (c *endedCount) Began(time.Time, string) { c.began.Add(1) }

// midway answers with an event, and breaks off.
func midway(context.Context) (*dispatch.Response, error) {
	resp := respond(http.StatusOK, "")
	resp.Length, resp.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), iotest.ErrReader(errCut)))
	return resp, nil
}

// turned turns a request away.
func turned(context.Context) (*dispatch.Response, error) {
	resp := respond(http.StatusServiceUnavailable, "")
	resp.NotRun = true
	return resp, nil
}

// TestWhatCountsAsTheEndOfAnEngine holds under which failures a request counts as one under which
// its engine ended, that requests which break off together ask once, and which count as begun by their engine: those of
// which the head of an answer came, and those whose answer was lost while the engine lives.
func TestWhatCountsAsTheEndOfAnEngine(t *testing.T) {
	cut := func(ctx context.Context) (*dispatch.Response, error) { return nil, errCut }
	silentToTheEnd := func(ctx context.Context) (*dispatch.Response, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	failure := func(ctx context.Context) (*dispatch.Response, error) {
		return respond(http.StatusInternalServerError, ""), nil
	}
	foreign := func(ctx context.Context) (*dispatch.Response, error) { return nil, dispatch.ErrMismatchedResponse }
	for name, c := range map[string]struct {
		serve    func(ctx context.Context) (*dispatch.Response, error)
		ended    bool
		draining bool
		want     int64 // want is how many of two requests count.
		asked    int64
		began    int64
	}{
		"no answer, the engine has ended":      {cut, true, false, 2, 1, 0},
		"part of it, the engine has ended":     {midway, true, false, 2, 1, 2},
		"no answer, the engine lives":          {cut, false, false, 0, 1, 2},
		"no answer, the engine was to leave":   {cut, true, true, 0, 0, 1},
		"silence":                              {silentToTheEnd, true, false, 0, 0, 0},
		"a failure of the engine's own":        {failure, true, false, 0, 0, 2},
		"turned away":                          {turned, true, false, 0, 0, 0},
		"an answer that is of another request": {foreign, true, false, 0, 0, 2},
	} {
		p, place, count := newProber(c.ended), placement.New("hall"), &endedCount{}
		place.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8})
		proof := freshness.New(time.Hour)
		proof.Renew(time.Now())
		budget := retry.New(time.Now(), retry.Limits{Window: time.Second}, func() int { return 1 })
		e := &engines{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
			place.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8, Draining: c.draining})
			return c.serve(ctx)
		}}
		d := dispatch.New(proof, place, budget, e, count, slog.New(slog.DiscardHandler), dispatch.WithProber(p))
		d.SetTable(table(1, "k"))
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { serveFor(t, d, "stream", 100*time.Millisecond) })
			if c.draining {
				wg.Wait() // The second finds no engine.
			}
		}
		wg.Wait()
		if count.n.Load() != c.want || p.asked.Load() != c.asked {
			t.Errorf("%s: %d requests count, after %d probes; want %d after %d", name, count.n.Load(), p.asked.Load(), c.want, c.asked)
		}
		if got := count.began.Load(); got != c.began {
			t.Errorf("%s: %d requests count as begun, want %d", name, got, c.began)
		}
	}
}

// TestAnEngineThatLivedAMomentAgoMayHaveEnded holds that what was found out about an engine does not hold for a request that breaks off
// there a while later.
func TestAnEngineThatLivedAMomentAgoMayHaveEnded(t *testing.T) {
	e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errCut }}
	d, q, p := newQuarantined(e)
	p.ended.Store(false)
	serve(t, d, "unsafe")
	p.ended.Store(true)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		serve(t, d, "unsafe")
	}
	if q.Len() != 1 {
		t.Errorf("%d requests held after three ends, want 1", q.Len())
	}
}
