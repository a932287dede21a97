package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
)

// TestSlowEngine checks that a repeatable request abandons an engine that sends nothing if the
// budget allows a retry, and otherwise waits for an answer that may still arrive.
func TestSlowEngine(t *testing.T) {
	for retries, want := range map[int]struct {
		sent int
		body string
	}{1: {2, "second"}, 0: {1, "first"}} {
		e := &fakeSender{}
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
			t.Errorf("with %d retries: %d attempts, refusal %+v, body %q; want %d and %q", retries, len(e.sent), a.refusal, a.body.String(), want.sent, want.body)
		}
	}
}

// TestRequestThatMayHaveRun checks that a request that may have run is sent again only if it is
// repeatable, and is never reported as not run.
func TestRequestThatMayHaveRun(t *testing.T) {
	for name, want := range map[string]int{"safe": 2, "unsafe": 1, "stream": 1} {
		e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errConnReset }}
		a := serve(t, newDispatcher(e, 5), name)
		if len(e.sent) != want || a.refusal == nil || a.refusal.Reason != dispatch.EngineFailed {
			t.Errorf("%s: %d attempts, refusal %+v; want %d and %s", name, len(e.sent), a.refusal, want, dispatch.EngineFailed)
		}
	}
}

// TestEngineRejectsRequest checks that a request rejected by its engine goes to another one, even
// if it may run only once, and that it is refused as not run if that one rejects it too.
func TestEngineRejectsRequest(t *testing.T) {
	reject := func(n int) (*dispatch.Response, error) {
		resp := respond(http.StatusServiceUnavailable, "")
		resp.NotRun = true
		return resp, nil
	}
	e := &fakeSender{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n == 1 {
			return reject(n)
		}
		return respond(200, "well"), nil
	}}
	if a := serve(t, newDispatcher(e, 5), "unsafe"); a.body.String() != "well" || e.sent[0].Engine.ID == e.sent[1].Engine.ID {
		t.Errorf("got %+v after %v", a, e.sent)
	}
	e = &fakeSender{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) { return reject(n) }}
	if a := serve(t, newDispatcher(e, 5), "unsafe"); a.refusal == nil || a.refusal.Reason != dispatch.EnginesFull || a.refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal with a retry delay", a.refusal)
	}
}

// TestStreamThatCannotResume checks that a stream that has begun never looks complete if the engine
// that should resume it fails, whatever it answers.
func TestStreamThatCannotResume(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadRequest} {
		e := &fakeSender{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			if n > 1 {
				return respond(status, "no"), nil
			}
			resp := respond(200, "")
			resp.Length = -1
			resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), iotest.ErrReader(errConnReset)))
			return resp, nil
		}}
		a := serve(t, newDispatcher(e, 5), "resumable")
		if len(e.sent) != 2 || !a.aborted || a.body.String() != "id: 1\ndata: x\n\n" {
			t.Errorf("status %d: %d attempts, aborted %v, body %q", status, len(e.sent), a.aborted, a.body.String())
		}
	}
}

// TestKeyRevokedBetweenAttempts checks that a request is not sent again once its key was revoked,
// and is not reported as not run if it may have run.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	e := &fakeSender{}
	d := newDispatcher(e, 5)
	e.serve = func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		d.SetTable(table(2, "another"))
		return nil, errConnReset
	}
	if a := serve(t, d, "safe"); len(e.sent) != 1 || a.refusal == nil || a.refusal.Reason != dispatch.EngineFailed {
		t.Errorf("%d attempts, refusal %+v", len(e.sent), a.refusal)
	}
}

// TestSlowEngineIsKeptOnceItsKeyIsRevoked guards against a request that leaves its slow engine for another
// one to which it may not be sent, since its key was revoked meanwhile: the caller gets the answer of the
// first engine.
func TestSlowEngineIsKeptOnceItsKeyIsRevoked(t *testing.T) {
	const body = "id: 1\ndata: a\n\n"
	var d *dispatch.Dispatcher
	e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		d.SetTable(table(2))
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(5 * target):
			return respond(http.StatusOK, body), nil
		}
	}}
	d = newDispatcher(e, 5)
	before := retried.Load()
	if got := serve(t, d, "resumable"); got.body.String() != body || got.aborted || e.sentCount() != 1 || retried.Load() != before {
		t.Errorf("the caller got %q, refusal %v, aborted %t; %d requests were sent", got.body.String(), got.refusal, got.aborted, e.sentCount())
	}
}

