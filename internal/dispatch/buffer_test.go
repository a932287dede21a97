package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/relaybuf"
	"github.com/croftturn/croftturn/internal/reply"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

type (
	// slowAnswer is a caller whose connection takes 8 KB, and the rest when it reads or is cut off.
	slowAnswer struct {
		recordedAnswer
		written int
		pace    time.Duration // pace is how long it takes to read a piece before then; 0 if it does not.
		longest time.Duration // longest is the longest write; it may be read once the request has ended.
		reads   chan struct{} // reads is closed when the caller begins to read.
		cut     chan struct{} // cut is closed when its writes are interrupted.
		once    sync.Once
	}

	// tracedAnswer records from where it is written.
	tracedAnswer struct {
		recordedAnswer
		stacks bytes.Buffer
	}

	// relayRig is a dispatcher of an interactive pool with two engines, and what it records.
	relayRig struct {
		*dispatch.Dispatcher
		place    *placement.Placement
		budget   *relaybuf.Budget
		log      bytes.Buffer // log may be read when no request is served.
		cuts     chan relaybuf.Reason
		count    crashObserver
		patience time.Duration // patience is how long callers wait.
	}

	// endless is an answer of an engine that ends after some events, or never if that is 0. It breaks
	// off when its request's context ends.
	endless struct {
		ctx        context.Context
		sent, last int
	}
)

func newSlowAnswer() *slowAnswer {
	return &slowAnswer{reads: make(chan struct{}), cut: make(chan struct{})}
}

func (a *slowAnswer) Interrupt() { a.once.Do(func() { close(a.cut) }) }
func (a *slowAnswer) Extend()    {}

func (a *slowAnswer) Write(p []byte) error {
	if a.written += len(p); a.written > 8<<10 {
		begin := time.Now()
		defer func() { a.longest = max(a.longest, time.Since(begin)) }()
		var taken <-chan time.Time
		if a.pace > 0 {
			taken = time.After(a.pace)
		}
		select {
		case <-a.reads:
		case <-taken:
		case <-a.cut:
			return errors.New("interrupted")
		}
	}
	return a.recordedAnswer.Write(p)
}

func (a *tracedAnswer) Write([]byte) error { _, err := a.stacks.Write(debug.Stack()); return err }

func (e *endless) Read(p []byte) (int, error) {
	if err := context.Cause(e.ctx); err != nil {
		return 0, err
	}
	if e.last > 0 && e.sent == e.last {
		return 0, io.EOF
	}
	e.sent++
	return copy(p, event(e.sent)), nil
}

// newRelayRig returns a rig; the pool is interactive if the longest target is not below its streams'.
func newRelayRig(e *fakeSender, longest time.Duration) *relayRig {
	return newRelayRigWithin(e, longest, timeout)
}

// newRelayRigWithin is newRelayRig with the time that requests have.
func newRelayRigWithin(e *fakeSender, longest, timeout time.Duration) *relayRig {
	r := &relayRig{patience: timeout, place: placement.New("hall"), budget: relaybuf.NewBudget(8 << 20), cuts: make(chan relaybuf.Reason, 1)}
	now, proof := time.Now(), freshness.New(time.Hour)
	proof.Renew(now)
	for _, id := range []string{"e1", "e2"} {
		r.place.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8})
	}
	budget := retry.New(now, retry.Limits{Extra: 5, Window: 10 * time.Second}, func() int { return 1 })
	r.Dispatcher = dispatch.New(proof, r.place, budget, e, &r.count, slog.New(slog.NewTextHandler(&r.log, nil)), dispatch.WithInteractiveTarget(longest), dispatch.WithProber(newFakeProber(true)),
		dispatch.WithRelayBuffers(r.budget, func(pool string, reason relaybuf.Reason) { r.cuts <- reason }))
	var routes []*routing.Route
	for _, name := range []string{"stream", "resumable"} {
		routes = append(routes, &routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: routing.Stream, Timeout: timeout, Target: target, MaxEngines: 2,
			Resumable: name == "resumable", Shares: []routing.Share{{Pool: "p", Weight: 1}},
		})
	}
	routes = append(routes, &routing.Route{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: routing.Unsafe, Timeout: timeout, MaxEngines: 1, Shares: []routing.Share{{Pool: "p", Weight: 1}}})
	r.SetTable(routing.NewTable(1, routes, []*routing.Pool{{Name: "p", Model: &routing.Model{}}}, nil, routing.Limits{}))
	return r
}

