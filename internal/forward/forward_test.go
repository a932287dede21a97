package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	connection "github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/forward"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/reach"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

type (
	// sender is the engines as one node sees them.
	sender struct {
		serve func(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error)

		mu   sync.Mutex
		sent []dispatch.Attempt
		runs map[string]int // runs counts the attempts by the id of the request.
	}

	// caller records what a caller gets.
	caller struct {
		mu      sync.Mutex
		refusal dispatch.Reason
		status  int
		body    string
		aborted bool
	}

	// link forwards to the node at an address, and counts.
	link struct {
		*forward.Client
		address string
		tries   atomic.Int64
	}

	// lateListener is a listener on whose connections one read, counted from 1, is late.
	lateListener struct {
		net.Listener
		read int64
		late time.Duration
	}

	// lateConn is such a connection.
	lateConn struct {
		*net.TCPConn
		*lateListener
		reads atomic.Int64
	}

	// nobody is a prober that reaches no engine, and an observer that counts nothing.
	nobody struct{}
)

var errRefused = errors.New("connection refused")

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), lateListener: l}, nil
}

// Read implements net.Conn.
func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == c.read {
		time.Sleep(c.late)
	}
	return c.TCPConn.Read(p)
}

// Close implements net.Conn.
func (c *lateConn) Close() error { return c.TCPConn.Close() }

func (nobody) Accepts(context.Context, string) bool { return false }

func (nobody) Probe(context.Context, string) (connected, answered bool) { return false, false }
func (nobody) Ended(string, string, time.Duration, time.Duration)       {}
func (nobody) Retried(string)                                           {}
func (nobody) Began(time.Time, string)                                  {}
func (nobody) EngineCrashed(string)                                     {}
func (c *caller) Refuse(r dispatch.Refusal)                             { c.refusal = r.Reason }
func (c *caller) Begin(r *dispatch.Response)                            { c.status = r.Status }
func (c *caller) Abort()                                                { c.aborted = true }
func (c *caller) Write(p []byte) error                                  { c.mu.Lock(); c.body += string(p); c.mu.Unlock(); return nil }
func (c *caller) got() string                                           { c.mu.Lock(); defer c.mu.Unlock(); return c.body }
func (l *link) Choose(_ time.Time, _ string, _ bool, avoid []string) (string, string, bool) {
	l.tries.Add(1)
	return fmt.Sprint("n", len(avoid)), l.address, true
}

func (s *sender) Send(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error) {
	s.mu.Lock()
	s.sent = append(s.sent, a)
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[r.ID]++
	s.mu.Unlock()
	return s.serve(ctx, r, a)
}

func (s *sender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

// unreachable is what a node sees that is cut off.
func unreachable(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
	return nil, fmt.Errorf("%w: %w", dispatch.ErrNotSent, errRefused)
}

// table returns a configuration; version is its version, key a valid key.
func table(version int, key string) *routing.Table {
	var routes []*routing.Route
	for name, kind := range map[string]routing.Kind{"safe": routing.Safe, "unsafe": routing.Unsafe, "stream": routing.Stream, "resumable": routing.Stream} {
		routes = append(routes, &routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Target: 200 * time.Millisecond, MaxEngines: 2,
			Resumable: name == "resumable", Shares: []routing.Share{{Pool: "p", Weight: 1}},
		})
	}
	return routing.NewTable(version, routes, []*routing.Pool{{Name: "p"}}, []*routing.Team{{Name: "t", Keys: []string{key}}}, routing.Limits{})
}

// newNode returns a dispatcher with three engines.
func newNode(t testing.TB, name string, s *sender, conf *routing.Table, f dispatch.Forwarder) *dispatch.Dispatcher {
	t.Helper()
	p := placement.New("hall")
	for i := range 3 {
		p.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: "hall", Slots: 8})
	}
	return newNodeWith(t, name, s, conf, f, p)
}

// newNodeWith returns a dispatcher with a placement.
func newNodeWith(t testing.TB, name string, s *sender, conf *routing.Table, f dispatch.Forwarder, p *placement.Placement, options ...dispatch.Option) *dispatch.Dispatcher {
	t.Helper()
	return newNodeWithBudget(t, name, s, conf, f, p, retry.Limits{Extra: 10, Window: 10 * time.Second}, options...)
}

