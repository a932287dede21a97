//go:build review

// Command paged restarts nodes while engines of a large pool leave, and checks that no request reaches an engine later
// than drain_ms after the store has acknowledged that it is draining.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/review/kit"
)

const (
	engineCount = 1200 // three pages of rows-get
	nodeCount   = 3
	killedCount = 2
	rounds      = 5
	drain       = 2 * time.Second
	contact     = 3 * time.Second
	servesOn    = 10 * time.Second // at times many seconds
	leaveShare  = 0.25
	leaveSpread = time.Second
	rate        = 400
	workLeast   = 1500 * time.Millisecond // an answer takes so long, so that all engines are in use
	workMost    = 2500 * time.Millisecond
	deadline    = 6 * time.Second
	maxLogged   = 60
	slack       = 300 * time.Millisecond // beyond the rule's bound, for the load of this machine
)

var halls = []string{"hall-a", "hall-b", "hall-c"}

type engine struct {
	id, hall, address string
	listener          net.Listener
	server            *http.Server
	sequence          int
	coldUntil         time.Time

	mu       sync.Mutex
	draining time.Time // draining is when the store acknowledged it.
	version  int64
}

type world struct {
	r      *kit.Record
	store  *kit.Store
	nodes  []*kit.Node
	byAddr map[string]*kit.Node

	mu      sync.Mutex
	engines []*engine
	sentTo  sync.Map // request id -> *kit.Node

	runs, late, lateOut atomic.Int64
	answers             sync.Map // status -> *atomic.Int64
}

// entry writes the engine's entry.
func (e *engine) entry(w *world, state string) (int64, time.Time) {
	e.sequence++
	cold := max(0, time.Until(e.coldUntil).Milliseconds())
	return w.store.Put("servers", e.id, map[string]any{"service": "desk", "address": e.address, "zone": e.hall, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": cold, "sequence": e.sequence})
}

func (w *world) newEngine(hall string, cold time.Duration) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &engine{id: fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), hall: hall, address: l.Addr().String(), listener: l, coldUntil: time.Now().Add(cold)}
	e.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.handle(e, rw, r) })}
	go e.server.Serve(l)
	e.entry(w, "ready")
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	return e
}

// handle runs a request and checks the rule.
func (w *world) handle(e *engine, rw http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" || r.URL.Path == "/-/report" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		rw.Header().Set("Instance-Id", e.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.runs.Add(1)
	w.r.LogAt(at, "run %s at %s", id, e.id)
	e.mu.Lock()
	draining, version := e.draining, e.version
	e.mu.Unlock()
	if !draining.IsZero() && at.Sub(draining) > drain+slack {
		w.noteLate(e, id, at, draining, version)
	}
	select {
	case <-time.After(workLeast + rand.N(workMost-workLeast)):
	case <-r.Context().Done(): // The engine drops a request once its connection closes.
		return
	}
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-"+id)
	io.WriteString(rw, "answer to "+id)
}

// noteLate records a request that reached an engine too late.
func (w *world) noteLate(e *engine, id string, at, draining time.Time, version int64) {
	v, ok := w.sentTo.Load(id)
	if !ok {
		return
	}
	n := v.(*kit.Node)
	touch := at.Sub(n.UndisturbedSince())
	inTouch := touch > contact+slack
	counter := &w.lateOut
	if inTouch {
		counter = &w.late
	}
	if counter.Add(1) <= maxLogged {
		w.r.Logf("LATE request %s from %s reaches %s, draining since version %d, acknowledged %.3f s before; node undisturbed for %.3f s, in touch %v", id, n.Name, e.id, version, at.Sub(draining).Seconds(), touch.Seconds(), inTouch)
	}
}

// leave drains the engine, and ends it later; another one takes its place.
func (w *world) leave(e *engine) {
	e.mu.Lock()
	version, at := e.entry(w, "draining")
	e.draining, e.version = at, version
	e.mu.Unlock()
	time.AfterFunc(drain+servesOn, func() {
		w.store.Remove("servers", e.id)
		e.server.Close()
	})
	time.AfterFunc(drain+servesOn-2*time.Second, func() { w.newEngine(e.hall, 4*time.Second) })
}