// serve serves a request to a caller.
func (r *relayRig) serve(ctx context.Context, name string, a dispatch.AnswerWriter) {
	// With this prompt 0.2 s are expected to the first event, so that a busy machine does not make engines
	// look slow, which costs them as much as failures.
	prompt := placement.Prompt{Tokens: 10_000}
	request := &dispatch.Request{ID: "id", Host: "h", Path: "/" + name + "/x", Patience: r.patience, Body: make([]byte, 1000), Prompt: prompt}
	route, team, _ := r.Check(time.Now(), request)
	r.Serve(ctx, time.Now(), request, route, team, a)
}

// start serves a request in the background. The returned function waits for its end, and fails the
// test if the node then still holds any byte of it.
func (r *relayRig) start(serve func()) (await func(t *testing.T)) {
	done := make(chan struct{})
	go func() { defer close(done); serve() }()
	return func(t *testing.T) {
		t.Helper()
		select {
		case <-done:
		case <-time.After(5 * timeout):
			t.Fatal("the request does not end")
		}
		if r.budget.Held() != 0 || r.budget.Paused() != 0 {
			t.Errorf("%d bytes held, %d paused after the request", r.budget.Held(), r.budget.Paused())
		}
	}
}

// wantOutcome fails the test unless the request ended with an outcome.
func (r *relayRig) wantOutcome(t *testing.T, want string) {
	t.Helper()
	if !strings.Contains(r.log.String(), "outcome="+want+" ") {
		t.Errorf("the log has no outcome %s: %s", want, r.log.String())
	}
}

// awaitFull waits until the buffer is full and returns.
func (r *relayRig) awaitFull(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(timeout); r.budget.Paused() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the buffer does not fill")
		}
	}
}

// cutOff lets seven seconds pass on the clock of the cut-off.
func (r *relayRig) cutOff() {
	for now, end := time.Now(), time.Now().Add(7*time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		r.budget.CutOff(now)
	}
}

// charged reports whether a failure counts against one of the engines.
func (r *relayRig) charged(t *testing.T) bool {
	t.Helper()
	cost := func(avoid string) float64 {
		choice, _ := r.place.Choose(time.Now(), placement.Request{Pool: "p", Avoid: map[string]bool{avoid: true}})
		return choice.Cost
	}
	e1, e2 := cost("e1"), cost("e2")
	t.Logf("the engines' costs are %.0f and %.0f ms", e1, e2)
	return math.Abs(e1-e2) > 500
}

// event returns an event of 1 KB.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: %01000d\n\n", n, n) }

// events returns some events and then an error or, if nil, the end.
func events(from, to int, err error) *dispatch.Response {
	var all strings.Builder
	for n := from; n <= to; n++ {
		all.WriteString(event(n))
	}
	body := io.Reader(strings.NewReader(all.String()))
	if err != nil {
		body = io.MultiReader(body, strings.NewReader("id: 999\ndata: a part"), &failing{err, func() {}})
	}
	return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)}
}

// failing is a body that fails after it has called a function.
type failing struct {
	err    error
	before func()
}

func (f *failing) Read([]byte) (int, error) { f.before(); return 0, f.err }

// TestEngineFailsWhileBuffered guards against events that are lost, repeated or reordered when an
// engine fails while a slow caller has not read what it sent. A resumable stream goes on at once at
// another engine, also beyond the deadline of the request; any other is cut after what was sent.
func TestEngineFailsWhileBuffered(t *testing.T) {
	for name, resumed := range map[string]bool{"resumable": true, "stream": false} {
		t.Run(name, func(t *testing.T) {
			e := &fakeSender{}
			e.serve = func(_ context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error) {
				if n == 1 {
					return events(1, 50, errConnReset), nil
				}
				if a.LastEventID != "50" {
					t.Errorf("the stream resumes after event %q, want 50", a.LastEventID)
				}
				return events(51, 90, nil), nil
			}
			r, a := newRelayRig(e, target), newSlowAnswer()
			await := r.start(func() { r.serve(context.Background(), name, a) })
			want, outcome := 90, "answered"
			if resumed {
				e.awaitSent(t, 2) // The caller has read nothing yet.
			} else {
				want, outcome = 50, "engine_failed"
			}
			time.Sleep(timeout) // The deadline passes.
			close(a.reads)
			await(t)
			whole, err := io.ReadAll(events(1, want, nil).Body)
			if got := a.body.String(); err != nil || !strings.HasPrefix(got, string(whole)) || resumed && got != string(whole) || a.aborted == resumed {
				t.Errorf("the caller got %d bytes of %d, aborted %t", len(got), len(whole), a.aborted)
			}
			r.wantOutcome(t, outcome)
		})
	}
}