// newNodeWithBudget returns a dispatcher with a budget of retries.
func newNodeWithBudget(t testing.TB, name string, s *sender, conf *routing.Table, f dispatch.Forwarder, p *placement.Placement, limits retry.Limits, options ...dispatch.Option) *dispatch.Dispatcher {
	t.Helper()
	now, proof, log := time.Now(), freshness.New(time.Hour), slog.New(slog.NewTextHandler(io.Discard, nil))
	proof.Renew(now)
	m := reach.New(p, nobody{}, func(string) {}, log)
	t.Cleanup(m.Close)
	options = append(options, dispatch.WithReach(m))
	if f != nil {
		options = append(options, dispatch.WithForwarder(name, f))
	}
	d := dispatch.New(proof, p, retry.New(now, limits, func() int { return 1 }), s, nobody{}, log, options...)
	d.SetTable(conf)
	return d
}

// newPair returns a node that reaches no engine, the link to another that may, and their engines.
func newPair(t *testing.T, second *sender, conf *routing.Table) (first *dispatch.Dispatcher, engines *sender, l *link, server *httptest.Server) {
	t.Helper()
	return newPairOf(t, newNode(t, "n1", second, conf, nil))
}

// newPairOf is newPair with the other node.
func newPairOf(t *testing.T, d *dispatch.Dispatcher) (first *dispatch.Dispatcher, engines *sender, l *link, server *httptest.Server) {
	t.Helper()
	server = httptest.NewServer(forward.NewHandler(d, forward.Limits{Read: time.Second, Write: time.Second}, slog.New(slog.NewTextHandler(io.Discard, nil))))
	t.Cleanup(server.Close)
	l = &link{Client: forward.NewClient(), address: server.Listener.Addr().String()}
	t.Cleanup(l.Close)
	engines = &sender{serve: unreachable}
	return newNode(t, "n0", engines, table(2, "k"), l), engines, l, server
}

// answering answers requests with a body that is read from a reader; length is -1 for chunks.
func answering(status int, length int64, body func(ctx context.Context) io.Reader) *sender {
	return &sender{serve: func(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
		h := http.Header{"Response-Seal": {"seal"}, "Content-Type": {"text/event-stream"}}
		return &dispatch.Response{Status: status, Header: h, Length: length, Body: io.NopCloser(body(ctx))}, nil
	}}
}

// ask sends a request to a node.
func ask(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, route string) *caller {
	t.Helper()
	return askAs(ctx, t, d, route, "id")
}

// askAs sends a request with an id to a node.
func askAs(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, route, id string) *caller {
	t.Helper()
	r := &dispatch.Request{ID: id, Host: "h", Path: "/" + route + "/x", Key: "k", Method: "POST", Patience: 2 * time.Second, Header: http.Header{"A": {"b"}}, Body: []byte("body")}
	now := time.Now()
	matched, team, refusal := d.Check(now, r)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal.Reason)
	}
	c := &caller{}
	d.Serve(ctx, now, r, matched, team, c)
	return c
}

func TestForwardedAnswerIsUnchanged(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		second := answering(status, 5, func(context.Context) io.Reader { return strings.NewReader("whole") })
		first, _, _, _ := newPair(t, second, table(2, "k"))
		if c := ask(context.Background(), t, first, "unsafe"); c.status != status || c.body != "whole" || c.aborted {
			t.Errorf("got %+v, want status %d", c, status)
		}
		if second.count() != 1 || second.sent[0].Team != "t" || time.Until(second.sent[0].Deadline) > 2*time.Second {
			t.Errorf("sent %+v", second.sent)
		}
	}
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	second := &sender{serve: unreachable}
	first, engines, l, _ := newPair(t, second, table(2, "k"))
	if c := ask(context.Background(), t, first, "unsafe"); c.refusal != dispatch.NoEngine {
		t.Errorf("got %+v, want %s", c, dispatch.NoEngine)
	}
	if l.tries.Load() != 3 || engines.count() > 3 || second.count() != 9 {
		t.Errorf("%d nodes tried, %d and %d engines tried", l.tries.Load(), engines.count(), second.count())
	}
}

func TestUnsafeRequestIsNotRepeatedAfterItsLinkBroke(t *testing.T) {
	for _, route := range []string{"unsafe", "stream"} {
		var server *httptest.Server
		second := &sender{}
		second.serve = func(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
			server.CloseClientConnections()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		first, engines, _, s := newPair(t, second, table(2, "k"))
		server = s
		if c := ask(context.Background(), t, first, route); c.refusal != dispatch.EngineFailed {
			t.Errorf("%s: got %+v, want %s", route, c, dispatch.EngineFailed)
		}
		if second.count() != 1 || engines.count() > 3 {
			t.Errorf("%s: sent %d times", route, second.count())
		}
	}
}

func TestForwardedStreamBrokenOffNeverLooksComplete(t *testing.T) {
	second := answering(200, -1, func(context.Context) io.Reader {
		return io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), &failing{})
	})
	first, _, _, _ := newPair(t, second, table(2, "k"))
	if c := ask(context.Background(), t, first, "stream"); !c.aborted || c.body != "id: 1\ndata: x\n\n" {
		t.Errorf("got %+v, want an aborted answer", c)
	}
}

