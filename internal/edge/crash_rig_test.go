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
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/testport"
)

// crashCluster is a set of nodes, and of engines that a certain request crashes.
type crashCluster struct {
	nodes        []*Edge
	engines      []*crashingEngine
	address      string        // address is the store's.
	runTime      time.Duration // runTime is how long an engine runs a request.
	restartDelay time.Duration // restartDelay is how long after a crash an engine starts again.
	unframed     bool          // unframed makes answers end with their connection; those of crashing requests look complete.

	mu       sync.Mutex
	held     map[string]map[string]string // held are the stored rows of held requests and prompt parts, by table and key.
	arrivals []time.Time                  // arrivals are when the crashing request reached engines.
	crashes  []time.Time                  // crashes are when it crashed them.
}

// crashingEngine is a fake engine that crashes on a certain request and restarts after a delay.
type crashingEngine struct {
	cluster *crashCluster
	address string

	mu     sync.Mutex
	server *http.Server
	closed chan struct{} // closed is closed when the engine is to stay down.
	wg     sync.WaitGroup
}

// serve starts an incarnation of the engine.
func (e *crashingEngine) serve(t *testing.T, l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	server := &http.Server{Handler: e, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	e.server = server
	e.wg.Go(func() {
		_ = server.Serve(l) // It returns when the server is closed.
		select {
		case <-time.After(e.cluster.restartDelay):
		case <-e.closed:
			return
		}
		again, err := net.Listen("tcp", e.address)
		if err != nil {
			t.Errorf("start engine again: %v", err)
			return
		}
		e.serve(t, again)
		select {
		case <-e.closed:
			e.crash() // The engine was closed in the meantime.
		default:
		}
	})
}

// close stops the engine for good.
func (e *crashingEngine) close() {
	e.mu.Lock()
	close(e.closed)
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

// ServeHTTP runs one request, and crashes after it if its body begins with crashingBody or if a shared
// part of its prompt begins with crashingPart.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	shared := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	shared = shared[:len(shared)-1]
	crashes := strings.HasPrefix(string(body), crashingBody) || slices.ContainsFunc(shared, func(part string) bool { return strings.HasPrefix(part, crashingPart) })
	if crashes {
		e.cluster.recordTime(&e.cluster.arrivals)
	}
	select {
	case <-time.After(e.cluster.runTime):
	case <-r.Context().Done():
		return
	}
	if crashes {
		e.cluster.recordTime(&e.cluster.crashes)
		if e.cluster.unframed {
			writeUnframed(w, r)
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.cluster.unframed {
		writeUnframed(w, r)
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "seal")
	fmt.Fprint(w, "well")
}

// writeUnframed writes an answer that ends with its connection.
func writeUnframed(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nwell", r.Header.Get("Attempt-Id"))
	_ = conn.Close()
}

// recordTime adds the current time to a list.
func (w *crashCluster) recordTime(list *[]time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, time.Now())
}

// store is the store's handler: it returns the configuration, the engines and the held requests.
func (w *crashCluster) store(rw http.ResponseWriter, r *http.Request) {
	var rows []string
	switch table := r.URL.Query().Get("table"); {
	case r.URL.Path == "/-/rows-tx":
		w.writeHeld(r)
	case strings.HasPrefix(table, "croftturn-held"):
		w.mu.Lock()
		rows = slices.Collect(maps.Values(w.held[table]))
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

// writeHeld applies a transaction on the rows of held requests and parts; it ignores all other rows.
func (w *crashCluster) writeHeld(r *http.Request) {
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
		if rows := w.held[row.Table]; rows != nil {
			rows[row.Key] = fmt.Sprintf(`{"table":%q,"part":"","tls_key":%q,"value":%q,"ver":7}`, row.Table, row.Key, row.Value)
		}
	}
	for _, row := range tx.Remove {
		delete(w.held[row.Table], row.Key)
	}
}

// storedHeld returns how many rows of a table of held requests or parts the store has.
func (w *crashCluster) storedHeld(table string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held[table])
}

// crashTimes returns when engines have crashed so far.
func (w *crashCluster) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.crashes)
}

