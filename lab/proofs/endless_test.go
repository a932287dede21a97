package proofs

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/testendless"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/croftturn/croftturn/lab/cluster"
)

const (
	// endlessCallers call backends whose answers have no end at the same time, for endlessTime.
	endlessCallers = 48
	endlessTime    = 12 * time.Second

	// endlessStall is when a backend that sends nothing is given up.
	endlessStall = 500 * time.Millisecond

	// endlessMemory is what a node may have resident, in bytes: 32 MB of answers, three times as a buffer that grows is there
	// twice, and as much again until it is collected.
	endlessMemory = 2 * 3 * (32 << 20)

	// endlessLog is what a node may log, in bytes: some lines for each call.
	endlessLog = 4 << 20

	// soundTime bounds a call to a sound backend.
	soundTime = 3 * time.Second

	// stayTime is how long a caller waits for the end of an answer.
	stayTime = 3 * time.Second

	// leftTime is within which calls whose callers have left end: those with a key are read for up to 16 MB, of which a backend
	// writes 6 MB a second.
	leftTime = 20 * time.Second
)

// pacedConn is a connection that pauses before each write. Faster backends take the processor from the node.
type pacedConn struct{ net.Conn }

// Write pauses and writes.
func (c pacedConn) Write(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return c.Conn.Write(p)
}

// endlessKinds returns what backends send, also to those who read their load.
func endlessKinds() []testendless.Bytes {
	stream := "Content-Type: text/event-stream\r\n"
	event := func(delta string) string { return `data: {"choices":[{"delta":{` + delta + `}}]}` + "\n\n" }
	ok := "HTTP/1.1 200 OK\r\n" + stream + "\r\n"
	return append(append(testendless.Heads(), testendless.Bodies(stream)...),
		testendless.Bytes{Name: "events", Beginning: ok, Piece: event(`"content":"` + strings.Repeat("word ", 20) + `"`)},
		testendless.Bytes{Name: "long events", Beginning: ok, Piece: event(`"content":"` + strings.Repeat("word ", 10<<10) + `"`)},
		testendless.Bytes{Name: "events without text", Beginning: ok, Piece: event(`"role":"assistant"`)},
	)
}

