package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
)

// TestSlowEngine holds that a repeatable request leaves an engine that sends nothing
// where the budget has a retry, and otherwise waits for the answer that may come.
func TestSlowEngine(t *testing.T) {
	for retries, want := range map[int]struct {
		sent int
		body string
	}{1: {2, "second"}, 0: {1, "first"}} {
		e := &engines{}
		e.serve = func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			if n > 1 {
				return respond(200, "second"), nil
			}
			select {
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			case <-time.After(10 * target):
				return respond(200, "first"), nil
			}
		}
		a := serve(t, newDispatcher(e, retries), "safe")
		if len(e.sent) != want.sent || a.body.String() != want.body {
			t.Errorf("with %d retries: %d sendings, refusal %+v, body %q; want %d and %q", retries, len(e.sent), a.refusal, a.body.String(), want.sent, want.body)
		}
	}
}

// TestUncertainEnd holds that what may have run is sent again only where it may be
// repeated, and is never called "not run".
func TestUncertainEnd(t *testing.T) {
	for name, want := range map[string]int{"safe": 2, "unsafe": 1, "stream": 1} {
		e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errCut }}
		a := serve(t, newDispatcher(e, 5), name)
		if len(e.sent) != want || a.refusal == nil || a.refusal.Reason != dispatch.Broken {
			t.Errorf("%s: %d sendings, refusal %+v; want %d and %s", name, len(e.sent), a.refusal, want, dispatch.Broken)
		}
	}
}

// TestEngineThatDoesNotRunIt holds that a request which its engine turned away goes
// to another, also where it may run only once, and that it is refused as not run
// where that one turns it away too.
func TestEngineThatDoesNotRunIt(t *testing.T) {
	away := func(n int) (*dispatch.Response, error) {
		resp := respond(http.StatusServiceUnavailable, "")
		resp.NotRun = true
		return resp, nil
	}
	e := &engines{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n == 1 {
			return away(n)
		}
		return respond(200, "well"), nil
	}}
	if a := serve(t, newDispatcher(e, 5), "unsafe"); a.body.String() != "well" || e.sent[0].Engine.ID == e.sent[1].Engine.ID {
		t.Errorf("got %+v after %v", a, e.sent)
	}
	e = &engines{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) { return away(n) }}
	if a := serve(t, newDispatcher(e, 5), "unsafe"); a.refusal == nil || a.refusal.Reason != dispatch.Full || a.refusal.ComeBack <= 0 {
		t.Errorf("got %+v, want a refusal with a time to come back", a.refusal)
	}
}

// TestStreamThatCannotGoOn holds that a stream which has begun never looks whole where
// the engine that should go on with it fails, whatever that engine's answer is.
func TestStreamThatCannotGoOn(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadRequest} {
		e := &engines{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			if n > 1 {
				return respond(status, "no"), nil
			}
			resp := respond(200, "")
			resp.Length = -1
			resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), iotest.ErrReader(errCut)))
			return resp, nil
		}}
		a := serve(t, newDispatcher(e, 5), "resumable")
		if len(e.sent) != 2 || !a.aborted || a.body.String() != "id: 1\ndata: x\n\n" {
			t.Errorf("status %d: %d sendings, aborted %v, body %q", status, len(e.sent), a.aborted, a.body.String())
		}
	}
}

// TestKeyThatGoesBetweenTwoSendings holds that a request is not sent on once its key
// was taken away, and that it is not called "not run" where it may have run.
func TestKeyThatGoesBetweenTwoSendings(t *testing.T) {
	e := &engines{}
	d := newDispatcher(e, 5)
	e.serve = func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		d.SetTable(table(2, "another"))
		return nil, errCut
	}
	if a := serve(t, d, "safe"); len(e.sent) != 1 || a.refusal == nil || a.refusal.Reason != dispatch.Broken {
		t.Errorf("%d sendings, refusal %+v", len(e.sent), a.refusal)
	}
}

// TestStopping holds what a node that stops still takes: streams until they could
// not end any more, the rest until shortly before the end.
func TestStopping(t *testing.T) {
	d := newDispatcher(&engines{}, 0)
	now := time.Now()
	d.StopBy(now.Add(10 * time.Second))
	for _, test := range []struct {
		route string
		after time.Duration
		taken bool
	}{{"stream", time.Second, true}, {"stream", 6 * time.Second, false}, {"safe", 6 * time.Second, true}, {"safe", 9500 * time.Millisecond, false}} {
		_, _, refusal := d.Check(now.Add(test.after), &dispatch.Request{Host: "h", Path: "/" + test.route + "/", Key: "k"})
		if taken := refusal == nil; taken != test.taken || !taken && refusal.Reason != dispatch.Stopping {
			t.Errorf("%s after %v: %+v, want taken %v", test.route, test.after, refusal, test.taken)
		}
	}
	if d.Ready(now) != dispatch.Stopping {
		t.Error("a node that stops is ready")
	}
}

