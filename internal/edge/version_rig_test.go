package edge

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// streamEvents is how many events a whole stream has, and leaveAfter after how many of them a client
	// that leaves does so.
	streamEvents = 8
	leaveAfter   = 3

	// eventInterval is the time between two events.
	eventInterval = 10 * time.Millisecond

	// streamTries is how often a client sends a request for one stream at most.
	streamTries = 6
)

// streamConfig has a resumable route.
const streamConfig = `{"version":3,"routes":[` +
	`{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","resumable":true,"timeout_ms":4000,"target_latency_ms":600,"gap_aim_ms":500,"priority":0,"service":"p","max_attempts":2}],` +
	`"services":[{"name":"p","max_connections":90}],"limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":["k"]},{"name":"u","api_keys":["other"]}]}`

type (
	// versionCluster is a set of nodes, and of engines of several software versions.
	versionCluster struct {
		address  string // address is the store's.
		revision atomic.Int64
		rows     rowStore

		mu      sync.Mutex
		nodes   []*Edge
		engines []*versionedEngine
	}

	// versionedEngine is a fake engine that writes its version into each event.
	versionedEngine struct {
		id, address string
		version     atomic.Pointer[string]
		gone        atomic.Bool  // gone takes its entry out of the table.
		breakEvery  atomic.Int64 // breakEvery makes it break off one in so many streams; 0 for none.
		started     atomic.Int64
	}

	// streamResult is what a client got of one stream.
	streamResult struct {
		versions  map[string]bool // versions are those of its events.
		began     bool
		resumed   int  // resumed counts the times that the client took the stream up.
		continued int  // continued counts those that brought an event or the end.
		whole     bool // whole is set if all events came, each once and in order.
		last      int
		first     string // first is the attempt that brought the first event.
		statuses  []int
	}

	// streamTally sums up results.
	streamTally struct {
		mu                           sync.Mutex
		streams, began, whole, mixed int // mixed counts streams with events of several versions.
		resumed, continued           int // These count the times that streams were taken up and went on.
	}
)

// set sets the version of an engine.
func (e *versionedEngine) set(version string) { e.version.Store(&version) }

// ServeHTTP sends a stream from the event after Last-Event-Id on.
func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	every := e.breakEvery.Load()
	breaks := every > 0 && e.started.Add(1)%every == 0
	version := *e.version.Load()
	w.Header().Set("Response-Seal", "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= streamEvents; n++ {
		if breaks && n == after+3 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

// store is the store's handler.
func (w *versionCluster) store(rw http.ResponseWriter, r *http.Request) {
	if w.rows.serve(rw, r) {
		return
	}
	var rows []string
	revision := w.revision.Load()
	if r.URL.Path == "/-/rows-feed" {
		time.Sleep(20 * time.Millisecond)
	}
	switch table, since := r.URL.Query().Get("table"), r.URL.Query().Get("since_revision"); {
	case since == strconv.FormatInt(revision, 10):
	case table == "op":
		rows = append(rows, fmt.Sprintf(`{"table":"op","part":"","tls_key":"config","value":%q,"ver":5}`, base64.StdEncoding.EncodeToString([]byte(streamConfig))))
	case table == "servers":
		for _, e := range w.engines {
			if e.gone.Load() {
				rows = append(rows, fmt.Sprintf(`{"table":"servers","part":"","tls_key":%q,"tombstone":true,"ver":%d}`, e.id, revision))
				continue
			}
			value := fmt.Sprintf(`{"service":"p","address":%q,"zone":"h1","version":%q,"slots":64,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":1}`, e.address, *e.version.Load(), revision)
			rows = append(rows, fmt.Sprintf(`{"table":"servers","part":"","tls_key":%q,"value":%q,"ver":%d}`, e.id, base64.StdEncoding.EncodeToString([]byte(value)), revision))
		}
	}
	fmt.Fprintf(rw, `{"rows":[%s],"ver":%d,"now_ms":%d}`, strings.Join(rows, ","), revision, time.Now().UnixMilli())
}

// newVersionCluster starts engines of the versions, a store and nodes that know each other.
func newVersionCluster(t *testing.T, nodes int, versions ...string) *versionCluster {
	t.Helper()
	w := &versionCluster{}
	w.revision.Store(6)
	for i, version := range versions {
		e := &versionedEngine{id: fmt.Sprint("e", i)}
		e.set(version)
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		e.address = server.Listener.Addr().String()
		w.engines = append(w.engines, e)
	}
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	w.address = store.Listener.Addr().String()
	for i := range nodes {
		s := newSettings(t, fmt.Sprint("n", i), w.address)
		s.FirstStart = true
		w.nodes = append(w.nodes, startNodeWith(t, s))
	}
	connect(t, w.nodes)
	return w
}

// breakEvery makes all engines break off one in so many streams.
func (w *versionCluster) breakEvery(n int64) {
	for _, e := range w.engines {
		e.breakEvery.Store(n)
	}
}

// restart ends a node without notice and starts it again at the same addresses.
func (w *versionCluster) restart(t *testing.T, i int) {
	t.Helper()
	old := w.node(i)
	s := *old.settings
	s.FirstStart = false
	_ = old.stop()
	again := startNodeWith(t, &s)
	w.mu.Lock()
	w.nodes[i] = again
	nodes := append([]*Edge(nil), w.nodes...)
	w.mu.Unlock()
	introduce(nodes)
}

// node returns a node.
func (w *versionCluster) node(i int) *Edge {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i%len(w.nodes)]
}