// failing is a body that breaks off.
type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, errRefused }

func TestForwardedEventsArriveAsTheyComeAndEndWithTheCaller(t *testing.T) {
	events, ended := make(chan string), make(chan struct{})
	second := answering(200, -1, func(ctx context.Context) io.Reader {
		r, w := io.Pipe()
		go func() {
			for event := range events {
				if _, err := io.WriteString(w, event); err != nil {
					return
				}
			}
		}()
		context.AfterFunc(ctx, func() { w.CloseWithError(ctx.Err()); close(ended) })
		return r
	})
	first, _, _, _ := newPair(t, second, table(2, "k"))
	ctx, leave := context.WithCancel(context.Background())
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "k", Method: "POST", Patience: 2 * time.Second}
	route, team, _ := first.Check(time.Now(), r)
	c, done := &caller{}, make(chan struct{})
	go func() { first.Serve(ctx, time.Now(), r, route, team, c); close(done) }()
	for _, want := range []string{"id: 1\n\n", "id: 1\n\nid: 2\n\n"} {
		events <- want[len(want)-7:]
		for end := time.Now().Add(time.Second); c.got() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("got %q, want %q", c.got(), want)
			}
		}
	}
	leave()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the engine still runs a request whose caller has left")
	}
	close(events)
	<-done
}

func TestOlderConfigurationRefusesNothingForwarded(t *testing.T) {
	for version, want := range map[int]dispatch.Reason{1: dispatch.NoEngine, 3: dispatch.UnknownKey} {
		second := &sender{serve: unreachable}
		first, _, l, _ := newPair(t, second, table(version, "other"))
		if c := ask(context.Background(), t, first, "unsafe"); c.refusal != want || second.count() > 0 {
			t.Errorf("version %d there, 2 here: got %+v after %d nodes, want %s", version, c, l.tries.Load(), want)
		}
	}
}

// TestForwardedRequestIsNotServedByAnOlderConfiguration guards against a request that runs by a configuration which its first
// node, and maybe its caller, have seen replaced: the other node had been frozen.
func TestForwardedRequestIsNotServedByAnOlderConfiguration(t *testing.T) {
	for _, test := range []struct {
		version, later int // later is the version of the other node while the request waits; 0 for none.
		served         bool
	}{{1, 0, false}, {1, 2, true}, {1, 3, true}, {2, 0, true}, {3, 0, true}} {
		second := answering(200, 5, func(context.Context) io.Reader { return strings.NewReader("whole") })
		d := newNode(t, "n1", second, table(test.version, "k"), nil)
		first, _, _, _ := newPairOf(t, d)
		if test.later > 0 {
			time.AfterFunc(30*time.Millisecond, func() { d.SetTable(table(test.later, "k")) })
		}
		if c := ask(context.Background(), t, first, "unsafe"); (c.body == "whole") != test.served || !test.served && (c.refusal != dispatch.NoEngine || second.count() > 0) {
			t.Errorf("version %d there, then %d, 2 here: got %+v, %d requests sent", test.version, test.later, c, second.count())
		}
	}
}