// TestStopping checks what a stopping node still accepts: streams while they can still end, other
// requests until shortly before the end.
func TestStopping(t *testing.T) {
	d := newDispatcher(&fakeSender{}, 0)
	now := time.Now()
	d.StopBy(dispatch.Stop{Begin: now, By: now.Add(10 * time.Second)})
	for _, test := range []struct {
		route string
		after time.Duration
		taken bool
	}{{"stream", 7 * time.Second, true}, {"stream", 7500 * time.Millisecond, false}, {"safe", 7 * time.Second, true}, {"safe", 7500 * time.Millisecond, false}, {"safe", 9500 * time.Millisecond, false}} {
		_, _, refusal := d.Check(now.Add(test.after), &dispatch.Request{Host: "h", Path: "/" + test.route + "/", Key: "k"})
		if taken := refusal == nil; taken != test.taken || !taken && refusal.Reason != dispatch.Stopping {
			t.Errorf("%s after %v: %+v, want accepted %v", test.route, test.after, refusal, test.taken)
		}
	}
	if d.Ready(now) != dispatch.Stopping {
		t.Error("a stopping node is ready")
	}
}

// otherReady is whether another node accepts callers.
type otherReady bool

func (r otherReady) OtherReady(time.Time) bool { return bool(r) }

// TestCallersComeBackLaterWhileNoNodeIsReady guards against callers that use up their tries at stopping nodes before another
// one is ready.
func TestCallersComeBackLaterWhileNoNodeIsReady(t *testing.T) {
	for ready, want := range map[otherReady]time.Duration{true: 50 * time.Millisecond, false: 500 * time.Millisecond} {
		d, now := newDispatcher(&fakeSender{}, 0), time.Now()
		dispatch.WithNodes(ready)(d)
		d.StopBy(dispatch.Stop{Begin: now, By: now.Add(timeout / 2)})
		if _, _, refusal := d.Check(now, &dispatch.Request{Host: "h", Path: "/unsafe/", Key: "k"}); refusal == nil || refusal.Reason != dispatch.Stopping || refusal.RetryAfter != want {
			t.Errorf("another node is ready %v: got %+v, want a retry after %v", ready, refusal, want)
		}
	}
}

// TestStoppingNodeTakesOnlyWhatItCanFinish guards against requests of any kind that a stopping node takes and then cuts
// off. Short runs of their route vouch only for those that are answered whole and may be sent again.
func TestStoppingNodeTakesOnlyWhatItCanFinish(t *testing.T) {
	var slow atomic.Bool
	release := make(chan struct{})
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		if slow.Load() {
			<-release
		}
		time.Sleep(20 * time.Millisecond)
		return respond(http.StatusOK, "id: 1\n\n"), nil
	}}
	left := func(d *dispatch.Dispatcher, route string, left time.Duration) (taken bool) {
		now := time.Now()
		d.StopBy(dispatch.Stop{Begin: now, By: now.Add(left)})
		_, _, refusal := d.Check(now, &dispatch.Request{Host: "h", Path: "/" + route + "/", Key: "k", Patience: timeout})
		return refusal == nil
	}
	for _, route := range []string{"safe", "unsafe", "stream", "resumable"} {
		unknown := newDispatcher(e, 0)
		if left(unknown, route, timeout) || !left(unknown, route, timeout+time.Second) {
			t.Errorf("%s: a request that may outlast the node is taken, or one that can't is not", route)
		}
		few := newDispatcher(e, 0)
		for range 4 {
			serve(t, few, route)
		}
		vouched := route == "safe"
		if left(few, route, 70*time.Millisecond) || left(few, route, timeout/2) != vouched {
			t.Errorf("%s: a request of a route with few and short runs is refused, or one that they don't vouch for is not", route)
		}
		known := newDispatcher(e, 0)
		for range 20 {
			serve(t, known, route)
		}
		if left(known, route, 20*time.Millisecond) || left(known, route, time.Second) != vouched || left(known, route, timeout) != vouched || !left(known, route, timeout+time.Second) {
			t.Errorf("%s: a request of a route with short runs is refused, or one that does not fit is not", route)
		}
	}
	large := newDispatcher(&fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(http.StatusOK, strings.Repeat("x", 300<<10)), nil
	}}, 0)
	for range 20 {
		serve(t, large, "safe")
	}
	if left(large, "safe", time.Second) {
		t.Error("a request is taken whose answer may have begun when it is cut off")
	}
	slower := newDispatcher(e, 0)
	for range 20 {
		serve(t, slower, "safe")
	}
	slow.Store(true)
	done := make(chan struct{})
	go func() { defer close(done); servePatience(t, slower, "safe", timeout) }()
	time.Sleep(time.Second)
	if left(slower, "safe", time.Second) {
		t.Error("a request is taken that fits only if its engines are as fast as they were")
	}
	close(release)
	<-done
}

