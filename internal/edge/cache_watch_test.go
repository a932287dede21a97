package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
	"github.com/croftturn/croftturn/internal/scaling"
)

// interactiveConfig is a configuration with one interactive pool whose engines hold one call for
// cache events.
const interactiveConfig = `{"version":3,"routes":[` +
	`{"name":"r","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":2000,"target_latency_ms":300,"priority":0,"service":"p","max_attempts":1}],` +
	`"services":[{"name":"p","max_connections":90,"engine":{"slots":8,"kv_capacity":90000,"stride":5,"moves":true,"kv_bytes":1000,"link_mbps":100000,"most":1}}],` +
	`"limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":["k"]}]}`

// eventEngine is an engine that holds one call for cache events and answers with the events that a
// test sends.
type eventEngine struct {
	events chan string

	mu    sync.Mutex
	calls int // calls counts the calls that were held.
	held  int
}

// ServeHTTP implements http.Handler.
func (e *eventEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.held > 0 {
		e.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	e.calls++
	e.held++
	e.mu.Unlock()
	events := ""
	select {
	case events = <-e.events:
	case <-r.Context().Done():
	case <-time.After(time.Second):
	}
	e.mu.Lock()
	e.held--
	e.mu.Unlock()
	fmt.Fprintf(w, `{"epoch":1,"next_token":7,"lost":false,"events":[%s]}`, events)
}

// count returns how many calls were held so far.
func (e *eventEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// newInteractiveCluster starts two nodes in hall h1 with an engine there and one in a hall without
// nodes.
func newInteractiveCluster(t *testing.T) (nodes []*Edge, near, far *eventEngine) {
	t.Helper()
	w := &scriptedCluster{config: interactiveConfig}
	w.version.Store(6)
	near, far = &eventEngine{events: make(chan string)}, &eventEngine{events: make(chan string)}
	for i, e := range []*eventEngine{near, far} {
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		w.engines = append(w.engines, &scriptedEngine{id: fmt.Sprint("e", i), hall: fmt.Sprint("h", 1+i), address: server.Listener.Addr().String()})
	}
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	for i := range 2 {
		s := newSettings(t, fmt.Sprint("n", i), store.Listener.Addr().String())
		s.InteractiveTargetMs = 500
		e, err := Start(context.Background(), s, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = e.stop() }) // The test may have stopped it already.
		nodes = append(nodes, e)
	}
	connect(t, nodes)
	return nodes, near, far
}

// TestCachesAreWatched checks, with two nodes, that one of them watches the engine of their hall, that
// both forget a part that the engine evicts, that the other node takes over when the first one dies,
// and that a leaving engine gets no calls.
func TestCachesAreWatched(t *testing.T) {
	nodes, near, far := newInteractiveCluster(t)
	waitFor(t, func() bool { return near.count() >= 3 }, "the engine is not watched")
	part := placement.NewPart("part", 4000)
	prompt := placement.Prompt{Tokens: 5000, Shared: []placement.Part{part}}
	cached := func(e *Edge) bool {
		c, ok := e.placement.Choose(time.Now(), placement.Request{Pool: "p", Prompt: prompt, Avoid: map[string]bool{"e1": true}})
		return ok && c.PrefillTokens < prompt.Tokens
	}
	for _, e := range nodes {
		e.placement.UpdatePeer(time.Now().Add(-2*time.Second), "sender", history.Position{Version: 6}, nil, []placement.Use{{Engine: "e0", Part: part.ID}})
		if !cached(e) {
			t.Fatal("the part is not expected to be cached")
		}
	}
	near.events <- `[5,"-","","part",0,"m"]`
	waitFor(t, func() bool { return !cached(nodes[0]) && !cached(nodes[1]) }, "the evicted part is still expected at a node")

	watching := func(e *Edge) bool { return len(e.enginesToWatch(time.Now())) > 0 }
	first, second := nodes[0], nodes[1]
	if watching(second) {
		first, second = second, first
	}
	if !watching(first) || watching(second) || far.count() > 0 {
		t.Errorf("watching: %v and %v; %d calls to an engine in another hall", watching(first), watching(second), far.count())
	}
	if err := first.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	before := near.count()
	waitFor(t, func() bool { return near.count() > before }, "nobody took over")

	sink := engineSink{second.placement, second.egress, second.limits, second.cacheWatcher, second.versions, func(string, bool) {}}
	sink.Drain("e0")
	waitFor(t, func() bool { near.mu.Lock(); defer near.mu.Unlock(); return near.held == 0 }, "the call to a leaving engine is still held")
	if watching(second) {
		t.Error("a leaving engine is still to be watched")
	}
}

// TestOnlyInteractivePoolsAreWatched checks that engines which cannot use the knowledge or refuse the
// calls get none, and that only interactive pools are marked for orders.
func TestOnlyInteractivePoolsAreWatched(t *testing.T) {
	e := startWithPeers(t, nil)
	waitFor(t, func() bool { return e.Ready(time.Now()) }, "not ready")
	e.placement.Set(placement.Engine{ID: "e0", Pool: "p", Hall: e.settings.Hall, Address: "127.0.0.1:9"})
	const target = 300 * time.Millisecond
	for i, test := range []struct {
		limitMs float64
		model   *routing.Model
		want    int
	}{
		{500, &routing.Model{Transfers: true, MaxEventCalls: 1}, 1},
		{200, &routing.Model{Transfers: true, MaxEventCalls: 1}, 0},
		{0, &routing.Model{Transfers: true, MaxEventCalls: 1}, 0},
		{500, &routing.Model{MaxEventCalls: 1}, 0},
		{500, &routing.Model{Transfers: true}, 0},
		{500, nil, 0},
	} {
		e.settings.InteractiveTargetMs = test.limitMs
		routes := []*routing.Route{{Kind: routing.Stream, Target: target, Shares: []routing.Share{{Pool: "p", Weight: 1}}}}
		e.dispatcher.SetTable(routing.NewTable(100+i, routes, []*routing.Pool{{Name: "p", Model: test.model, Scaling: &scaling.Limits{Max: 3}}}, nil, routing.Limits{}))
		if got, want := (dutyNode{e}).Pools(time.Now())[0].Limits, (scaling.Limits{Max: 3, Interactive: test.model != nil && test.limitMs == 500}); !reflect.DeepEqual(got, want) {
			t.Errorf("limit %v ms, model %+v: engines are ordered by %+v, want %+v", test.limitMs, test.model, got, want)
		}
		if got := len(e.enginesToWatch(time.Now())); got != test.want {
			t.Errorf("limit %v ms, model %+v: %d engines, want %d", test.limitMs, test.model, got, test.want)
		}
	}
}
