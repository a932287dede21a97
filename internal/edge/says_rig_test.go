package edge

import (
	"cmp"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/caller"
)

// twoTierConfig is a configuration with two routes of different tiers to one pool.
const twoTierConfig = `{"version":3,"routes":[` +
	`{"name":"high","host":"h","path_prefix":"/high/","kind":"safe","timeout_ms":2000,"target_latency_ms":600,"priority":0,"service":"p","max_attempts":2},` +
	`{"name":"low","host":"h","path_prefix":"/low/","kind":"safe","timeout_ms":2000,"target_latency_ms":600,"priority":1,"service":"p","max_attempts":2}],` +
	`"services":[{"name":"p","max_connections":90}],"limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":["k"]}]}`

type (
	// scriptedCluster is a set of nodes, and of engines that announce what a test sets.
	scriptedCluster struct {
		nodes     []*Edge
		engines   []*scriptedEngine
		address   string                          // address is the store's.
		version   atomic.Int64                    // version is that of the newest change of an entry, and of all rows.
		config    string                          // config is the operators' configuration; empty for twoTierConfig.
		slots     int                             // slots is that of the engines' entries; 0 for 64.
		storeDown atomic.Bool                     // storeDown makes the store reject all calls.
		silent    atomic.Pointer[<-chan struct{}] // silent is until when the store answers nothing; nil if it answers.
	}

	// scriptedEngine is a fake engine.
	scriptedEngine struct {
		id, hall   string
		address    string
		limit      atomic.Pointer[float64]          // limit is the limit it announces; nil for none.
		draining   atomic.Bool                      // draining is the state in its entry.
		leaving    atomic.Bool                      // leaving makes it announce in its responses that it leaves.
		status     atomic.Int64                     // status is that of its responses; 0 for 200. With 503 it has not run the request.
		retryAfter atomic.Pointer[string]           // retryAfter is the Retry-After value of its 503 responses; nil for none.
		startedAt  atomic.Int64                     // startedAt is its start time as stated in its entry.
		serve      atomic.Pointer[http.HandlerFunc] // serve answers its requests; nil for the answers above.

		mu         sync.Mutex
		arrivals   []time.Time
		unsafeRuns []string // unsafeRuns are the IDs of the requests that it ran on the route "low".
		senders    []string // senders are the nodes that sent the requests in arrivals, taken from the request IDs.
	}

	// result is the answer to a caller.
	result struct {
		status     int
		took       time.Duration
		retryAfter string
	}
)

// newScriptedCluster starts engines, a store and nodes that know each other.
func newScriptedCluster(t *testing.T, engines, nodes int) *scriptedCluster {
	t.Helper()
	return newScriptedClusterWith(t, engines, nodes, "", 0)
}

// newScriptedClusterWith is newScriptedCluster with a configuration and interactive_target_ms.
func newScriptedClusterWith(t *testing.T, engines, nodes int, config string, interactiveMs int) *scriptedCluster {
	t.Helper()
	w := &scriptedCluster{config: config}
	w.version.Store(6)
	for i := range engines {
		e := &scriptedEngine{id: fmt.Sprint("e", i), hall: "h1"}
		e.startedAt.Store(1)
		server := httptest.NewUnstartedServer(e)
		server.Config.ConnContext = caller.WithConn // An arrival is when the kernel got a request, not when the process ran.
		server.Start()
		t.Cleanup(server.Close)
		e.address = server.Listener.Addr().String()
		w.engines = append(w.engines, e)
	}
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	w.address = store.Listener.Addr().String()
	for i := range nodes {
		s := newSettings(t, fmt.Sprint("n", i), w.address)
		s.InteractiveTargetMs = float64(interactiveMs)
		w.nodes = append(w.nodes, startNodeWith(t, s))
	}
	connect(t, w.nodes)
	return w
}

// store is the store's handler: it returns the configuration and the engines' entries.
func (w *scriptedCluster) store(rw http.ResponseWriter, r *http.Request) {
	if until := w.silent.Load(); until != nil {
		<-*until
	}
	if w.storeDown.Load() {
		http.Error(rw, "away", http.StatusServiceUnavailable)
		return
	}
	var rows []string
	version := w.version.Load()
	if r.URL.Path == "/-/rows-feed" {
		time.Sleep(20 * time.Millisecond)
	}
	switch table, since := r.URL.Query().Get("table"), r.URL.Query().Get("since_revision"); {
	case since == strconv.FormatInt(version, 10):
	case table == "op":
		rows = append(rows, fmt.Sprintf(`{"table":"op","part":"","tls_key":"config","value":%q,"ver":5}`, base64.StdEncoding.EncodeToString([]byte(cmp.Or(w.config, twoTierConfig)))))
	case table == "servers":
		for _, e := range w.engines {
			value := fmt.Sprintf(`{"service":"p","address":%q,"zone":%q,"version":"1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`, e.address, e.hall, cmp.Or(w.slots, 64), map[bool]string{false: "ready", true: "draining"}[e.draining.Load()], version, e.startedAt.Load())
			rows = append(rows, fmt.Sprintf(`{"table":"servers","part":"","tls_key":%q,"value":%q,"ver":%d}`, e.id, base64.StdEncoding.EncodeToString([]byte(value)), version))
		}
	}
	fmt.Fprintf(rw, `{"rows":[%s],"ver":%d,"now_ms":%d}`, strings.Join(rows, ","), version, time.Now().UnixMilli())
}

