package front_test

import (
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	token   = "team-token"
	maxBody = 4096

	// writeTimeout is short so that a test can exceed it.
	writeTimeout = 300 * time.Millisecond
)

type (
	// views returns a fixed configuration.
	views struct{ view *config.View }

	// singleNode is a cluster of one node.
	singleNode struct{}

	// roundRobin schedules the engines of a pool in turn, skipping the excluded one.
	roundRobin struct {
		mu       sync.Mutex
		views    views
		next     int
		results  []sched.Result
		refusals []*sched.Refusal
		after    *sched.Refusal // after is the refusal for requests after the first grant.
		full     atomic.Bool    // full makes all requests wait.
		waiting  func()         // waiting is called while a request waits; nil for nothing.
	}

	// table is an in-memory table that can be made unavailable.
	table struct {
		mu      sync.Mutex
		rows    map[string]kv.Row
		down    bool
		started time.Time // started is when the table's clock read zero; zero if it tells no clock.
	}

	// unreadListener leaves what comes on its connections unread until a channel is closed.
	unreadListener struct {
		net.Listener
		read <-chan struct{}
	}

	// unreadConn is a connection of an unreadListener.
	unreadConn struct {
		net.Conn
		read <-chan struct{}
	}
)

// Accept implements net.Listener.
func (l unreadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return unreadConn{c, l.read}, err
}

// Read implements net.Conn.
func (c unreadConn) Read(p []byte) (int, error) {
	<-c.read
	return c.Conn.Read(p)
}

// NetConn returns the connection to the caller.
func (c unreadConn) NetConn() net.Conn { return c.Conn }

// View returns the configuration.
func (v views) View() *config.View { return v.view }

// Self returns the single member.
func (singleNode) Self() wire.Member { return wire.Member{Name: "n1", Incarnation: 1} }

// Live returns the single member.
func (a singleNode) Live() []wire.Member { return []wire.Member{a.Self()} }

// Member returns the single member.
func (a singleNode) Member(name string) (wire.Member, bool) { return a.Self(), name == "n1" }

// Call always fails.
func (singleNode) Call(context.Context, string, string, any, any) error { return io.ErrClosedPipe }

// Acquire grants the next engine, or returns the next planned refusal.
func (s *roundRobin) Acquire(ctx context.Context, req sched.Request) (sched.Grant, error) {
	if s.waiting != nil {
		s.waiting()
	}
	if s.full.Load() {
		<-ctx.Done()
		return sched.Grant{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusals) > 0 {
		r := s.refusals[0]
		s.refusals = s.refusals[1:]
		return sched.Grant{}, r
	}
	if s.after != nil && s.next > 0 {
		return sched.Grant{}, s.after
	}
	engines := s.views.view.Engines(req.Pool)
	for {
		e := engines[s.next%len(engines)]
		s.next++
		if e.Name != req.Exclude || len(engines) == 1 {
			return sched.Grant{Engine: e, Why: "its turn"}, nil
		}
	}
}

// Release records the result.
func (s *roundRobin) Release(_ sched.Request, _ sched.Grant, res sched.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, res)
}

// ended returns the results so far.
func (s *roundRobin) ended() []sched.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results
}

// Get reads a row.
func (t *table) Get(_ context.Context, key string) (kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return kv.Row{}, kv.ErrUnavailable
	}
	row := t.rows[key]
	if now := time.Now(); !t.started.IsZero() {
		row.Read = kv.Moment{Ms: now.Sub(t.started).Milliseconds(), Sent: now, Answered: now}
	}
	return row, nil
}

// Era returns the table's era.
func (t *table) Era() (int64, bool) { return 0, true }

// Transact checks and writes rows.
func (t *table) Transact(_ context.Context, txn kv.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return kv.ErrUnavailable
	}
	for _, c := range txn.Checks {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			return &kv.ConflictError{Rows: []kv.Row{row}}
		}
	}
	for _, p := range txn.Puts {
		t.rows[p.Key] = kv.Row{Key: p.Key, Value: p.Value, Version: t.rows[p.Key].Version + 1}
	}
	return nil
}

// testServer is a Front whose engines are test handlers.
type testServer struct {
	sched *roundRobin
	table *table
	front *front.Front
	url   string
}

