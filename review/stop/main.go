//go:build review

// Command stop stops nodes by SIGTERM, one after the other, and checks that no request which such a node has read and
// passed on ends without an answer.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/review/kit"
)

const (
	engineCount = 3
	nodeCount   = 3
	clientCount = 700
	rounds      = 5
	grace       = 8 * time.Second // the platform kills the process after it
	deadline    = 4 * time.Second // the clients' and the route's
	workLeast   = time.Second
	workMost    = 3500 * time.Millisecond
	usedShare   = 0.8             // requests that had used more of their time are left out
	excusedFor  = 3 * time.Second // requests sent so soon after the SIGTERM are left out
)

var halls = []string{"hall-a", "hall-b", "hall-c"}

// runs is what engines did with each attempt.
type runs struct {
	mu    sync.Mutex
	begun map[string]time.Time
	ended map[string]time.Time // to a good end
}

type world struct {
	r     *kit.Record
	nodes []*kit.Node
	runs  *runs

	mu      sync.Mutex
	termAt  map[string]time.Time // caller address -> when the node got SIGTERM, until it is started again
	lost    int
	counts  map[string]int
	stopped bool
}

// client sends one request after the other, to addresses of a directory's answer that it keeps for some time.
func (w *world) client(keep time.Duration) {
	transport := &http.Transport{DisableCompression: true}
	c := &http.Client{Transport: transport}
	var addresses []string
	var askedAt time.Time
	failed := map[string]bool{}
	for {
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if stopped {
			return
		}
		if time.Since(askedAt) > keep {
			if list, ttl := w.resolve(c); len(list) > 0 {
				addresses, askedAt = list, time.Now()
				failed = map[string]bool{}
				if keep == 0 { // The time that the answer gives, or three times as long.
					keep = ttl
					if rand.IntN(3) == 0 {
						keep *= 3
					}
				}
				transport.CloseIdleConnections()
			}
		}
		usable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return failed[a] })
		if len(usable) == 0 {
			time.Sleep(100 * time.Millisecond)
			askedAt = time.Time{}
			continue
		}
		address := usable[rand.IntN(len(usable))]
		if !w.request(c, address) {
			failed[address] = true
		}
		time.Sleep(rand.N(200 * time.Millisecond))
	}
}

// resolve asks up to three nodes where to go.
func (w *world) resolve(c *http.Client) (addresses []string, ttl time.Duration) {
	for _, i := range rand.Perm(len(w.nodes)) {
		n := w.nodes[i]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Directory+"/-/resolve?name=desk.example&region=region&zone="+n.Hall, nil)
		resp, err := c.Do(req)
		var doc struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&doc)
			resp.Body.Close()
		}
		cancel()
		if err == nil && len(doc.Addresses) > 0 {
			return doc.Addresses, time.Duration(min(doc.TTL, 5) * float64(time.Second))
		}
	}
	return nil, 0
}

// request sends one unsafe request, and reports whether the address answered.
func (w *world) request(c *http.Client, address string) bool {
	id := kit.NewID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order/1", bytes.NewReader([]byte("order "+id)))
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.GetBody = nil
	sent := time.Now()
	resp, err := c.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	now := time.Now()
	w.runs.mu.Lock()
	begunAt, begun := w.runs.begun[id]
	_, whole := w.runs.ended[id]
	w.runs.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	how := "no answer"
	if err == nil {
		how = fmt.Sprint("status ", resp.StatusCode)
	}
	w.counts[how]++
	termAt, stopping := w.termAt[address]
	took := now.Sub(sent)
	if err != nil && begun && !whole && stopping && sent.Sub(termAt) > excusedFor && took.Seconds() < usedShare*deadline.Seconds() {
		w.lost++
		w.r.LogAt(sent, "LOST %s: sent to %s %.3f s after its SIGTERM, passed on to an engine %.3f s later, connection closed without an answer after %.3f s of %.1f s (%v)", id, address, sent.Sub(termAt).Seconds(), begunAt.Sub(sent).Seconds(), took.Seconds(), deadline.Seconds(), err)
		return false
	}
	w.r.LogAt(sent, "sent %s to %s: %s after %.3f s, begun by an engine %v", id, address, how, took.Seconds(), begun)
	return err == nil
}