// TestFullBufferEnds guards against an engine whose work goes on when its caller leaves, is cut off or
// the deadline passes while the buffer is full, against answers that then look complete, and against
// engines charged for it.
func TestFullBufferEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(r *relayRig, leave func())
		outcome string
		reason  relaybuf.Reason
	}{
		"caller leaves": {func(_ *relayRig, leave func()) { leave() }, "caller_left", ""},
		"cut off":       {func(r *relayRig, _ func()) { r.cutOff() }, "caller_too_slow", relaybuf.BufferFull},
		"deadline":      {func(*relayRig, func()) { time.Sleep(timeout) }, "caller_too_slow", relaybuf.Deadline},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
				context.AfterFunc(ctx, func() { ended <- context.Cause(ctx) })
				return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(&endless{ctx: ctx})}, nil
			}}
			r, a := newRelayRig(e, target), newSlowAnswer()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			await := r.start(func() { r.serve(ctx, "resumable", a) })
			r.awaitFull(t)
			c.end(r, leave)
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Error("the engine's work goes on")
			}
			await(t)
			r.wantOutcome(t, c.outcome)
			if c.reason != "" && <-r.cuts != c.reason {
				t.Errorf("cut off for another reason than %s", c.reason)
			}
			if !a.aborted || strings.Contains(r.log.String(), "engine failed") || e.sentCount() != 1 {
				t.Errorf("aborted %t, sent %d times: %s", a.aborted, e.sentCount(), r.log.String())
			}
		})
	}
}

// TestShortAnswerFreesItsEngine guards against an engine that counts as working until the caller has
// read an answer which the engine has completed, and against complete answers cut at the deadline.
func TestShortAnswerFreesItsEngine(t *testing.T) {
	body := strings.Repeat("0123456789", 25<<10)
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(http.StatusOK, body), nil
	}}
	r, a := newRelayRig(e, target), newSlowAnswer()
	r.budget.AddBody(time.Now(), 7<<20) // The rest does not hold the answer twice.
	await := r.start(func() { r.serve(context.Background(), "plain", a); r.budget.AddBody(time.Now(), -7<<20) })
	e.awaitSent(t, 1)
	for end := time.Now().Add(timeout); len(r.place.Loads()) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the engine still counts as working")
		}
	}
	time.Sleep(timeout) // The deadline passes.
	close(a.reads)
	await(t)
	if a.body.String() != body || a.aborted {
		t.Errorf("the caller got %d of %d bytes, aborted %t", a.body.Len(), len(body), a.aborted)
	}
	r.wantOutcome(t, "answered")
}

// TestEngineThatGivesUpIsNotCharged guards against an engine that counts as failed because it cut off an
// answer that stayed unread for some seconds: the next request goes to it as before. That it has ended
// since is no crash under the request.
func TestEngineThatGivesUpIsNotCharged(t *testing.T) {
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return events(1, 400, errConnReset), nil
	}}
	for name, c := range map[string]struct {
		pause   time.Duration
		outcome string
	}{"unread": {1500 * time.Millisecond, "caller_too_slow"}, "read": {0, "engine_failed"}} {
		t.Run(name, func(t *testing.T) {
			r, a := newRelayRig(e, target), newSlowAnswer()
			await := r.start(func() { r.serve(context.Background(), "stream", a) })
			r.awaitFull(t)
			time.Sleep(c.pause) // The engine gives up meanwhile.
			close(a.reads)
			await(t)
			r.wantOutcome(t, c.outcome)
			if !a.aborted {
				t.Error("the answer looks complete")
			}
			if charged, crashed := r.charged(t), r.count.n.Load() > 0; charged != (c.pause == 0) || crashed != charged {
				t.Errorf("the engine is charged: %t, counts as crashed: %t", charged, crashed)
			}
		})
	}
}

// TestShortPausesDoNotExcuseAnEngine guards against failures of an engine that count as the caller's
// because its pauses in reading add up: after each of them the engine goes on.
func TestShortPausesDoNotExcuseAnEngine(t *testing.T) {
	const attempts = 5
	for range attempts {
		a := newSlowAnswer()
		a.pace = 150 * time.Millisecond
		e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
			resp := events(1, 300, nil)
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, &failing{errConnReset, func() { close(a.reads) }}))
			return resp, nil
		}}
		r := newRelayRigWithin(e, target, 4*timeout) // A process that runs late must not reach the deadline instead.
		r.start(func() { r.serve(context.Background(), "stream", a) })(t)
		if a.longest > 500*time.Millisecond {
			t.Logf("a pause took %v, which is not short", a.longest)
			continue
		}
		r.wantOutcome(t, "engine_failed")
		if !r.charged(t) || !regexp.MustCompile(` paused_ms=\d{4} `).MatchString(r.log.String()) {
			t.Errorf("the engine is charged: %t; the log: %s", r.charged(t), r.log.String())
		}
		return
	}
	t.Fatalf("none of %d answers had short pauses only", attempts)
}

