package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/relay"
)

// slowCaller is a caller that reads its answer slowly.
type slowCaller struct {
	address string
	buffer  int // buffer is the size of its kernel's receive buffer in bytes, 0 for the usual one.
	rate    int // rate is how many bytes it reads a second.
}

// slowReader reads from a connection at a rate.
type slowReader struct {
	net.Conn
	rate int
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	const turns = 50
	time.Sleep(time.Second / turns)
	return r.Conn.Read(p[:min(len(p), max(1, r.rate/turns))])
}

// ask sends a request, more bytes while it runs, and reads the answer, of which it got some bytes, until the context ends.
func (c slowCaller) ask(ctx context.Context, path, id, more string) (status int, got int64, err error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if c.buffer == 0 {
			return nil
		}
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.buffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return 0, 0, err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	req, err := newRequest(ctx, c.address, path, id, "key-1", id+":100", "body of "+id)
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Deadline-Ms", fmt.Sprint(endlessRun.Milliseconds()))
	if err := req.Write(conn); err != nil {
		return 0, 0, err
	}
	defer time.AfterFunc(standstill, func() { _, _ = io.WriteString(conn, more) }).Stop() // The answer shows what came of it.
	resp, err := http.ReadResponse(bufio.NewReader(slowReader{conn, c.rate}), req)
	if err != nil {
		return 0, 0, err
	}
	got, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, got, err
}

// linesOf returns the lines of a node's log that have a message.
func linesOf(t *testing.T, env *Environment, n *node, message string) []map[string]any {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(env.opts.Dir, n.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	var lines []map[string]any
	for text := range strings.Lines(string(log)) {
		line := map[string]any{}
		if json.Unmarshal([]byte(text), &line) == nil && line["msg"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestSlowCallersThatAStopCutsAreInTheLog guards against requests that a stop ends without a line that names them, or with one
// that blames their callers: those whose callers read their answers slowly, with and without a buffer in the node.
func TestSlowCallersThatAStopCutsAreInTheLog(t *testing.T) {
	for name, seed := range map[string]uint64{"buffered": 1, "not buffered": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env, n := startNodesOf(t, seed, endlessRun)
			env.expectExit(n)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var callers sync.WaitGroup
			var mu sync.Mutex
			want := map[string]int{} // want holds the requests whose answers did not come whole.
			for _, route := range routes {
				id := longID(fmt.Sprint(name, "-", route))
				callers.Go(func() {
					status, got, err := slowCaller{n.callerAddress, 4 << 10, 8 << 10}.ask(ctx, fmt.Sprintf("%s/0/%d", route, 6<<20), id, "")
					t.Logf("%s got status %d, %d bytes, %v", id, status, got, err)
					if err != nil {
						mu.Lock()
						defer mu.Unlock()
						want[id] = 1
					}
				})
			}
			time.Sleep(standstill)
			if err := n.Stop(stopGrace); err != nil {
				t.Error(err)
			}
			lines := linesOf(t, env, n, "request ended by the stop")
			begun := 0
			leave()
			callers.Wait()
			for _, line := range lines {
				want[line["request"].(string)]--
				if line["begun"] == true {
					begun++
				}
			}
			for id, missing := range want {
				if missing != 0 {
					t.Errorf("%s has %d lines too few", id, missing)
				}
			}
			if end := linesOf(t, env, n, "connections ended"); len(end) != 1 || end[0]["answers_cut"] != float64(begun) || begun == 0 || len(linesOf(t, env, n, "components stopped")) != 1 {
				t.Errorf("%d answers have a line; the end of the connections is %v", begun, end)
			}
		})
	}
}

// TestWholeAnswersArriveAfterAStop guards against answers that are whole at a node when its stop ends and are lost with it,
// since their callers are far away, read slowly, or have sent more.
func TestWholeAnswersArriveAfterAStop(t *testing.T) {
	const next = "POST /safe/x HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: next\r\nContent-Length: 4\r\n\r\nbody"
	env, n := startTwoNodes(t, endlessRun)
	env.expectExit(n)
	n.callers.Set(relay.Delay)
	var callers sync.WaitGroup
	var lost sync.Map
	for name, c := range map[string]slowCaller{
		"slow": {n.callerAddress, 4 << 10, 32 << 10},
		"far":  {n.callers.Address(), 0, 10 << 20},
	} {
		for _, more := range []string{"", next} {
			for i, route := range []string{routeSafe, routeResumable} {
				for _, size := range []int{100 << 10, 1 << 20} {
					c := c
					if size > 100<<10 && name == "slow" {
						c.buffer, c.rate = 64<<10, 256<<10
					}
					work := 2*standstill + stopGrace - 700*time.Millisecond - time.Duration(i)*200*time.Millisecond // They end just before the cut.
					if name == "far" {
						work -= 2 * relayDelay
					}
					id := longID(fmt.Sprint(name, "-", route, "-", size, "-", len(more)))
					callers.Go(func() {
						status, got, err := c.ask(t.Context(), fmt.Sprintf("%s/%d/%d", route, work.Milliseconds(), size), id, more)
						if status != success || got < int64(size) || err != nil {
							lost.Store(id, fmt.Sprintf("status %d, %d bytes, %v", status, got, err))
						}
					})
				}
			}
		}
	}
	time.Sleep(2 * standstill)
	if err := n.Stop(stopGrace); err != nil {
		t.Error(err)
	}
	callers.Wait()
	for _, message := range []string{"request ended by the stop", "request ended"} {
		for _, line := range linesOf(t, env, n, message) {
			if line["outcome"] != "answered" {
				lost.Delete(line["request"]) // It was not whole at the node.
			}
		}
	}
	lost.Range(func(id, how any) bool {
		t.Errorf("%v got %v", id, how)
		return true
	})
	whole := len(linesOf(t, env, n, "request ended")) - len(linesOf(t, env, n, "request ended by the stop"))
	if t.Logf("%d answers were whole at the node, %d not yet with their callers at its end", whole, len(linesOf(t, env, n, "connection closed under a request"))); whole < callersOfEach {
		t.Error("too few requests ended before the stop did")
	}
}
