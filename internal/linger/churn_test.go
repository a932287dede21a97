package linger

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type (
	// countedConns is a listener whose connections count what is read from them, by the address of their callers.
	countedConns struct {
		net.Listener
		took sync.Map
	}

	// countedConn counts the bytes that are read.
	countedConn struct {
		net.Conn
		took *atomic.Int64
	}

	// busyCaller sends requests over one connection until it ends.
	busyCaller struct {
		rig   *rig
		conns *countedConns
		rand  *rand.Rand
		name  string
		sent  int64 // sent counts bytes.
	}

	// lostRequest is a request that got no answer though it was read whole, or served.
	lostRequest struct {
		kind   string
		served bool
		err    error
	}
)

// Accept implements net.Listener.
func (l *countedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	took := new(atomic.Int64)
	l.took.Store(c.RemoteAddr().String(), took)
	return &countedConn{c, took}, nil
}

// SyscallConn implements syscall.Conn.
func (l *countedConns) SyscallConn() (rawConn, error) { return rawOf(l.Listener), nil }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.took.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (rawConn, error) { return rawOf(c.Conn), nil }

// request returns a request of a random shape.
func (b *busyCaller) request(id string) string {
	switch b.rand.IntN(3) {
	case 0:
		return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", id)
	case 1:
		body := strings.Repeat("x", b.rand.IntN(10_000))
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	default:
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", id)
	}
}

// run sends requests, and returns those that are lost. behind counts those that were sent with another one whose answer was the
// last.
func (b *busyCaller) run(served *sync.Map, answered, behind *atomic.Int64) (lost []lostRequest) {
	c, err := net.Dial("tcp", b.rig.address)
	if err != nil {
		return nil
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	answers := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		kind := []string{"whole", "pieces", "pipelined"}[b.rand.IntN(3)]
		var ids []string
		var ends []int64
		text := ""
		for i := range 1 + b.rand.IntN(3) {
			if i > 0 && kind != "pipelined" {
				break
			}
			id := fmt.Sprintf("%s-%d-%d", b.name, turn, i)
			text += b.request(id)
			ids, ends = append(ids, id), append(ends, b.sent+int64(len(text)))
		}
		pieces := 1
		if kind == "pieces" {
			pieces = 2 + b.rand.IntN(3)
		}
		failed := false
		for rest := text; rest != "" && !failed; pieces-- {
			n := len(rest)
			if pieces > 1 {
				n = 1 + b.rand.IntN(len(rest))
			}
			written, err := io.WriteString(c, rest[:n])
			b.sent += int64(written)
			failed = err != nil
			rest = rest[n:]
			if rest != "" {
				time.Sleep(time.Duration(b.rand.IntN(2000)) * time.Microsecond)
			}
		}
		closed := false
		for i, id := range ids {
			resp, err := http.ReadResponse(answers, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				answered.Add(1)
				closed = closed || resp.Close
				continue
			}
			if err == nil {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
			_, ran := served.Load(id)
			if closed && !ran {
				behind.Add(1)
				continue
			}
			took, ok := b.conns.took.Load(c.LocalAddr().String())
			if ran || ok && took.(*atomic.Int64).Load() >= ends[i] {
				lost = append(lost, lostRequest{kind, ran, err})
			}
			closed = true
		}
		if closed || failed {
			return lost
		}
		if b.rand.IntN(2) == 0 {
			time.Sleep(time.Duration(b.rand.IntN(4000)) * time.Microsecond)
		}
	}
}

// TestRequestsThatAreReadWhileAServerEndsAreAnswered guards against requests that get nothing, though they were read or served, on
// connections that seem to be idle at a stop.
func TestRequestsThatAreReadWhileAServerEndsAreAnswered(t *testing.T) {
	const rounds, callers = 20, 100
	var answered, behind atomic.Int64
	for round := range rounds {
		var served sync.Map
		conns := &countedConns{}
		r := newRig(t, func(l net.Listener) net.Listener { conns.Listener = l; return conns }, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			served.Store(r.URL.Path[1:], true)
			if len(r.URL.Path)%2 == 0 {
				time.Sleep(time.Millisecond)
			}
			if r.Context().Err() != nil {
				t.Error("a request's context has ended before its answer")
			}
			ok(w, r)
		})
		var wg sync.WaitGroup
		var mu sync.Mutex
		var lost []lostRequest
		for i := range callers {
			wg.Go(func() {
				b := &busyCaller{rig: r, conns: conns, rand: rand.New(rand.NewPCG(uint64(round), uint64(i))), name: fmt.Sprint(i)}
				l := b.run(&served, &answered, &behind)
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, l...)
			})
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		if err := <-r.shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		wg.Wait()
		for _, l := range lost {
			t.Errorf("round %d: a request sent %s got %v, served %v", round, l.kind, l.err, l.served)
		}
	}
	t.Logf("%d requests answered, %d sent behind a last answer", answered.Load(), behind.Load())
}