func run(r *kit.Record, dir string, trouble bool) int {
	store, err := kit.NewStore()
	if err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	w := &world{r: r, runs: &runs{begun: map[string]time.Time{}, ended: map[string]time.Time{}}, termAt: map[string]time.Time{}, counts: map[string]int{}}
	store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-order", "host": "desk.example", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 3500, "priority": 0,
			"service": "desk", "max_attempts": 1, "public": true, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 600, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	for i := range engineCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
		id := fmt.Sprintf("i-%d", i)
		go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			attempt := req.Header.Get("Attempt-Id")
			if attempt == "" {
				rw.Header().Set("Instance-Id", id)
				return
			}
			if req.Header.Get("Expect-Instance") != id {
				rw.Header().Set("Instance-Id", id)
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			io.Copy(io.Discard, req.Body)
			w.runs.mu.Lock()
			w.runs.begun[attempt] = time.Now()
			w.runs.mu.Unlock()
			select {
			case <-time.After(workLeast + rand.N(workMost-workLeast)):
			case <-req.Context().Done():
				return
			}
			w.runs.mu.Lock()
			w.runs.ended[attempt] = time.Now()
			w.runs.mu.Unlock()
			rw.Header().Set("Attempt-Id", attempt)
			rw.Header().Set("Response-Seal", "seal-"+attempt)
			io.WriteString(rw, "receipt of "+attempt)
		}))
		store.Put("servers", id, map[string]any{"service": "desk", "address": l.Addr().String(), "zone": halls[i%3], "version": "v1", "slots": 512, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})
	}
	for i := range nodeCount {
		n := kit.NewNode(i, kit.NodeOptions{Dir: dir, Store: store.Address, Halls: halls})
		w.nodes = append(w.nodes, n)
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
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	for range clientCount {
		wg.Go(func() { w.client(0) })
	}
	time.Sleep(5 * time.Second)
	for round := range rounds {
		n := w.nodes[round%nodeCount]
		if trouble {
			w.mu.Lock()
			w.termAt[n.Caller] = time.Now()
			w.mu.Unlock()
			n.Signal(syscall.SIGTERM)
			r.Logf("roll_term: SIGTERM to %s (%s)", n.Name, n.Caller)
			begin := time.Now()
			for !n.Exited() && time.Since(begin) < grace {
				time.Sleep(20 * time.Millisecond)
			}
			if !n.Exited() {
				r.Logf("SIGKILL after grace_s")
				n.Kill()
			}
			r.Logf("%s ended %.3f s after SIGTERM", n.Name, time.Since(begin).Seconds())
			time.Sleep(500 * time.Millisecond)
			w.mu.Lock()
			delete(w.termAt, n.Caller)
			w.mu.Unlock()
			if err := n.Start(false); err != nil {
				r.Logf("%v", err)
				return kit.NotRun
			}
			time.Sleep(4 * time.Second)
		} else {
			time.Sleep(12 * time.Second)
		}
		w.mu.Lock()
		lost := w.lost
		w.mu.Unlock()
		r.Logf("round %d: %d lost", round, lost)
		if lost > 20 {
			break
		}
	}
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	wg.Wait()
	for how, n := range w.counts {
		r.Logf("%s: %d", how, n)
	}
	for _, n := range w.nodes {
		if n.Exited() {
			r.Logf("%s has ended by itself", n.Name)
			return kit.NotRun
		}
	}
	switch {
	case w.lost > 0:
		return kit.Broken
	case w.counts["status 200"] < 500:
		return kit.NotRun
	}
	return kit.Held
}

func main() { kit.Main(run) }
