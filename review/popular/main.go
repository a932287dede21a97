//go:build review

// Command popular sends one popular prompt among others, lets a quarter of the engines crash at once, and counts the
// requests that nodes in touch end with a 4xx of their own.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/review/kit"
)

const (
	engineCount  = 12
	nodeCount    = 3
	rounds       = 7
	roundTime    = 12 * time.Second
	popularFor   = 8 * time.Second
	popularRate  = 11 // requests a second of one tenant with the same prompt
	otherRate    = 24 // requests a second of the same kind with prompts of their own
	longRate     = 20 // requests a second of another kind, with long prompts
	crashAfter   = 4 * time.Second
	crashFor     = 2 * time.Second
	crashedCount = engineCount / 4
	answerLeast  = 7 * time.Second
	answerMost   = 9 * time.Second
	manyEvents   = 56
	fewEvents    = 10
	deadline     = 15 * time.Second
)

var halls = []string{"hall-a", "hall-b", "hall-c"}

type engine struct {
	id, hall, address string
	w                 *world
	server            *http.Server
	running           atomic.Int64
	sequence          int
}

type world struct {
	r       *kit.Record
	store   *kit.Store
	engines []*engine

	mu       sync.Mutex
	sent     int
	statuses map[string]int
	denied   int
}

func (e *engine) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	return nil
}

// announce writes the entry; every start is a new incarnation with a new id.
func (e *engine) announce() {
	e.id, e.sequence = fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), 1
	e.w.store.Put("servers", e.id, map[string]any{"service": "lm", "address": e.address, "zone": e.hall, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence})
}

// ServeHTTP streams an answer.
func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", e.id)
		return
	}
	if id == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != e.id {
		rw.Header().Set("Instance-Id", e.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	running := e.running.Add(1)
	defer e.running.Add(-1)
	e.w.r.Logf("run %s at %s", id, e.id)
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Server-Load", fmt.Sprintf("%d,0,64", running))
	pause, events := (answerLeast+rand.N(answerMost-answerLeast))/manyEvents, manyEvents
	if strings.HasPrefix(r.URL.Path, "/review/") {
		events = fewEvents
	}
	for n := range events {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
		rw.(http.Flusher).Flush()
	}
}

// crash ends the engine without a word, and starts it again later.
func (e *engine) crash() {
	old := e.id
	e.w.r.Logf("srv_crash %s, %d requests at work", old, e.running.Load())
	e.server.Close()
	time.AfterFunc(3600*time.Millisecond, func() { e.w.store.Remove("servers", old) }) // three heartbeats of silence
	time.AfterFunc(crashFor, func() {
		if err := e.listen(e.address); err != nil {
			e.w.r.Logf("%v", err)
			return
		}
		e.announce()
	})
}

// send sends one request, and counts how it ended.
func (w *world) send(c *kit.Clients, path, counts, prefix, body string) {
	address := c.Entry()
	id := kit.NewID()
	a := c.Send(address, http.MethodPost, path, id, deadline, map[string]string{
		"Model": "m", "Token-Counts": counts, "Prompt-Prefix": prefix + id + ":543", "Authorization": "Bearer key-of-team-one",
	}, []byte(body))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	how := fmt.Sprint(a.Status)
	own := a.Header.Get("Response-Seal") == ""
	if a.Status == 0 {
		how = "none"
	} else if own {
		how += " of a node"
	}
	w.statuses[how]++
	if own && a.Status >= 300 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429 {
		w.denied++
		w.r.LogAt(a.Sent, "sent %s to %s: ended with %d %q", id, address, a.Status, a.Body)
		return
	}
	w.r.LogAt(a.Sent, "sent %s to %s: ended with %s after %.3f s", id, address, how, a.Ended.Sub(a.Sent).Seconds())
}

// every calls a function at a rate for some time, each in a goroutine.
func every(wg *sync.WaitGroup, rate int, length time.Duration, f func()) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		wg.Go(f)
	}
}

func run(r *kit.Record, dir string, trouble bool) int {
	store, err := kit.NewStore()
	if err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	w := &world{r: r, store: store, statuses: map[string]int{}}
	store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "r-summary", "host": "lm.example", "path_prefix": "/summary/", "kind": "streaming", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 300, "priority": 0,
				"service": "lm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 250},
			map[string]any{"name": "r-review", "host": "lm.example", "path_prefix": "/review/", "kind": "streaming", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 1200, "priority": 2,
				"service": "lm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 1000},
		},
		"services": []any{map[string]any{"name": "lm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 458638, "kv_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team-one", "api_keys": []string{"key-of-team-one"}}},
	})
	for i := range engineCount {
		e := &engine{w: w, hall: halls[i%3]}
		if err := e.listen("127.0.0.1:0"); err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
		e.announce()
		w.engines = append(w.engines, e)
	}
	var nodes []*kit.Node
	for i := range nodeCount {
		n := kit.NewNode(i, kit.NodeOptions{Dir: dir, Store: store.Address, Halls: halls})
		nodes = append(nodes, n)
		if err := n.Start(true); err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
	}
	defer func() {
		for _, n := range nodes {
			n.Kill()
		}
	}()
	if err := kit.AwaitReady(20*time.Second, nodes...); err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	time.Sleep(4 * time.Second)
	clients := kit.NewClients("lm.example", nodes)
	var wg sync.WaitGroup
	for round := range rounds {
		var load sync.WaitGroup
		load.Go(func() {
			every(&wg, otherRate, roundTime, func() {
				w.send(clients, "/summary/1", "715,336", fmt.Sprintf("%x:103,%x:69,", rand.IntN(8)+16, rand.IntN(30)+256), "question "+kit.NewID())
			})
		})
		load.Go(func() {
			every(&wg, longRate, roundTime, func() {
				w.send(clients, "/review/1", "9190,60", fmt.Sprintf("%x:2520,%x:3780,", rand.IntN(4)+1024, rand.IntN(117)+4096), "script "+kit.NewID())
			})
		})
		body := fmt.Sprintf("the popular question of round %d", round)
		load.Go(func() {
			every(&wg, popularRate, popularFor, func() { w.send(clients, "/summary/1", "715,336", "", body) })
		})
		if trouble {
			time.Sleep(crashAfter)
			for _, i := range rand.Perm(engineCount)[:crashedCount] {
				w.engines[i].crash()
			}
		}
		load.Wait()
		w.mu.Lock()
		denied := w.denied
		w.mu.Unlock()
		r.Logf("round %d: %d ended with a 4xx of a node so far", round, denied)
		if denied > 20 {
			break
		}
	}
	wg.Wait()
	bound := 5 + w.sent/500
	for how, n := range w.statuses {
		r.Logf("ended with %s: %d", how, n)
	}
	r.Logf("%d requests, %d ended with a 4xx of a node, bound %d", w.sent, w.denied, bound)
	for _, n := range nodes {
		if n.Exited() {
			r.Logf("%s has ended by itself", n.Name)
			return kit.NotRun
		}
	}
	if w.denied > bound {
		return kit.Broken
	}
	if w.statuses["200"] < w.sent/2 {
		return kit.NotRun
	}
	return kit.Held
}

func main() { kit.Main(run) }