// ServeHTTP answers a request with the announcements that the test has set.
func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if serve := e.serve.Load(); serve != nil {
		serve.ServeHTTP(w, r)
		return
	}
	node, _, _ := strings.Cut(r.Header.Get("Attempt-Id"), "-")
	_, err := io.Copy(io.Discard, r.Body)
	arrived, _ := caller.ConnOf(r.Context()).Arrival(time.Now())
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrived)
	e.senders = append(e.senders, node)
	e.mu.Unlock()
	if err != nil {
		return
	}
	if limit := e.limit.Load(); limit != nil {
		w.Header().Set("Server-Limit", strconv.FormatFloat(*limit, 'f', -1, 64))
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	switch status := int(e.status.Load()); status {
	case http.StatusServiceUnavailable:
		w.Header().Set("Not-Executed", "1")
		if retryAfter := e.retryAfter.Load(); retryAfter != nil {
			w.Header().Set("Retry-After", *retryAfter)
		}
		w.WriteHeader(status)
		return
	case 0:
	default:
		w.WriteHeader(status)
	}
	if strings.HasPrefix(r.URL.Path, "/low/") {
		e.mu.Lock()
		e.unsafeRuns = append(e.unsafeRuns, r.Header.Get("Attempt-Id"))
		e.mu.Unlock()
	}
	w.Header().Set("Response-Seal", "seal")
	fmt.Fprint(w, "well")
}

// setLimit sets the limit that the engine announces; a negative one removes it.
func (e *scriptedEngine) setLimit(limit float64) {
	if limit < 0 {
		e.limit.Store(nil)
		return
	}
	e.limit.Store(&limit)
}

// setBackoff makes the engine reject requests and ask to back off, until its status is set again.
func (e *scriptedEngine) setBackoff(seconds string) {
	e.retryAfter.Store(&seconds)
	e.status.Store(http.StatusServiceUnavailable)
}

// arrivalsFrom returns when requests of a node arrived.
func (e *scriptedEngine) arrivalsFrom(node string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []time.Time
	for i, at := range e.arrivals {
		if e.senders[i] == node {
			out = append(out, at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// firstArrival returns when the first request arrived; ok is false if none has.
func (e *scriptedEngine) firstArrival() (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.arrivals) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(e.arrivals, time.Time.Compare), true
}

// countBetween returns how many requests arrived between two times.
func (e *scriptedEngine) countBetween(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// maxWithin returns the largest number of requests that arrived within a span starting at or after
// a time.
func (e *scriptedEngine) maxWithin(from time.Time, span time.Duration) int {
	e.mu.Lock()
	arrivals := append([]time.Time(nil), e.arrivals...)
	e.mu.Unlock()
	most := 0
	for _, at := range arrivals {
		if !at.Before(from) {
			most = max(most, e.countBetween(at, at.Add(span)))
		}
	}
	return most
}

// load sends requests at an interval for a duration, to the nodes in turn and alternating between
// the two tiers. It calls onEnd with each answer.
func (w *scriptedCluster) load(every, duration time.Duration, onEnd func(route string, node int, sent time.Time, g result)) {
	var wg sync.WaitGroup
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i, begin := 0, time.Now(); time.Since(begin) < duration; i++ {
		<-tick.C
		wg.Go(func() {
			route, sent := []string{"high", "low"}[i/len(w.nodes)%2], time.Now()
			node := w.nodes[i%len(w.nodes)]
			onEnd(route, i%len(w.nodes), sent, w.send(node, route, fmt.Sprintf("%s-%d-%d", node.settings.Instance, begin.UnixMicro(), i)))
		})
	}
	wg.Wait()
}

// send sends one request to a node.
func (w *scriptedCluster) send(node *Edge, route, id string) result {
	begin := time.Now()
	r, err := http.NewRequest(http.MethodPost, "http://"+node.settings.CallerAddress+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return result{}
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer k")
	r.Header.Set("Deadline-Ms", "2000")
	session := xxhash.Sum64String(id) >> 1 // A session per request spreads them over the engines.
	r.Header.Set("Token-Counts", "110,10")
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:100,%x:10", session, session+1))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return result{}
	}
	return result{status: resp.StatusCode, took: time.Since(begin), retryAfter: resp.Header.Get("Retry-After")}
}
