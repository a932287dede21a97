package linger

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// slowConns is a listener of slowConns.
	slowConns struct {
		net.Listener
		slow atomic.Bool
		read chan struct{} // read receives a value for each read that has taken bytes while slow is set.
	}

	// slowConn returns what it has read after a while, as in a process that does not get the processor.
	slowConn struct {
		net.Conn
		of *slowConns
	}
)

// Accept implements net.Listener.
func (l *slowConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.of.slow.Load() {
		c.of.read <- struct{}{}
		time.Sleep(closeTurns * closePollInterval / 4)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *slowConn) SyscallConn() (rawConn, error) { return rawOf(c.Conn), nil }

// loseFINs makes the kernel of a caller lose the packets that close its connection; the server's sends them again.
func loseFINs(t *testing.T, c net.Conn) {
	t.Helper()
	const flags, fin = 13, 0x01
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: fin, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffff},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := control(rawOf(c), func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	}); err != nil {
		t.Fatal(err)
	}
}

// TestRequestThatCrossesACloseIsNotRead guards against requests that are read though they can't be answered any more, and whose
// callers are not told, since the packet that closes their connection was lost.
func TestRequestThatCrossesACloseIsNotRead(t *testing.T) {
	const slack = 200 * time.Millisecond // The kernel sends a lost packet again later than that.
	var served atomic.Int64
	r := newRig(t, func(l net.Listener) net.Listener { return l }, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		ok(w, nil)
	})
	c := r.dial()
	r.write(c)
	if _, err := r.read(c); err != nil {
		t.Fatal(err)
	}
	loseFINs(t, c)
	ended := r.shutdown(t.Context())
	time.Sleep(5 * pollInterval) // The connection is closed.
	r.write(c)
	sent := time.Now()
	if _, err := r.read(c); !errors.Is(err, syscall.ECONNRESET) || time.Since(sent) > slack {
		t.Errorf("%v after its last byte the request got %v, want a reset at once", time.Since(sent), err)
	}
	if n := served.Load() - 1; n != 0 || r.stats.Crossed.Load() != 0 {
		t.Errorf("%d requests were served over a closed connection, %d read", n, r.stats.Crossed.Load())
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestRequestReadAsTheServerClosesIsAnswered guards against requests that are read, and dropped since the server is closed before
// their handlers run.
func TestRequestReadAsTheServerClosesIsAnswered(t *testing.T) {
	conns := &slowConns{read: make(chan struct{}, 2)}
	r := newRig(t, func(l net.Listener) net.Listener { conns.Listener = l; return conns }, ok)
	kept, fresh := r.dial(), r.dial()
	r.write(kept)
	if _, err := r.read(kept); err != nil {
		t.Fatal(err)
	}
	conns.slow.Store(true)
	r.write(kept)
	r.write(fresh)
	<-conns.read
	<-conns.read
	if err := r.server.Close(); err != nil {
		t.Error(err)
	}
	for name, c := range map[string]net.Conn{"kept": kept, "fresh": fresh} {
		if resp, err := r.read(c); err != nil || !resp.Close {
			t.Errorf("the request over the %s connection got %v, %v; want an answer that closes it", name, resp, err)
		}
	}
}

// TestAnswerToABodyWhoseReadingWasInterruptedArrives guards against callers that get no answer, since nobody reads the rest of a
// body that they send first.
func TestAnswerToABodyWhoseReadingWasInterruptedArrives(t *testing.T) {
	r := newRig(t, func(l net.Listener) net.Listener { return l }, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_, _ = r.Body.Read(make([]byte, 1))
		_ = control.SetReadDeadline(time.Unix(1, 0))
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Error("the whole body was read")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}, WithLeaving(func() bool { return true }))
	c := r.dial()
	begin := time.Now()
	if err := c.SetWriteDeadline(begin.Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 100_000, strings.Repeat("x", 100_000))
	for i := range 200 {
		if _, err := io.WriteString(c, chunk); err != nil {
			t.Fatalf("write of chunk %d, after %v: %v", i, time.Since(begin), err)
		}
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp, err := r.read(c); err != nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(begin) > 4*time.Second {
		t.Errorf("got %v, %v after %v; want the answer", resp, err, time.Since(begin))
	}
}

// TestNothingIsTakenWhileAServerCloses guards against requests that are read over connections which come, or whose callers get the rest
// of an answer, while Close waits for its last answers: it may cut them.
func TestNothingIsTakenWhileAServerCloses(t *testing.T) {
	for _, name := range []string{"fresh", "kept"} {
		t.Run(name, func(t *testing.T) {
			const size = 256 << 10 // The kernel takes more than the caller's does.
			var served atomic.Int64
			release := make(chan struct{})
			r := newRig(t, func(l net.Listener) net.Listener { return l }, func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				switch r.Method {
				case http.MethodPut:
					_, _ = w.Write(make([]byte, size))
				case http.MethodPost:
					<-release
				}
			})
			defer close(release)
			kept := r.dial().(*net.TCPConn)
			if err := kept.SetReadBuffer(32 << 10); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(kept, "PUT / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(r.dial(), "POST / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			for served.Load() < 2 {
				time.Sleep(time.Millisecond)
			}
			idle := func() bool {
				r.server.mu.Lock()
				defer r.server.mu.Unlock()
				return slices.ContainsFunc(slices.Collect(maps.Keys(r.server.conns)), (*conn).isIdle)
			}
			for !idle() {
				time.Sleep(time.Millisecond) // The answer is being written.
			}
			closed := make(chan error, 1)
			go func() { closed <- r.server.Close() }()
			for !r.server.closed.Load() {
				time.Sleep(closePollInterval / 10)
			}
			time.Sleep(closePollInterval)
			c := net.Conn(kept)
			if name == "fresh" {
				var err error
				if c, err = net.Dial("tcp", r.address); err != nil {
					return // The server has closed by now.
				}
				defer c.Close()
			} else if _, err := r.read(c); err != nil {
				t.Logf("the answer ended with %v", err) // The server has closed by now.
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if err := <-closed; err != nil {
				t.Error(err)
			}
			if n := served.Load(); n != 2 {
				t.Error("a request was taken while the server closed")
			}
		})
	}
}