// attempt sends one attempt for a stream to a node. It leaves after a number of events of the stream; 0
// for never. It returns the status, 0 for none, and when to come back.
func (w *versionCluster) attempt(node int, id, key string, g *streamResult, leave int) (status int, retryAfter time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+w.node(node).settings.CallerAddress+"/chat/x", strings.NewReader("body"))
	if err != nil {
		return 0, 0
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Token-Counts", "110,10")
	if g.last > 0 {
		r.Header.Set("Last-Event-Id", fmt.Sprint(g.last))
		r.Header.Set("Resumes", g.first)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, retryAfter
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			n, _ := strconv.Atoi(value)
			g.whole = n == streamEvents && n == g.last+1
			g.last = n
		case "data":
			g.versions[value] = true
			if !g.began {
				g.began, g.first = true, id
			}
			if leave > 0 && g.last >= leave {
				return resp.StatusCode, 0
			}
		}
	}
	return resp.StatusCode, 0
}

// stream gets one stream, over as many attempts as it takes, each at another node.
func (w *versionCluster) stream(node int, id string, leave int) *streamResult {
	g := &streamResult{versions: map[string]bool{}}
	for try := range streamTries {
		before := g.last
		status, retryAfter := w.attempt(node+try, fmt.Sprintf("%s-%d", id, try), "k", g, leave)
		g.statuses = append(g.statuses, status)
		if before > 0 {
			g.resumed++
			if g.last > before || g.whole {
				g.continued++
			}
		}
		if g.whole {
			break
		}
		if g.last >= leave {
			leave = 0
		}
		if status != http.StatusOK {
			time.Sleep(max(retryAfter, 20*time.Millisecond))
		}
	}
	return g
}

// load sends streams for a duration; half of the clients leave after the third event and take the stream
// up at another node. during is called meanwhile.
func (w *versionCluster) load(t *testing.T, duration time.Duration, during func()) *streamTally {
	t.Helper()
	c := &streamTally{}
	var wg sync.WaitGroup
	wg.Go(during)
	for begin, i := time.Now(), 0; time.Since(begin) < duration; i++ {
		wg.Go(func() {
			g := w.stream(rand.IntN(len(w.nodes)), fmt.Sprintf("%s-%d", t.Name(), i), i%2*leaveAfter)
			c.add(g)
		})
		time.Sleep(7 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d streams, %d began, %d whole, %d with events of two versions, %d of %d that were taken up went on", c.streams, c.began, c.whole, c.mixed, c.continued, c.resumed)
	return c
}

// add adds the result of a stream.
func (c *streamTally) add(g *streamResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams++
	c.resumed += g.resumed
	c.continued += g.continued
	if g.began {
		c.began++
	}
	if g.whole {
		c.whole++
	}
	if len(g.versions) > 1 {
		c.mixed++
	}
}

// check fails the test if streams hold events of two versions, or if too few of those that were taken up
// went on.
func (c *streamTally) check(t *testing.T, least float64) {
	t.Helper()
	if c.mixed > 0 {
		t.Errorf("%d of %d streams have events of two versions", c.mixed, c.streams)
	}
	if float64(c.continued) < least*float64(c.resumed) || c.resumed == 0 {
		t.Errorf("%d of %d streams that were taken up went on", c.continued, c.resumed)
	}
}