// TestStoppingNodeTakesNoLargerRequestThanItKnows guards against requests that a stopping node takes and then cuts off since
// it knows short runs only: of smaller requests, of failures, or of streams that were taken up near their end.
func TestStoppingNodeTakesNoLargerRequestThanItKnows(t *testing.T) {
	tokens := func(prompt, output, expected int) *dispatch.Request {
		return &dispatch.Request{Prompt: placement.Prompt{Tokens: prompt}, OutputTokens: output, ExpectedTokens: expected}
	}
	body := func(n int) *dispatch.Request { return &dispatch.Request{Body: make([]byte, n)} }
	resumed := tokens(40000, 10, 0)
	resumed.LastEventID = "7"
	for name, test := range map[string]struct {
		known, asked *dispatch.Request
		status       int
		taken        bool
	}{
		"the same":                   {tokens(1000, 10, 0), tokens(1000, 10, 0), http.StatusOK, true},
		"smaller":                    {tokens(1000, 10, 0), tokens(100, 5, 0), http.StatusOK, true},
		"little larger":              {tokens(1000, 10, 0), tokens(1020, 11, 0), http.StatusOK, true},
		"long prompt":                {tokens(1000, 10, 0), tokens(40000, 10, 0), http.StatusOK, false},
		"long answer":                {tokens(1000, 10, 0), tokens(1000, 400, 0), http.StatusOK, false},
		"long answer expected":       {tokens(1000, 0, 10), tokens(1000, 0, 400), http.StatusOK, false},
		"any number of tokens":       {tokens(1000, 10, 0), tokens(math.MaxInt, math.MaxInt, 0), http.StatusOK, false},
		"same body":                  {body(500), body(500), http.StatusOK, true},
		"long body":                  {body(500), body(110_000), http.StatusOK, false},
		"no body read yet":           {tokens(1000, 10, 0), body(0), http.StatusOK, true},
		"body longer than tokens":    {tokens(400, 10, 0), body(400), http.StatusOK, false},
		"others failed":              {tokens(40000, 10, 0), tokens(40000, 10, 0), http.StatusBadRequest, false},
		"others taken up at the end": {resumed, tokens(40000, 10, 0), http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(&fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
				return respond(test.status, "id: 1\n\n"), nil
			}}, 0)
			request := func(like *dispatch.Request) *dispatch.Request {
				r := *like
				r.ID, r.Host, r.Path, r.Key, r.Patience = "id", "h", "/safe/x", "k", timeout
				return &r
			}
			for range 20 {
				serveRequest(context.Background(), t, d, request(test.known))
			}
			now := time.Now()
			d.StopBy(dispatch.Stop{Begin: now, By: now.Add(timeout / 2)})
			if _, _, refusal := d.Check(now, request(test.asked)); (refusal == nil) != test.taken || refusal != nil && refusal.Reason != dispatch.Stopping {
				t.Errorf("got the refusal %+v, want taken %v", refusal, test.taken)
			}
			d.StopBy(dispatch.Stop{Begin: now, By: now.Add(2 * timeout)})
			if _, _, refusal := d.Check(now, request(test.asked)); refusal != nil {
				t.Errorf("got the refusal %+v though the caller waits for less than what is left", refusal)
			}
		})
	}
}

// TestSlowRequestStaysAtItsEngineWhileTheNodeStops guards against a repeatable request that is taken from a slow engine to
// be sent to another one, and then refused because it no longer fits.
func TestSlowRequestStaysAtItsEngineWhileTheNodeStops(t *testing.T) {
	for _, route := range []string{"safe", "resumable"} {
		e := &fakeSender{serve: func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			select {
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			case <-time.After(10 * target):
			}
			return respond(http.StatusOK, fmt.Sprintf("id: %d\n\n", n)), nil
		}}
		d := newDispatcher(e, 10)
		answers := make(chan *recordedAnswer, 1)
		go func() { answers <- servePatience(t, d, route, timeout) }()
		e.awaitSent(t, 1)
		d.StopBy(dispatch.Stop{Begin: time.Now(), By: time.Now().Add(timeout / 2)})
		if a := <-answers; a.status != http.StatusOK || a.body.String() != "id: 1\n\n" {
			t.Errorf("%s: got status %d, %q, refusal %+v", route, a.status, a.body.String(), a.refusal)
		}
	}
}