// beats writes the entries of cold engines, which change with each heartbeat.
func (w *world) beats() {
	for range time.Tick(1200 * time.Millisecond) {
		w.mu.Lock()
		var cold []*engine
		for _, e := range w.engines {
			e.mu.Lock()
			if e.draining.IsZero() && time.Now().Before(e.coldUntil.Add(1200*time.Millisecond)) && !e.coldUntil.IsZero() {
				cold = append(cold, e)
			}
			e.mu.Unlock()
		}
		w.mu.Unlock()
		for _, e := range cold {
			e.mu.Lock()
			if e.draining.IsZero() {
				e.entry(w, "ready")
			}
			e.mu.Unlock()
		}
	}
}

func (w *world) count(status int) {
	c, _ := w.answers.LoadOrStore(status, &atomic.Int64{})
	c.(*atomic.Int64).Add(1)
}

func run(r *kit.Record, dir string, trouble bool) int {
	store, err := kit.NewStore()
	if err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	w := &world{r: r, store: store, byAddr: map[string]*kit.Node{}}
	store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-status", "host": "desk.example", "path_prefix": "/status/", "kind": "safe", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 3000, "priority": 0,
			"service": "desk", "max_attempts": 2, "public": true, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	for i := range engineCount {
		w.newEngine(halls[i%3], 0)
	}
	for _, e := range w.engines {
		e.coldUntil = time.Time{}
	}
	go w.beats()
	for i := range nodeCount {
		n := kit.NewNode(i, kit.NodeOptions{Dir: dir, Store: store.Address, Halls: halls})
		w.nodes, w.byAddr[n.Caller] = append(w.nodes, n), n
		if err := n.Start(true); err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
	}
	defer func() {
		for _, n := range w.nodes {
			n.Kill()
		}
	}()
	if err := kit.AwaitReady(20*time.Second, w.nodes...); err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	clients := kit.NewClients("desk.example", w.nodes)
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second / rate)
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			go func() {
				address := clients.Entry()
				id := kit.NewID()
				if n := w.byAddr[address]; n != nil {
					w.sentTo.Store(id, n)
					a := clients.Send(address, http.MethodGet, "/status/1", id, deadline, nil, nil)
					w.count(a.Status)
					w.r.LogAt(a.Sent, "sent %s to %s: status %d after %.3f s", id, n.Name, a.Status, a.Ended.Sub(a.Sent).Seconds())
					time.AfterFunc(3*time.Second, func() { w.sentTo.Delete(id) })
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	for round := range rounds {
		r.Logf("round %d: %d entries read in pages so far: %d", round, len(w.engines), store.Gets("servers"))
		first := round % nodeCount
		var killed []*kit.Node
		if trouble {
			for i := range killedCount {
				n := w.nodes[(first+i)%nodeCount]
				n.Kill()
				r.Logf("node_kill %s", n.Name)
				killed = append(killed, n)
			}
		}
		time.Sleep(time.Second)
		for _, n := range killed {
			if err := n.Start(false); err != nil {
				r.Logf("%v", err)
				return kit.NotRun
			}
			r.Logf("start %s", n.Name)
		}
		w.mu.Lock()
		var leaving []*engine
		for _, e := range w.engines {
			e.mu.Lock()
			if e.draining.IsZero() && rand.Float64() < leaveShare {
				leaving = append(leaving, e)
			}
			e.mu.Unlock()
		}
		w.mu.Unlock()
		r.Logf("scale_in: %d engines begin to drain within %v", len(leaving), leaveSpread)
		var wg sync.WaitGroup
		for _, e := range leaving {
			wg.Go(func() {
				time.Sleep(rand.N(leaveSpread))
				w.leave(e)
			})
		}
		wg.Wait()
		time.Sleep(15 * time.Second)
		r.Logf("round %d: runs %d, late %d (and %d by nodes out of touch)", round, w.runs.Load(), w.late.Load(), w.lateOut.Load())
		if w.late.Load() > 0 {
			break
		}
		for _, n := range w.nodes {
			if n.Exited() {
				r.Logf("%s has ended by itself", n.Name)
				return kit.NotRun
			}
		}
	}
	close(stop)
	w.answers.Range(func(k, v any) bool {
		r.Logf("answers with status %v: %d", k, v.(*atomic.Int64).Load())
		return true
	})
	if w.late.Load() > 0 {
		return kit.Broken
	}
	if w.runs.Load() < rate*30 {
		r.Logf("too few requests ran")
		return kit.NotRun
	}
	return kit.Held
}

func main() { kit.Main(run) }
