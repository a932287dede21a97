package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

const (
	brittleSlots   = 4                      // brittleSlots is how many requests a brittle engine runs at a time.
	brittleLimit   = 3                      // brittleLimit is how many it may turn away in a second.
	brittleRunTime = 200 * time.Millisecond // brittleRunTime is how long it runs one.
	brittleDown    = 2 * time.Second        // brittleDown is how long it is away after it has fallen over.
)

// brittleEngine falls over when it has to turn too many requests away.
type brittleEngine struct {
	mu       sync.Mutex
	running  int
	waiting  int
	room     int         // room is how many may wait.
	rejected []time.Time // rejected holds the times of its latest rejections.
	downTill time.Time
	falls    int
	served   int
}

// ServeHTTP runs a request, lets it wait, or turns it away.
func (e *brittleEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("Attempt-Id") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	e.mu.Lock()
	if now.Before(e.downTill) {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Brittle", fmt.Sprint(brittleLimit))
	if e.running >= brittleSlots && e.waiting >= e.room {
		e.reject(now)
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.waiting++
	for e.running >= brittleSlots {
		e.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		e.mu.Lock()
	}
	e.waiting--
	e.running++
	e.mu.Unlock()
	time.Sleep(brittleRunTime)
	e.mu.Lock()
	e.running--
	e.served++
	e.mu.Unlock()
	w.Header().Set("Response-Seal", "seal")
	fmt.Fprint(w, "well")
}

// reject counts a rejection, which may be one too many.
func (e *brittleEngine) reject(now time.Time) {
	recent := e.rejected[:0]
	for _, at := range e.rejected {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	e.rejected = append(recent, now)
	if len(e.rejected) > brittleLimit {
		e.falls++
		e.downTill, e.rejected = now.Add(brittleDown), nil
	}
}

// newBrittleCluster starts engines that let some requests wait, and nodes.
func newBrittleCluster(t *testing.T, engines, nodes, room int) (*scriptedCluster, []*brittleEngine) {
	t.Helper()
	w := &scriptedCluster{config: twoTierConfig, slots: brittleSlots}
	w.version.Store(6)
	var list []*brittleEngine
	for i := range engines {
		e := &brittleEngine{room: room}
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		entry := &scriptedEngine{id: fmt.Sprint("e", i), hall: "h1", address: server.Listener.Addr().String()}
		entry.startedAt.Store(1)
		w.engines, list = append(w.engines, entry), append(list, e)
	}
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	w.address = store.Listener.Addr().String()
	for i := range nodes {
		w.nodes = append(w.nodes, startNodeWith(t, newSettings(t, fmt.Sprint("n", i), w.address)))
	}
	connect(t, w.nodes)
	return w, list
}

func TestBrittleEnginesDoNotFallOverUnderOverload(t *testing.T) {
	const engines = 8
	w, list := newBrittleCluster(t, engines, 5, brittleSlots)
	count := func(get func(e *brittleEngine) int) (n int) {
		for _, e := range list {
			e.mu.Lock()
			n += get(e)
			e.mu.Unlock()
		}
		return n
	}
	load := func(d time.Duration) {
		w.load(2*time.Millisecond, d, func(string, int, time.Time, result) {}) // Three times what the engines can run.
	}
	load(contactTime)
	for _, e := range list {
		e.mu.Lock()
		e.room = 1
		e.mu.Unlock()
	}
	falls, served := count(func(e *brittleEngine) int { return e.falls }), count(func(e *brittleEngine) int { return e.served })
	begin := time.Now()
	load(2 * contactTime)
	took := time.Since(begin)
	falls, served = count(func(e *brittleEngine) int { return e.falls })-falls, count(func(e *brittleEngine) int { return e.served })-served
	capacity := float64(engines*brittleSlots) * took.Seconds() / brittleRunTime.Seconds()
	t.Logf("%d falls, %d requests served of the %.0f that the engines can run", falls, served, capacity)
	if falls > 2+engines/10 {
		t.Errorf("engines fell over %d times, %d allowed", falls, 2+engines/10)
	}
	if float64(served) < 0.8*capacity {
		t.Errorf("%d requests served of the %.0f that the engines can run", served, capacity)
	}
}