// TestWaitingRequestsLeaveAStoppingNode guards against requests that wait for a slot until the node ends, though another
// one could serve them, and against answers other than "not run" to those that it ends.
func TestWaitingRequestsLeaveAStoppingNode(t *testing.T) {
	for _, cut := range []bool{false, true} {
		e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}}
		table := table(1, "k")
		table.Route("h", "/unsafe/x").Target = timeout
		d := newDispatcherWith(e, 0, table, 1, "e1")
		answers := make(chan *recordedAnswer, 2)
		go func() { answers <- servePatience(t, d, "unsafe", timeout) }()
		e.awaitSent(t, 1)
		go func() { answers <- servePatience(t, d, "unsafe", timeout) }()
		time.Sleep(50 * time.Millisecond)
		want := []dispatch.Reason{dispatch.Stopping, dispatch.CutOff}
		if cut {
			d.CutOff()
		} else {
			d.StopBy(dispatch.Stop{Begin: time.Now(), By: time.Now().Add(timeout / 2)})
		}
		first := <-answers
		if !cut {
			d.CutOff()
		}
		got := []dispatch.Reason{first.refusal.Reason, (<-answers).refusal.Reason}
		if cut {
			slices.Sort(got)
			slices.Sort(want)
		}
		if !slices.Equal(got, want) || e.sentCount() != 1 {
			t.Errorf("cut off %v: refused with %v, want %v; %d were sent", cut, got, want, e.sentCount())
		}
	}
}

// TestAwaitStart checks that a request that arrives before the node has a configuration is served
// once it does, that it waits for a bounded time, and that a node that could serve before makes no
// request wait.
func TestAwaitStart(t *testing.T) {
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(200, "x"), nil
	}}
	proof, p := freshness.New(time.Hour), placement.New("hall")
	budget := retry.New(time.Now(), retry.Limits{Window: time.Second}, func() int { return 1 })
	d := dispatch.New(proof, p, budget, e, retryObserver{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/safe/x", Key: "k", Patience: 200 * time.Millisecond}
	begin := time.Now()
	d.AwaitStart(context.Background(), begin, r)
	if held := time.Since(begin); held < 50*time.Millisecond || held > time.Second {
		t.Errorf("waited for %v, want a quarter of 200 ms", held)
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
		t.Errorf("a node that could serve before makes a request wait for %v", held)
	}
}

// TestRetryIsTakenOnce checks that the retry taken to abandon a slow engine is reused if that
// engine then rejects the request: the budget has no second one.
func TestRetryIsTakenOnce(t *testing.T) {
	e := &fakeSender{}
	e.serve = func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n > 1 {
			return respond(200, "second"), nil
		}
		<-ctx.Done() // The engine answers after it was abandoned.
		resp := respond(http.StatusServiceUnavailable, "")
		resp.NotRun = true
		return resp, nil
	}
	if a := serve(t, newDispatcher(e, 1), "safe"); a.body.String() != "second" {
		t.Errorf("got %q, refusal %+v", a.body.String(), a.refusal)
	}
}

// TestNoRetryTakenWithoutAnotherEngine checks that a stream without a further engine to try takes
// no retry when its last engine sends nothing until the deadline.
func TestNoRetryTakenWithoutAnotherEngine(t *testing.T) {
	for range 5 {
		e := &fakeSender{}
		e.serve = func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
			if n == 1 {
				return nil, errConnReset
			}
			resp := respond(200, "")
			resp.Length, resp.Body = -1, io.NopCloser(&silentBody{ctx})
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
		d.Serve(context.Background(), now, r, route, team, &recordedAnswer{})
		if got := retried.Load() - before; got != 1 {
			t.Fatalf("%d retries taken for one second attempt", got)
		}
	}
}

// silentBody is a body that blocks until its request ends.
type silentBody struct{ ctx context.Context }

func (s *silentBody) Read([]byte) (int, error) {
	<-s.ctx.Done()
	time.Sleep(5 * time.Millisecond) // Timers that end with the request fire first.
	return 0, context.Cause(s.ctx)
}