// TestOtherPoolsHaveNoBuffer guards against a change for pools that are not interactive: nothing is
// written through a buffer.
func TestOtherPoolsHaveNoBuffer(t *testing.T) {
	for longest, buffered := range map[time.Duration]bool{target: true, target - 1: false} {
		e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
			return events(1, 20, nil), nil
		}}
		r, a := newRelayRig(e, longest), &tracedAnswer{}
		r.serve(context.Background(), "resumable", a)
		if got := strings.Contains(a.stacks.String(), "relaybuf."); got != buffered {
			t.Errorf("longest target %v: buffered %t, want %t", longest, got, buffered)
		}
	}
}

// TestCutOffOverTCP guards against a cut-off that does not reach a write blocked in the kernel, or an
// answer that then looks complete. The caller's connection has the kernel's usual buffers.
func TestCutOffOverTCP(t *testing.T) {
	e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(&endless{ctx: ctx})}, nil
	}}
	r := newRelayRig(e, target)
	served := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := reply.New(w, time.Minute)
		r.serve(req.Context(), "stream", refuser{a})
		close(served)
		a.Finish()
	}))
	server.Config.ConnContext = caller.WithConn
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r.awaitFull(t)
	r.cutOff()
	r.start(func() { <-served })(t)
	r.wantOutcome(t, "caller_too_slow")
	if whole, err := io.ReadAll(conn); err == nil && bytes.HasSuffix(whole, []byte("0\r\n\r\n")) {
		t.Error("the answer looks complete")
	}
	server.Close()
}

// TestLaggingCallerKeepsItsEngine guards against an engine taken for stalled while the reading pauses
// for a slow caller, and against a lost byte when that one goes on.
func TestLaggingCallerKeepsItsEngine(t *testing.T) {
	e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(&endless{ctx: ctx, last: 500})}, nil
	}}
	r, a := newRelayRig(e, target), newSlowAnswer()
	await := r.start(func() { r.serve(context.Background(), "resumable", a) })
	r.awaitFull(t)
	time.Sleep(1200 * time.Millisecond) // A stream that gets no event for a second goes to another engine.
	close(a.reads)
	await(t)
	whole, err := io.ReadAll(events(1, 500, nil).Body)
	if err != nil || a.body.String() != string(whole) || e.sentCount() != 1 {
		t.Errorf("the caller got %d bytes of %d from %d engines", a.body.Len(), len(whole), e.sentCount())
	}
	r.wantOutcome(t, "answered")
	if !strings.Contains(r.log.String(), "caller reads slowly") || !regexp.MustCompile(` gap_ms=\d{1,3} `).MatchString(r.log.String()) {
		t.Errorf("the log does not name the slow caller, or has the pause as one of the engine: %s", r.log.String())
	}
}

// TestLaggingCallerAtRestartedEngine guards against an engine that looks crashed, and an answer that is
// cut, because a caller lags while the engine restarts after it has sent the whole answer.
func TestLaggingCallerAtRestartedEngine(t *testing.T) {
	for name, bodies := range map[string]int{"buffered": 0, "no room": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			used := make(chan placement.Engine, 1)
			e := &fakeSender{serve: func(ctx context.Context, _ int, a dispatch.Attempt) (*dispatch.Response, error) {
				used <- a.Engine
				return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(&endless{ctx: ctx, last: 500})}, nil
			}}
			r, a := newRelayRig(e, target), newSlowAnswer()
			r.budget.AddBody(time.Now(), bodies)
			await := r.start(func() { r.serve(context.Background(), "stream", a); r.budget.AddBody(time.Now(), -bodies) })
			r.awaitFull(t)
			again := <-used
			again.Incarnation++
			r.place.Set(again)
			time.Sleep(700 * time.Millisecond) // A request that is silent for 500 ms counts as lost.
			close(a.reads)
			await(t)
			whole, err := io.ReadAll(events(1, 500, nil).Body)
			if err != nil || a.body.String() != string(whole) || r.count.n.Load() > 0 {
				t.Errorf("the caller got %d bytes of %d, %d crashes", a.body.Len(), len(whole), r.count.n.Load())
			}
			r.wantOutcome(t, "answered")
		})
	}
}

// refuser is a writer of answers that are never refused.
type refuser struct{ *reply.Writer }

func (refuser) Refuse(dispatch.Refusal) {}