// newCrashCluster starts engines, a store and nodes that know each other.
func newCrashCluster(t *testing.T, engines, nodes int, runTime, restartDelay time.Duration) *crashCluster {
	t.Helper()
	w := &crashCluster{held: map[string]map[string]string{"croftturn-held": {}, "croftturn-held-parts": {}}, runTime: runTime, restartDelay: restartDelay}
	for range engines {
		address, release, err := testport.Reserve() // No other may listen there while the engine is down.
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(release)
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		e := &crashingEngine{cluster: w, address: address, closed: make(chan struct{})}
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

// startNodes starts nodes that replace the previous ones, and waits until they are ready and have
// heard from each other.
func (w *crashCluster) startNodes(t *testing.T, nodes int) {
	t.Helper()
	w.nodes = nil
	for i := range nodes {
		w.nodes = append(w.nodes, startNode(t, fmt.Sprint("n", i), w.address))
	}
	connect(t, w.nodes)
}

// connect introduces nodes to each other, and waits until they are ready and have heard from each
// other. In a large cluster spokes hear from hubs only.
func connect(t *testing.T, nodes []*Edge) {
	t.Helper()
	introduce(nodes)
	for _, e := range nodes {
		waitWithin(t, startTime, func() bool {
			now := time.Now()
			heard := len(e.gossip.Peers(now))
			return e.Ready(now) && e.placement.HasEngines() && (heard == len(nodes)-1 || len(nodes) > 12 && heard > 0)
		}, "a node is not ready")
	}
}

// introduce adds all nodes to each other's gossip members.
func introduce(nodes []*Edge) {
	now := time.Now()
	for _, e := range nodes {
		for _, o := range nodes {
			s := o.settings
			e.gossip.AddPeer(now, gossip.NodeInfo{Name: s.Instance, Incarnation: o.startedAt.UnixMilli(), PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Hall: s.Hall})
		}
	}
}

// startNode starts a node that is stopped at the end of the test.
func startNode(t *testing.T, name, store string) *Edge {
	t.Helper()
	return startNodeWith(t, newSettings(t, name, store))
}

// startNodeWith is startNode with settings.
func startNodeWith(t *testing.T, s *settings.Settings) *Edge {
	t.Helper()
	e, err := Start(context.Background(), s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.stop() }) // The test may have stopped it already.
	return e
}

// post sends a request to a node and returns the status, or 0 if no complete answer came.
func (w *crashCluster) post(node int, id, body string) int { return w.postPrompt(node, id, body, "") }

// postPrompt is post for a request whose prompt has the given parts, in the format of its header.
func (w *crashCluster) postPrompt(node int, id, body, parts string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+w.nodes[node].settings.CallerAddress+"/a/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer k")
	r.Header.Set("Deadline-Ms", "1000")
	if parts != "" {
		r.Header.Set("Token-Counts", "100,10")
		r.Header.Set("Prompt-Prefix", parts)
	}
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

// thirdCrash returns the time of the third crash; ok is false if there have been fewer.
func (w *crashCluster) thirdCrash() (at time.Time, ok bool) { return w.nthCrash(3) }

// nthCrash returns the time of the nth crash; ok is false if there have been fewer.
func (w *crashCluster) nthCrash(n int) (at time.Time, ok bool) {
	crashes := w.crashTimes()
	if len(crashes) < n {
		return time.Time{}, false
	}
	return crashes[n-1], true
}

// load sends n requests at an interval, with the body that the function body returns for each
// number, calls onEach with each number, and returns how many requests were served.
func (w *crashCluster) load(n int, every time.Duration, body func(i int) string, onEach func(i int)) (served int64) {
	var wg sync.WaitGroup
	var ok atomic.Int64
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := range n {
		<-tick.C
		wg.Go(func() {
			if w.post(i%len(w.nodes), fmt.Sprint("other-", i), body(i)) == http.StatusOK {
				ok.Add(1)
			}
		})
		wg.Go(func() { onEach(i) })
	}
	wg.Wait()
	return ok.Load()
}