// serveEndless starts a backend that answers each request with the bytes.
func serveEndless(t *testing.T, b testendless.Bytes) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // An error shows in the answer.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			b.Write(pacedConn{conn})
			conn.Close()
		}
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// callRun sends a call and reads its answer, or nothing of its body until the context ends.
func callRun(ctx context.Context, node *cluster.Node, path, body, key string, reads bool) (whole bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Caller+path, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+alfa.Token)
	if key != "" {
		req.Header.Set(front.HeaderKey, key)
		req.Header.Set(front.HeaderClass, "submit")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if !reads {
		<-ctx.Done()
		return false, ctx.Err()
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK && err == nil, err
}

// TestRunHoldsAgainstBytesWithoutEnd guards against a process that runs out of memory, whose other callers get no answers or
// whose calls don't end, since engines and backend servers send without end.
func TestRunHoldsAgainstBytesWithoutEnd(t *testing.T) {
	kinds := endlessKinds()
	r := start(t, cluster.Options{Nodes: 2, Engines: 1, Services: 1, Slots: 16, Queue: 16, Settings: func(i int, s map[string]any) {
		quickLeave(i, s)
		s["engine_stall_ms"] = endlessStall.Milliseconds()
	}, Config: func(c *config.Config) {
		c.Pools = append(c.Pools, config.Pool{Name: "wild", Kind: config.PoolKindModel, Models: []string{"wild-1"}, Scheduler: config.PoolSchedulerRoundRobin},
			config.Pool{Name: "wild-bids", Kind: config.PoolKindService, Scheduler: config.PoolSchedulerRoundRobin})
		for i, k := range kinds {
			for _, pool := range []string{"wild", "wild-bids"} {
				if k.Framing > 0 && pool == "wild-bids" {
					continue // The answer to a key has 16 MB without frames, which take too long here.
				}
				c.Engines = append(c.Engines, config.Engine{Name: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Address: serveEndless(t, k), Slots: 8})
			}
		}
	}})
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	var ended, left atomic.Int64 // These count calls of which the answer ended, or the caller left first.
	var callers sync.WaitGroup
	for c := range endlessCallers {
		callers.Go(func() {
			for try := 0; ctx.Err() == nil; try++ {
				kind, reads, node := (c+try)%4, c%2 == 0, r.Nodes[c/4%2]
				id := fmt.Sprintf("%d-%d", c, try)
				chat := `{"model":"wild-1","stream":%t,"messages":[{"role":"user","content":"` + id + `"}]}`
				each, leave := context.WithTimeout(ctx, stayTime)
				switch kind {
				case 0, 1:
					_, _ = callRun(each, node, "/v1/chat/completions", fmt.Sprintf(chat, kind == 0), "", reads)
				case 2, 3:
					_, _ = callRun(each, node, "/services/wild-bids/x", id, []string{"", "key-" + id}[kind-2], reads)
				}
				if each.Err() == nil {
					ended.Add(1)
				} else {
					left.Add(1)
				}
				leave()
			}
		})
	}
	sound, late := 0, time.Duration(0)
	for try := 0; ctx.Err() == nil; try++ {
		node := r.Nodes[try%2]
		each, end := context.WithTimeout(t.Context(), soundTime)
		began := time.Now()
		path, body := "/services/bids/x", "x"
		if try%4 < 2 {
			path, body = "/v1/chat/completions", `{"model":"desk-1","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
		}
		if whole, err := callRun(each, node, path, body, "", true); !whole {
			t.Errorf("the call %d to a sound backend (%s) got no whole answer: %v", try, path, err)
		}
		sound, late = sound+1, max(late, time.Since(began))
		end()
	}
	callers.Wait()
	for _, n := range r.Nodes {
		peak, err := n.PeakMemory()
		if err != nil || n.Exited() || peak > endlessMemory {
			t.Errorf("%s had up to %d bytes, %d allowed; exited: %t, %v", n.Name, peak, endlessMemory, n.Exited(), err)
		}
		var rows []wire.Row
		if err := cluster.Wait(n.Name+" has ended the calls of callers that have left", leftTime, func() bool {
			running, err := r.Statement(t.Context(), n, "running", "")
			if err == nil {
				rows = running.Rows
			}
			return err == nil && len(rows) == 0
		}); err != nil {
			t.Errorf("%v: %+v", err, rows)
		}
		out, err := os.Stat(filepath.Join(r.Dir(), n.Name+".out"))
		if err != nil || out.Size() > endlessLog {
			t.Errorf("%s wrote %d bytes of log, %d allowed: %v", n.Name, out.Size(), endlessLog, err)
		}
		t.Logf("%s had up to %d MB, and wrote %d KB of log", n.Name, peak>>20, out.Size()>>10)
	}
	t.Logf("%d answers without end ended, %d callers left; %d sound calls, the longest took %v", ended.Load(), left.Load(), sound, late)
}

// TestRequestBodiesDoNotTakeTheMemoryOfRun guards against a process that runs out of memory, since each body is bounded and all
// together are not, and against small requests that are refused because of large ones.
func TestRequestBodiesDoNotTakeTheMemoryOfRun(t *testing.T) {
	const memoryMB, callers, bodyBytes, bodyTime = 200, 100, 4 << 20, 4 * time.Second
	r := start(t, cluster.Options{Nodes: 1, Engines: 1, Services: 1, Slots: 16, Queue: 16, Settings: func(_ int, s map[string]any) { s["memory_mb"] = memoryMB }})
	node, began := r.Nodes[0], time.Now()
	const chat = `{"model":"desk-1","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	var refused, served atomic.Int64
	var large sync.WaitGroup
	for i := range callers {
		path, end := "/services/bids/x", "x"
		if i%2 == 0 {
			path, end = "/v1/chat/completions", chat
		}
		large.Go(func() {
			rest, w := io.Pipe()
			defer rest.Close()
			time.AfterFunc(bodyTime, func() { _, _ = io.WriteString(w, end); w.Close() }) // A refused caller reads no more.
			req, err := http.NewRequest(http.MethodPost, "http://"+node.Caller+path, io.MultiReader(strings.NewReader(strings.Repeat(" ", bodyBytes-len(end))), rest))
			if err != nil {
				t.Error(err)
				return
			}
			req.ContentLength = bodyBytes
			req.Header.Set("Authorization", "Bearer "+alfa.Token)
			resp, err := http.DefaultClient.Do(req)
			switch took := time.Since(began); {
			case err != nil:
				t.Errorf("a large call got no answer: %v", err)
				return
			case resp.StatusCode == http.StatusOK:
				served.Add(1)
			case resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun || resp.Header.Get("Retry-After") == "":
				t.Errorf("a large call got status %d, %v after %v", resp.StatusCode, resp.Header, took)
			default:
				refused.Add(1)
			}
			resp.Body.Close()
		})
	}
	for try := 0; time.Since(began) < bodyTime+time.Second; try++ {
		ctx, cancel := context.WithTimeout(t.Context(), soundTime)
		if whole, err := callRun(ctx, node, []string{"/services/bids/x", "/v1/chat/completions"}[try%2], []string{"x", chat}[try%2], "", true); !whole {
			t.Errorf("the small call %d got no whole answer: %v", try, err)
		}
		cancel()
	}
	large.Wait()
	peak, err := node.PeakMemory()
	if most := memoryMB << 20 / 4 / bodyBytes; err != nil || node.Exited() || peak > memoryMB<<20 || served.Load() == 0 || int(served.Load()) > most {
		t.Errorf("the node had up to %d bytes, %d MB allowed; %d large calls were served, %d may; exited: %t, %v", peak, memoryMB, served.Load(), most, node.Exited(), err)
	}
	t.Logf("the node had up to %d MB; %d large calls were served, %d refused", peak>>20, served.Load(), refused.Load())
}
