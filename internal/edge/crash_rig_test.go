package edge

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/gossip"
)

// crashWorld is some nodes, and engines that one request crashes.
type crashWorld struct {
	nodes   []*Edge
	engines []*crashingEngine
	address string        // address is the store's.
	runs    time.Duration // runs is how long a request is at work.
	back    time.Duration // back is how long after its end an engine starts again.

	mu       sync.Mutex
	held     map[string]string // held are the rows of what is held, by key.
	arrivals []time.Time       // arrivals are when the request reached engines.
	crashes  []time.Time       // crashes are when it crashed them.
}

// crashingEngine is a stand-in engine that ends under one request, and starts again a while later.
type crashingEngine struct {
	world   *crashWorld
	address string

	mu     sync.Mutex
	server *http.Server
	gone   chan struct{} // gone is closed when the engine is, for good.
	wg     sync.WaitGroup
}

// serve begins an incarnation.
func (e *crashingEngine) serve(t *testing.T, l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	server := &http.Server{Handler: e, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	e.server = server
	e.wg.Go(func() {
		_ = server.Serve(l) // It ends with its close.
		select {
		case <-time.After(e.world.back):
		case <-e.gone:
			return
		}
		again, err := net.Listen("tcp", e.address)
		if err != nil {
			t.Errorf("start engine again: %v", err)
			return
		}
		e.serve(t, again)
		select {
		case <-e.gone:
			e.crash() // It was closed meanwhile.
		default:
		}
	})
}

// close ends the engine for good.
func (e *crashingEngine) close() {
	e.mu.Lock()
	close(e.gone)
	e.server.Close()
	e.mu.Unlock()
	e.wg.Wait()
}

// crash ends the present incarnation.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.Close()
}

// ServeHTTP runs one request.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	crashes := strings.HasPrefix(string(body), crashingBody)
	if crashes {
		e.world.note(&e.world.arrivals)
	}
	select {
	case <-time.After(e.world.runs):
	case <-r.Context().Done():
		return
	}
	if crashes {
		e.world.note(&e.world.crashes)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "seal")
	fmt.Fprint(w, "well")
}

// note adds the present moment to a list.
func (w *crashWorld) note(list *[]time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, time.Now())
}

// store answers reads with the configuration and with the engines' entries.
func (w *crashWorld) store(rw http.ResponseWriter, r *http.Request) {
	var rows []string
	switch table := r.URL.Query().Get("table"); {
	case r.URL.Path == "/-/rows-tx":
		w.take(r)
	case table == "croftturn-held":
		w.mu.Lock()
		rows = slices.Collect(maps.Values(w.held))
		w.mu.Unlock()
	case r.URL.Path == "/-/rows-feed":
		time.Sleep(20 * time.Millisecond)
	case table == "op":
		rows = append(rows, fmt.Sprintf(`{"table":"op","part":"","tls_key":"config","value":%q,"ver":5}`, base64.StdEncoding.EncodeToString([]byte(configRow))))
	case table == "servers":
		for i, e := range w.engines {
			value := fmt.Sprintf(`{"service":"p","address":%q,"zone":"h1","version":"1","slots":9,"state":"ready","cold_remaining_ms":0,"sequence":1}`, e.address)
			rows = append(rows, fmt.Sprintf(`{"table":"servers","part":"","tls_key":"e%d","value":%q,"ver":6}`, i, base64.StdEncoding.EncodeToString([]byte(value))))
		}
	}
	fmt.Fprintf(rw, `{"rows":[%s],"ver":7,"now_ms":%d}`, strings.Join(rows, ","), time.Now().UnixMilli())
}

// take takes a transaction of the rows of what is held; it keeps no others.
func (w *crashWorld) take(r *http.Request) {
	var tx struct {
		Puts, Remove []struct {
			Table string `json:"table"`
			Key   string `json:"tls_key"`
			Value string `json:"value"`
		}
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range tx.Puts {
		if row.Table == "croftturn-held" {
			w.held[row.Key] = fmt.Sprintf(`{"table":%q,"part":"","tls_key":%q,"value":%q,"ver":7}`, row.Table, row.Key, row.Value)
		}
	}
	for _, row := range tx.Remove {
		delete(w.held, row.Key)
	}
}

// kept returns how many rows of what is held the store has.
func (w *crashWorld) kept() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}

// soFar returns when the request crashed engines so far.
func (w *crashWorld) soFar() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.crashes)
}

// newCrashWorld starts engines and nodes that know each other.
func newCrashWorld(t *testing.T, engines, nodes int, runs, back time.Duration) *crashWorld {
	t.Helper()
	w := &crashWorld{held: map[string]string{}, runs: runs, back: back}
	for range engines {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := &crashingEngine{world: w, address: l.Addr().String(), gone: make(chan struct{})}
		e.serve(t, l)
		t.Cleanup(e.close)
		w.engines = append(w.engines, e)
	}
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	w.address = store.Listener.Addr().String()
	w.startNodes(t, nodes)
	return w
}

// startNodes starts nodes in place of those before, and waits until they are ready and know each other.
func (w *crashWorld) startNodes(t *testing.T, nodes int) {
	t.Helper()
	w.nodes = nil
	for i := range nodes {
		w.nodes = append(w.nodes, startNode(t, fmt.Sprint("n", i), w.address))
	}
	acquaint(t, w.nodes)
}

// acquaint makes nodes known to each other, and waits until they are ready and have heard each other. Where they are many, spokes
// hear hubs alone.
func acquaint(t *testing.T, nodes []*Edge) {
	t.Helper()
	introduce(nodes)
	for _, e := range nodes {
		waitFor(t, func() bool {
			now := time.Now()
			heard := len(e.gossip.Peers(now))
			return e.Ready(now) && e.placement.HasEngines() && (heard == len(nodes)-1 || len(nodes) > 12 && heard > 0)
		}, "a node is not ready")
	}
}

// introduce makes nodes known to each other.
func introduce(nodes []*Edge) {
	now := time.Now()
	for _, e := range nodes {
		for _, o := range nodes {
			s := o.settings
			e.gossip.Meet(now, gossip.Self{Name: s.Instance, Incarnation: o.startedAt.UnixMilli(), PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Hall: s.Hall})
		}
	}
}

// startNode starts a node that ends with the test.
func startNode(t *testing.T, name, store string) *Edge {
	t.Helper()
	e, err := Start(context.Background(), newSettings(t, name, store), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.stop() }) // The test may have stopped it.
	return e
}

// post sends a request with a body to a node and returns the status, 0 where no whole answer came.
func (w *crashWorld) post(node int, id, body string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+w.nodes[node].settings.CallerAddress+"/a/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer k")
	r.Header.Set("Deadline-Ms", "1000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// third returns when the request crashed an engine for the third time; ok is false before.
func (w *crashWorld) third() (at time.Time, ok bool) {
	crashes := w.soFar()
	if len(crashes) < 3 {
		return time.Time{}, false
	}
	return crashes[2], true
}

// load sends requests at an interval, each with the body of its number, while also is called with each; it returns how many were served.
func (w *crashWorld) load(n int, every time.Duration, body func(i int) string, also func(i int)) (served int64) {
	var wg sync.WaitGroup
	var well atomic.Int64
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := range n {
		<-tick.C
		wg.Go(func() {
			if w.post(i%len(w.nodes), fmt.Sprint("other-", i), body(i)) == http.StatusOK {
				well.Add(1)
			}
		})
		wg.Go(func() { also(i) })
	}
	wg.Wait()
	return well.Load()
}