// TestRequestAtANodeThatStarts holds that a request which comes before the node knows
// its configuration is served once it does, that it is not held for long where it
// does not, and that a node which could serve before holds none.
func TestRequestAtANodeThatStarts(t *testing.T) {
	e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(200, "x"), nil
	}}
	proof, p := freshness.New(time.Hour), placement.New("hall")
	budget := retry.New(time.Now(), retry.Limits{Window: time.Second}, func() int { return 1 })
	d := dispatch.New(proof, p, budget, e, noMetrics{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/safe/x", Key: "k", Patience: 200 * time.Millisecond}
	begin := time.Now()
	d.AwaitStart(context.Background(), begin, r)
	if held := time.Since(begin); held < 50*time.Millisecond || held > time.Second {
		t.Errorf("held for %v, want a quarter of 200 ms", held)
	}
	if _, _, refusal := d.Check(time.Now(), r); refusal == nil || refusal.Reason != dispatch.NotReady {
		t.Errorf("got %+v, want %s", refusal, dispatch.NotReady)
	}
	r.Patience = time.Minute
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.AwaitStart(context.Background(), time.Now(), r)
	}()
	p.Set(placement.Engine{ID: "e1", Pool: "p"})
	d.SetTable(table(1, "k"))
	proof.Renew(time.Now())
	<-done
	if _, _, refusal := d.Check(time.Now(), r); refusal != nil {
		t.Errorf("refused with %s", refusal.Reason)
	}
	proof.SetMaxAge(-time.Hour)
	begin = time.Now()
	d.AwaitStart(context.Background(), begin, r)
	if held := time.Since(begin); held > 100*time.Millisecond {
		t.Errorf("a node that could serve before holds a request for %v", held)
	}
}

// TestRetryIsTakenOnce holds that a retry taken to leave a slow engine serves where
// that engine then says that it did not run the request: the budget has no second one.
func TestRetryIsTakenOnce(t *testing.T) {
	e := &engines{}
	e.serve = func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n > 1 {
			return respond(200, "second"), nil
		}
		<-ctx.Done() // The engine answers after it was given up.
		resp := respond(http.StatusServiceUnavailable, "")
		resp.NotRun = true
		return resp, nil
	}
	if a := serve(t, newDispatcher(e, 1), "safe"); a.body.String() != "second" {
		t.Errorf("got %q, refusal %+v", a.body.String(), a.refusal)
	}
}

// TestNoRetryIsTakenForNothing holds that a stream which has no further engine to go
// to takes no retry when its last engine sends nothing until the deadline.
func TestNoRetryIsTakenForNothing(t *testing.T) {
	for range 5 {
		e := &engines{}
		e.serve = func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			if n == 1 {
				return nil, errCut
			}
			resp := respond(200, "")
			resp.Length, resp.Body = -1, io.NopCloser(&silent{ctx})
			return resp, nil
		}
		d := newDispatcher(e, 9)
		now := time.Now()
		r := &dispatch.Request{ID: "id", Host: "h", Path: "/resumable/x", Key: "k", Patience: 100 * time.Millisecond}
		route, team, refusal := d.Check(now, r)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		before := retried.Load()
		d.Serve(context.Background(), now, r, route, team, &answer{})
		if got := retried.Load() - before; got != 1 {
			t.Fatalf("%d retries taken for one second sending", got)
		}
	}
}

// silent is a body that holds nothing until its request ends.
type silent struct{ ctx context.Context }

func (s *silent) Read([]byte) (int, error) {
	<-s.ctx.Done()
	time.Sleep(5 * time.Millisecond) // Timers that end with the request fire first.
	return 0, context.Cause(s.ctx)
}

// TestStreamsBeforeTheStop holds that a node which stops takes no stream that was sent
// more than three seconds after its stop began, of the eight that it has: from then on a
// stream that does not end in time counts as given up.
func TestStreamsBeforeTheStop(t *testing.T) {
	now := time.Now()
	d := newDispatcher(&engines{}, 0)
	end := now.Add(8*time.Second - 400*time.Millisecond)
	d.StopBy(end)
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "k", Patience: timeout}
	if _, _, refusal := d.Check(now.Add(2*time.Second), r); refusal != nil {
		t.Errorf("two seconds after the stop began: %v", refusal.Reason)
	}
	if _, _, refusal := d.Check(now.Add(3*time.Second), r); refusal == nil || refusal.Reason != dispatch.Stopping {
		t.Error("three seconds after the stop began a stream is taken")
	}
}

// TestRequestsOfAFormerIncarnationAreLost holds that a request at an engine which has started again ends there,
// though its connection says nothing: one that may be repeated goes to another engine, and one
// that may not is told that it broke. One of which the engine gives signs is left alone.
func TestRequestsOfAFormerIncarnationAreLost(t *testing.T) {
	for _, c := range []struct {
		route     string
		status    int
		reason    dispatch.Reason
		sendings  int
		withSigns bool
	}{
		{"safe", http.StatusOK, "", 2, false},
		{"unsafe", 0, dispatch.Broken, 1, false},
		{"unsafe", http.StatusOK, "", 1, true},
	} {
		p := placement.New("hall")
		e := &engines{}
		e.serve = func(ctx context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error) {
			if n > 1 {
				return respond(http.StatusOK, "fine"), nil
			}
			again := a.Engine
			again.Incarnation++
			if c.withSigns {
				p.Set(again)
				return respond(http.StatusOK, "fine"), nil
			}
			go p.Set(again)
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		patient := table(1, "k")
		patient.Route("h", "/safe/").Target = time.Minute // Slowness alone ends no attempt.
		d := dispatcherAt(p, e, 5, patient, 8, "e1", "e2")
		began := time.Now()
		a := serve(t, d, c.route)
		if a.status != c.status || (a.refusal != nil) != (c.reason != "") || a.refusal != nil && a.refusal.Reason != c.reason || e.sentSoFar() != c.sendings {
			t.Errorf("%s: status %d, refusal %+v after %d sendings, want %d %q after %d", c.route, a.status, a.refusal, e.sentSoFar(), c.status, c.reason, c.sendings)
		}
		if took := time.Since(began); took > timeout/2 {
			t.Errorf("%s: it took %v", c.route, took)
		}
	}
}