func TestUnreachableNodeIsPassedOver(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	c := forward.NewClient()
	defer c.Close()
	if _, _, err := c.Forward(context.Background(), address, &dispatch.Request{ID: "a"}, dispatch.Forwarded{}, dial.Hooks{}); !errors.Is(err, dispatch.ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

// TestForwardedRequestThatLayUnreadIsDecidedAgain guards against requests that a node which is behind sends after their
// callers have left another one, whether it reads the head late or the request that it asked for.
func TestForwardedRequestThatLayUnreadIsDecidedAgain(t *testing.T) {
	const late = 400 * time.Millisecond
	for name, lateRead := range map[string]int64{"head": 0, "request": 2} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		engines := &sender{serve: unreachable}
		handler := forward.NewHandler(newNode(t, "second", engines, table(1, "k"), nil), forward.Limits{Read: time.Second, Write: time.Second}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		server := &http.Server{Handler: handler, ConnContext: connection.WithConn}
		defer server.Close()
		if lateRead == 0 {
			time.AfterFunc(late, func() { _ = server.Serve(l) }) // The node is behind.
		} else {
			go func() { _ = server.Serve(&lateListener{Listener: l, read: lateRead, late: late}) }() // It falls behind.
		}
		c := forward.NewClient()
		defer c.Close()
		forward.SetTakeTimeout(c, 10*time.Second)
		_, refusal, err := c.Forward(context.Background(), l.Addr().String(), &dispatch.Request{ID: "a", Host: "h", Path: "/unsafe/x", Key: "k", Method: "POST", Target: "/unsafe/x"}, dispatch.Forwarded{From: "first"}, dial.Hooks{})
		if err != nil || refusal == nil || refusal.Reason != dispatch.NoEngine || engines.count() > 0 {
			t.Errorf("%s: got %+v, %v, sent to %d engines", name, refusal, err, engines.count())
		}
	}
}

// BenchmarkForward measures a request that goes by way of another node, of 4 KB in both directions.
func BenchmarkForward(b *testing.B) {
	text := strings.Repeat("x", 4<<10)
	second := answering(200, int64(len(text)), func(context.Context) io.Reader { return strings.NewReader(text) })
	d := newNode(b, "n1", second, table(2, "k"), nil)
	server := httptest.NewServer(forward.NewHandler(d, forward.Limits{Read: time.Second, Write: time.Second}, slog.New(slog.NewTextHandler(io.Discard, nil))))
	defer server.Close()
	l := &link{Client: forward.NewClient(), address: server.Listener.Addr().String()}
	defer l.Close()
	first := newNode(b, "n0", &sender{serve: unreachable}, table(2, "k"), l)
	b.ReportAllocs()
	for b.Loop() {
		r := &dispatch.Request{ID: "id", Host: "h", Path: "/unsafe/x", Key: "k", Method: "POST", Patience: 2 * time.Second, Body: []byte(text)}
		route, team, _ := first.Check(time.Now(), r)
		c := &caller{}
		if first.Serve(context.Background(), time.Now(), r, route, team, c); c.status != 200 {
			b.Fatalf("got %+v", c)
		}
	}
}

// breaking is a body that closes the connections between nodes and waits until the request has ended.
type breaking struct {
	ctx    context.Context
	server *httptest.Server
}

func (b breaking) Read([]byte) (int, error) {
	b.server.CloseClientConnections()
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func TestForwardedStreamKeepsItsVersionWhenItsLinkBreaks(t *testing.T) {
	var server *httptest.Server
	second, p := &sender{}, placement.New("hall")
	second.serve = func(ctx context.Context, _ *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error) {
		body := io.Reader(strings.NewReader("id: 2\n\n"))
		if a.LastEventID == "" {
			p.Drain(a.Engine.ID)
			body = io.MultiReader(strings.NewReader("id: 1\n\n"), breaking{ctx, server})
		}
		return &dispatch.Response{Status: 200, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)}, nil
	}
	for i, version := range []string{"a", "b", "c", "a", "b", "c"} {
		p.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: "hall", Slots: 8, Version: version})
	}
	first, _, _, s := newPairOf(t, newNodeWith(t, "n1", second, table(2, "k"), nil, p))
	server = s
	c := ask(context.Background(), t, first, "resumable")
	if c.aborted || c.body != "id: 1\n\nid: 2\n\n" || second.count() != 2 || second.sent[0].Engine.Version != second.sent[1].Engine.Version {
		t.Errorf("got %+v from %+v", c, second.sent)
	}
}

// relink is a link that leads to a third node once the second one has sent a request.
type relink struct {
	*link
	second *sender
	third  string
}

func (l relink) Choose(now time.Time, pool string, resumable bool, avoid []string) (string, string, bool) {
	node, address, ok := l.link.Choose(now, pool, resumable, avoid)
	if l.second.count() > 0 {
		return "n2", l.third, true
	}
	return node, address, ok
}

// TestForwardedRequestOutlivesTheOtherNode guards against repeatable requests that end with the node that they were
// forwarded to, and against others that are told "not run" or sent again.
func TestForwardedRequestOutlivesTheOtherNode(t *testing.T) {
	for route, want := range map[string]dispatch.Reason{"safe": "", "unsafe": dispatch.EngineFailed, "stream": dispatch.EngineFailed} {
		var other *dispatch.Dispatcher
		second, third := &sender{}, answering(200, 4, func(context.Context) io.Reader { return strings.NewReader("well") })
		second.serve = func(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
			other.CutOff()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		other = newNode(t, "n1", second, table(2, "k"), nil)
		_, _, l, _ := newPairOf(t, other)
		_, _, last, _ := newPairOf(t, newNode(t, "n2", third, table(2, "k"), nil))
		first := newNode(t, "n0", &sender{serve: unreachable}, table(2, "k"), relink{l, second, last.address})
		c := ask(context.Background(), t, first, route)
		if c.refusal != want || want == "" && c.got() != "well" || second.count() != 1 || third.count() > 0 != (want == "") {
			t.Errorf("%s: got %q and %q, want %q; sent %d times by the second node, %d by the third", route, c.refusal, c.got(), want, second.count(), third.count())
		}
	}
}