// TestRequestsEndWhenEngineRestarts checks that a request at an engine that has restarted ends
// although its connection stays silent: a repeatable one goes to another engine, any other is told
// that the engine failed. A request with signs of life from the engine is left alone.
func TestRequestsEndWhenEngineRestarts(t *testing.T) {
	for _, c := range []struct {
		route     string
		status    int
		reason    dispatch.Reason
		sent      int
		withSigns bool
	}{
		{"safe", http.StatusOK, "", 2, false},
		{"unsafe", 0, dispatch.EngineFailed, 1, false},
		{"unsafe", http.StatusOK, "", 1, true},
	} {
		p := placement.New("hall")
		e := &fakeSender{}
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
		d := newDispatcherWithPlacement(p, e, 5, patient, 8, "e1", "e2")
		began := time.Now()
		a := serve(t, d, c.route)
		if a.status != c.status || (a.refusal != nil) != (c.reason != "") || a.refusal != nil && a.refusal.Reason != c.reason || e.sentCount() != c.sent {
			t.Errorf("%s: status %d, refusal %+v after %d attempts, want %d %q after %d", c.route, a.status, a.refusal, e.sentCount(), c.status, c.reason, c.sent)
		}
		if took := time.Since(began); took > timeout/2 {
			t.Errorf("%s: it took %v", c.route, took)
		}
	}
}

// TestSlowEngineIsKeptIfThereIsNoOther guards against repeatable requests that are taken from a slow engine, and refused because
// there is no other.
func TestSlowEngineIsKeptIfThereIsNoOther(t *testing.T) {
	for _, route := range []string{"safe", "resumable"} {
		e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
			select {
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			case <-time.After(10 * target):
			}
			return respond(http.StatusOK, "id: 1\n\n"), nil
		}}
		if a := serve(t, newDispatcherWith(e, 10, table(1, "k"), 8, "e1"), route); a.status != http.StatusOK || a.body.String() != "id: 1\n\n" || e.sentCount() != 1 {
			t.Errorf("%s: got status %d, %q, refusal %+v after %d attempts", route, a.status, a.body.String(), a.refusal, e.sentCount())
		}
	}
}

// TestTimeOfABodyCountsAsNoRun guards against a stopping node that refuses short requests since the body of one took long to
// arrive: it is no run, and what is left until the deadline is all that must fit.
func TestTimeOfABodyCountsAsNoRun(t *testing.T) {
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(http.StatusOK, "well"), nil
	}}
	for route, left := range map[string]time.Duration{"safe": timeout / 2, "unsafe": timeout * 3 / 4} {
		d := newDispatcher(e, 0)
		for range 20 {
			serve(t, d, route)
		}
		now, r, a := time.Now(), &dispatch.Request{ID: "id", Host: "h", Path: "/" + route + "/x", Key: "k", Patience: timeout}, &recordedAnswer{}
		checked, team, _ := d.Check(now, r)
		d.StopBy(dispatch.Stop{Begin: now, By: now.Add(left)})
		if d.Serve(context.Background(), now.Add(-timeout/2), r, checked, team, a); a.status != http.StatusOK {
			t.Errorf("%s: got status %d, refusal %+v", route, a.status, a.refusal)
		}
	}
}

// TestFailedRequestsThatAStopKeepsFromAnotherEngineAreCounted guards against requests of which no line says that the stop ended
// them: those that were to be sent again, which did not fit any more or came to the cut.
func TestFailedRequestsThatAStopKeepsFromAnotherEngineAreCounted(t *testing.T) {
	for name, stop := range map[string]func(d *dispatch.Dispatcher){
		"does not fit": func(*dispatch.Dispatcher) {},
		"cut":          (*dispatch.Dispatcher).CutOff,
	} {
		var d *dispatch.Dispatcher
		e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
			d.StopBy(dispatch.Stop{Begin: time.Now(), By: time.Now()})
			stop(d)
			return respond(http.StatusInternalServerError, ""), nil
		}}
		d = newDispatcher(e, 10)
		a := serve(t, d, "safe")
		if answers, requests := d.EndedByStop(); answers != 0 || requests != 1 || e.sentCount() != 1 {
			t.Errorf("%s: %d answers and %d requests counted, refusal %+v after %d attempts", name, answers, requests, a.refusal, e.sentCount())
		}
	}
}
