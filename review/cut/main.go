//go:build review

// Command cut replaces engines of which a few answers have no length, and checks that no stream ends as complete before
// its last event. Engines are processes of this program (`cut engine`).
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/review/kit"
)

const (
	engineCount   = 9
	nodeCount     = 3
	rounds        = 4
	replacedCount = 4 // release: share 0.5 of 9 engines, one after the other
	gap           = 1000 * time.Millisecond
	drain         = 2 * time.Second
	littleLonger  = 1500 * time.Millisecond
	rate          = 50
	faultyShare   = 0.6  // garble, unframed: share of the engines
	unframedShare = 0.05 // and of their answers
	answerLeast   = 6 * time.Second
	answerMost    = 9 * time.Second
	events        = 56
	deadline      = 15 * time.Second
)

var halls = []string{"hall-a", "hall-b", "hall-c"}

// runEngine serves as an engine until it is killed. It says on its output which requests it runs and ends.
func runEngine(id string, faulty bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(kit.NotRun)
	}
	fmt.Printf("address %s\n", l.Addr())
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		if r.URL.Path == "/health" {
			w.Header().Set("Instance-Id", id)
			return
		}
		if attempt == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Header.Get("Expect-Instance") != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		var out io.Writer = w
		flush := func() { w.(http.Flusher).Flush() }
		unframed := faulty && rand.Float64() < unframedShare
		fmt.Printf("run %s %v\n", attempt, unframed)
		if unframed {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			out, flush = conn, func() {}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, attempt)
		} else {
			w.Header().Set("Attempt-Id", attempt)
			w.Header().Set("Response-Seal", "seal-"+attempt)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		pause := (answerLeast + rand.N(answerMost-answerLeast)) / events
		for n := range events {
			time.Sleep(pause)
			if _, err := io.WriteString(out, eventText(attempt, n+1)); err != nil {
				return
			}
			flush()
		}
		fmt.Printf("end %s\n", attempt)
	}))
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// engine is an engine process.
type engine struct {
	id, hall, address string
	cmd               *exec.Cmd
}

// stream is what is known of one request.
type stream struct {
	engine          string
	unframed, ended bool
}

type world struct {
	r     *kit.Record
	store *kit.Store

	mu       sync.Mutex
	engines  []*engine
	streams  map[string]*stream
	statuses map[string]int
	sent     int
	early    int
}

func (w *world) startEngine(i int) (*engine, error) {
	e := &engine{id: fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), hall: halls[i%3]}
	faulty := rand.Float64() < faultyShare
	e.cmd = exec.Command(os.Args[0], "engine", e.id, strconv.FormatBool(faulty))
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- e.cmd.Start()
		select {}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("engine %s did not start", e.id)
	}
	e.address = strings.TrimPrefix(lines.Text(), "address ")
	go func() {
		for lines.Scan() {
			f := strings.Fields(lines.Text())
			w.mu.Lock()
			switch f[0] {
			case "run":
				w.streams[f[1]] = &stream{engine: e.id, unframed: f[2] == "true"}
			case "end":
				w.streams[f[1]].ended = true
			}
			w.mu.Unlock()
		}
		e.cmd.Wait()
	}()
	w.entry(e, "ready", 1)
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	w.r.Logf("engine %s starts at %s, some answers without a length: %v", e.id, e.address, faulty)
	return e, nil
}

func (w *world) entry(e *engine, state string, sequence int) {
	w.store.Put("servers", e.id, map[string]any{"service": "lm", "address": e.address, "zone": e.hall, "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": sequence})
}

// replace starts a new engine, drains an old one and ends its process.
func (w *world) replace(i int) error {
	w.mu.Lock()
	old := w.engines[0]
	w.engines = w.engines[1:]
	w.mu.Unlock()
	if _, err := w.startEngine(i); err != nil {
		return err
	}
	w.entry(old, "draining", 2)
	w.r.Logf("engine %s says draining", old.id)
	time.AfterFunc(drain+littleLonger, func() {
		old.cmd.Process.Kill()
		w.store.Remove("servers", old.id)
		w.r.Logf("engine %s ends", old.id)
	})
	return nil
}

// send sends one request and compares the answer with that of its engine.
func (w *world) send(c *kit.Clients) {
	id, address := kit.NewID(), c.Entry()
	a := c.Send(address, http.MethodPost, "/summary/1", id, deadline, map[string]string{
		"Model": "m", "Token-Counts": "715,336", "Prompt-Prefix": fmt.Sprintf("%x:103,%x:69,%s:543", rand.IntN(8)+16, rand.IntN(55)+256, id), "Authorization": "Bearer key-of-team-one",
	}, []byte("question "+id))
	var whole strings.Builder
	for n := range events {
		whole.WriteString(eventText(id, n+1))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	how := fmt.Sprint(a.Status)
	s := w.streams[id]
	if s == nil {
		s = &stream{engine: "none"}
	}
	switch {
	case a.Status == 0:
		how = "no whole answer"
	case a.Status == 200 && string(a.Body) == whole.String():
		how = "whole answer"
	case a.Status == 200:
		how = "an answer that looks complete and is not"
		w.early++
		w.r.LogAt(a.Ended, "EARLY END of %s, sent to %s: status 200 and the end of a whole answer after %d of %d events; engine %s, unframed %v, ended its run %v", id, address, strings.Count(string(a.Body), "\n\n"), events, s.engine, s.unframed, s.ended)
	}
	w.statuses[how]++
	w.r.LogAt(a.Sent, "sent %s to %s, run by %s (unframed %v, run to its end %v): %s", id, address, s.engine, s.unframed, s.ended, how)
}

func run(r *kit.Record, dir string, trouble bool) int {
	store, err := kit.NewStore()
	if err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	w := &world{r: r, store: store, streams: map[string]*stream{}, statuses: map[string]int{}}
	store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-summary", "host": "lm.example", "path_prefix": "/summary/", "kind": "streaming", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 1200, "priority": 0,
			"service": "lm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 250}},
		"services": []any{map[string]any{"name": "lm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 458638, "kv_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team-one", "api_keys": []string{"key-of-team-one"}}},
	})
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range w.engines {
			e.cmd.Process.Kill()
		}
	}()
	for i := range engineCount {
		if _, err := w.startEngine(i); err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
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
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second / rate)
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				wg.Go(func() { w.send(clients) })
			}
		}
	}()
	time.Sleep(6 * time.Second)
	for round := range rounds {
		if trouble {
			for i := range replacedCount {
				if err := w.replace(round*replacedCount + i); err != nil {
					r.Logf("%v", err)
					return kit.NotRun
				}
				time.Sleep(gap)
			}
		} else {
			time.Sleep(replacedCount * gap)
		}
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		early := w.early
		w.mu.Unlock()
		r.Logf("round %d: %d streams ended too early as complete", round, early)
		if early > 5 {
			break
		}
	}
	close(stop)
	wg.Wait()
	for how, n := range w.statuses {
		r.Logf("%s: %d", how, n)
	}
	for _, n := range nodes {
		if n.Exited() {
			r.Logf("%s has ended by itself", n.Name)
			return kit.NotRun
		}
	}
	if w.early > 0 {
		return kit.Broken
	}
	if w.statuses["whole answer"] < w.sent/2 {
		return kit.NotRun
	}
	return kit.Held
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		runEngine(os.Args[2], os.Args[3] == "true")
		return
	}
	kit.Main(run)
}