// quietTelemetry returns telemetry that logs nothing.
func quietTelemetry(t *testing.T) *telemetry.Telemetry {
	t.Helper()
	tele, err := telemetry.New(context.Background(), &settings.Settings{Instance: "n1", LogLevel: "error"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	tele.Log = slog.New(slog.DiscardHandler)
	t.Cleanup(func() { tele.Close() })
	return tele
}

// newTestServer starts a Front with one engine and one backend server per
// handler.
func newTestServer(t *testing.T, engines ...http.HandlerFunc) *testServer {
	t.Helper()
	return newTestNode(t, "n1", &table{rows: map[string]kv.Row{}}, nil, engines...)
}

// newTestNode starts a Front with a table, which leaves what comes unread until a channel is closed, if there is one.
func newTestNode(t *testing.T, name string, tab *table, read <-chan struct{}, engines ...http.HandlerFunc) *testServer {
	t.Helper()
	c := &config.Config{
		Classes: []config.Class{{Name: "explain", Tier: 3}, {Name: "offer", Tier: 2, NotRepeatable: true}},
		Teams:   []config.Team{{Name: "alfa", TokenSha256: config.HashToken(token), DefaultClass: "explain"}},
		Pools:   []config.Pool{{Name: "llm", Kind: config.PoolKindModel, Models: []string{"m"}, Scheduler: config.PoolSchedulerDirect}, {Name: "bids", Kind: config.PoolKindService, Scheduler: config.PoolSchedulerDirect}},
	}
	for i, h := range engines {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		address := strings.TrimPrefix(srv.URL, "http://")
		c.Engines = append(c.Engines, config.Engine{Name: fmt.Sprint("e", i), Pool: "llm", Address: address, Slots: 4},
			config.Engine{Name: fmt.Sprint("s", i), Pool: "bids", Address: address, Slots: 4})
	}
	view, err := config.NewView(c)
	if err != nil {
		t.Fatal(err)
	}
	tele := quietTelemetry(t)
	r := &testServer{sched: &roundRobin{views: views{view}}, table: tab}
	client := engine.NewClient(2 * time.Second)
	t.Cleanup(client.Close)
	keeper := claim.NewClaimer(r.table, name, 1, time.Millisecond)
	t.Cleanup(keeper.Close)
	f := front.New(views{view}, singleNode{}, singleNode{}, client, journal.New(), tele,
		front.WithScheduler(config.PoolSchedulerDirect, r.sched),
		front.WithQuarantine(quarantine.New(func(time.Time, quarantine.Fingerprint) bool { return false }, tele.Log), quarantine.NewParts(func(time.Time, string) bool { return false }, tele.Log), func() {}),
		front.WithClaims(keeper, claim.NewIssuer(time.Now(), "n1", 1, time.Minute), claim.NewRegistry(time.Minute)),
		front.WithLimits(front.Limits{MaxBody: maxBody, WriteTimeout: writeTimeout, EntryPointTTL: time.Second}))
	r.front = f
	srv := httptest.NewUnstartedServer(f)
	srv.Config.ConnContext = caller.WithConn
	if read != nil {
		srv.Listener = unreadListener{srv.Listener, read}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	r.url = srv.URL
	return r
}

// send posts a body with headers given in pairs and returns the response and its
// body, which is truncated if the connection was cut.
func (r *testServer) send(t *testing.T, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	io.Copy(&text, resp.Body) // Some tests expect a truncated response.
	return resp, text.String()
}

// ticket requests a ticket.
func (r *testServer) ticket(t *testing.T) string {
	t.Helper()
	_, body := r.send(t, "/v1/tickets", "")
	var doc struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &doc); err != nil {
		t.Fatal(err)
	}
	return doc.Ticket
}

// code returns the code of an error response.
func code(t *testing.T, text string) string {
	t.Helper()
	var doc struct {
		Error struct{ Code string }
	}
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		t.Fatalf("answer %q: %v", text, err)
	}
	return doc.Error.Code
}

// event returns one stream event with the given text.
func event(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

// streams returns a handler that streams words and completes the stream.
func streams(words ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, word := range words {
			fmt.Fprint(w, event(word))
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}
}

// streamsThenAborts returns a handler that streams words and aborts the connection.
func streamsThenAborts(words ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, word := range words {
			fmt.Fprint(w, event(word))
		}
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// text returns the concatenated contents of a stream's events.
func text(stream string) string {
	var b strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

// hello is the body of a streaming chat completion request.
const hello = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
