package linger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
)

type (
	// heldListener accepts nothing until it is released.
	heldListener struct {
		net.Listener
		release chan struct{}
	}

	// heldConn reads nothing more than it may until it is released, as in a process that does not get the processor.
	heldConn struct {
		*net.TCPConn
		held *heldConns
	}

	// lineWriter receives the lines of a log.
	lineWriter chan string

	// heldConns is a listener of heldConns.
	heldConns struct {
		net.Listener

		mu      sync.Mutex
		hold    bool
		release chan struct{}
	}
)

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

// SyscallConn implements syscall.Conn.
func (l *heldListener) SyscallConn() (raw rawConn, err error) { return rawOf(l.Listener), nil }

// Accept implements net.Listener.
func (l *heldConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c.(*net.TCPConn), l}, nil
}

// Read implements net.Conn. It waits until there is something to read, and then for the release.
func (c *heldConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := raw.Read(func(uintptr) bool { return unread(raw) > 0 || !open(raw) }); err != nil {
		return 0, err
	}
	c.held.mu.Lock()
	hold := c.held.hold
	c.held.mu.Unlock()
	if hold {
		<-c.held.release
	}
	return c.TCPConn.Read(p)
}

// rig is a server and its callers.
type rig struct {
	t       *testing.T
	server  *Server
	address string
	stats   Stats
}

// newRig serves on a listener with an answer to each request.
func newRig(t *testing.T, wrap func(net.Listener) net.Listener, handler http.HandlerFunc, opts ...Option) *rig {
	t.Helper()
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, address: l.Addr().String()}
	r.server = New(&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ConnContext: caller.WithConn}, &r.stats, slog.New(slog.DiscardHandler), opts...)
	serve, served := r.server.Add(wrap(l)), make(chan struct{})
	go func() {
		defer close(served)
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() {
		r.server.Close()
		<-served
	})
	return r
}

// ok answers with 200.
func ok(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }

// dial opens a connection.
func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

// write sends a request.
func (r *rig) write(c net.Conn) {
	r.t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		r.t.Fatal(err)
	}
}

// read reads an answer and reports whether it is whole.
func (r *rig) read(c net.Conn) (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // An error shows at the read.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

// shutdown ends the server in the background.
func (r *rig) shutdown(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- r.server.Shutdown(ctx) }()
	return ended
}

// TestListenerIsClosedAfterItsBacklogIsTaken guards against connections that are reset with their first requests, since
// nobody had accepted them when the server was shut down.
func TestListenerIsClosedAfterItsBacklogIsTaken(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(l net.Listener) net.Listener { return &heldListener{l, release} }, ok)
	var conns []net.Conn
	for range 20 {
		c := r.dial()
		r.write(c)
		conns = append(conns, c)
	}
	ended := r.shutdown(t.Context())
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	for i, c := range conns {
		if resp, err := r.read(c); err != nil || !resp.Close {
			t.Errorf("request %d got %v, %v; want an answer that closes its connection", i, resp, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", r.address); err == nil {
		c.Close()
		t.Error("the server still takes connections")
	}
}

// TestNoConnectionIsAddedToABacklogThatIsTaken guards against connections that come between the last look at a backlog and
// the close of its listener.
func TestNoConnectionIsAddedToABacklogThatIsTaken(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(l net.Listener) net.Listener { return &heldListener{l, release} }, ok)
	held := r.dial()
	r.write(held)
	ended := r.shutdown(t.Context())
	refusing := func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.listeners[0].refusing
	}
	for !refusing() {
		time.Sleep(time.Millisecond)
	}
	late := make(chan error, 1)
	go func() {
		c, err := net.DialTimeout("tcp", r.address, 10*time.Second)
		if err == nil {
			c.Close()
		}
		late <- err
	}()
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	if _, err := r.read(held); err != nil {
		t.Errorf("the connection of the backlog got %v", err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := <-late; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection that came late got %v, want to be refused", err)
	}
}

// TestConnectionsWithUnreadRequestsAreNotClosed guards against requests without an answer on connections that seem to be
// idle, or new, since their requests have not been read yet.
func TestConnectionsWithUnreadRequestsAreNotClosed(t *testing.T) {
	held := &heldConns{release: make(chan struct{})}
	r := newRig(t, func(l net.Listener) net.Listener { held.Listener = l; return held }, ok)
	kept, idle, fresh := r.dial(), r.dial(), r.dial()
	for _, c := range []net.Conn{kept, idle} {
		r.write(c)
		if _, err := r.read(c); err != nil {
			t.Fatal(err)
		}
	}
	held.mu.Lock()
	held.hold = true
	held.mu.Unlock()
	r.write(kept)
	ended := r.shutdown(t.Context())
	if _, err := r.read(idle); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the idle connection ended with %v, want its end", err)
	}
	idle.Close()
	r.write(fresh) // Its caller had connected before the stop.
	time.AfterFunc(100*time.Millisecond, func() { close(held.release) })
	for name, c := range map[string]net.Conn{"kept": kept, "fresh": fresh} {
		if resp, err := r.read(c); err != nil || !resp.Close {
			t.Errorf("the request over the %s connection got %v, %v; want an answer that closes it", name, resp, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestAnswerToAnUnreadBodyArrives guards against answers that are lost as the connection is reset, since the server closes
// it while the caller still sends the body.
func TestAnswerToAnUnreadBodyArrives(t *testing.T) {
	r := newRig(t, func(l net.Listener) net.Listener { return l }, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	c := r.dial()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	piece := strings.Repeat("x", 100_000)
	for range 20 {
		if _, err := io.WriteString(c, piece); err != nil {
			t.Fatalf("write the body: %v", err)
		}
		time.Sleep(50 * time.Millisecond) // The caller's line is slow.
	}
	if resp, err := r.read(c); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %v, %v; want the answer", resp, err)
	}
}

// TestShutdownWaitsForAServerThatHasNotRun guards against a stop that ends at once, and resets what a listener holds, since
// the goroutine that serves it has not run yet.
func TestShutdownWaitsForAServerThatHasNotRun(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, address: l.Addr().String()}
	r.server = New(&http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: 5 * time.Second, ConnContext: caller.WithConn}, &r.stats, slog.New(slog.DiscardHandler))
	serve := r.server.Add(l)
	c := r.dial()
	r.write(c)
	ended := r.shutdown(t.Context())
	select {
	case err := <-ended:
		t.Errorf("ended before the listener was served, with %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	served := make(chan error, 1)
	go func() { served <- serve() }()
	if resp, err := r.read(c); err != nil || !resp.Close {
		t.Errorf("got %v, %v; want an answer that closes its connection", resp, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: %v", err)
	}
}

// TestShutdownIsBounded guards against a stop that lasts as long as callers keep silent connections.
func TestShutdownIsBounded(t *testing.T) {
	r := newRig(t, func(l net.Listener) net.Listener { return l }, ok)
	r.dial()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := <-r.shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the end of the time", err)
	}
}

// TestPanicsAndAbortsAreCountedAndLogged guards against connections that a handler closes without a trace of the request.
func TestPanicsAndAbortsAreCountedAndLogged(t *testing.T) {
	lines := make(chan string, 2)
	r := newRig(t, func(l net.Listener) net.Listener { return l }, func(_ http.ResponseWriter, r *http.Request) {
		caller.ConnOf(r.Context()).SetRequest("request of " + r.Method)
		if r.Method == http.MethodPut {
			panic(http.ErrAbortHandler)
		}
		panic("planted")
	})
	r.server.log = slog.New(slog.NewTextHandler(lineWriter(lines), nil))
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		c := r.dial()
		if _, err := io.WriteString(c, method+" / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := r.read(c); err == nil {
			t.Errorf("%s was answered", method)
		}
	}
	log := <-lines + <-lines
	if panics, aborts := r.stats.Panics.Load(), r.stats.Aborts.Load(); panics != 1 || aborts != 1 {
		t.Errorf("%d panics and %d aborts counted, want one each", panics, aborts)
	}
	for _, want := range []string{`msg="handler panicked" request="request of GET"`, `msg="connection aborted" request="request of PUT"`} {
		if !strings.Contains(log, want) {
			t.Errorf("the log lacks %s: %s", want, log)
		}
	}
}

// TestAnswersThatBeginWhileTheProcessLeavesAskToClose guards against callers that stay with a process which leaves, since it
// did not leave yet when their requests came; the head of an answer may be written in several ways.
func TestAnswersThatBeginWhileTheProcessLeavesAskToClose(t *testing.T) {
	for name, write := range map[string]func(w http.ResponseWriter) error{
		"head":    func(w http.ResponseWriter) error { w.WriteHeader(http.StatusServiceUnavailable); return nil },
		"body":    func(w http.ResponseWriter) error { _, err := io.WriteString(w, "ok"); return err },
		"flush":   func(w http.ResponseWriter) error { return http.NewResponseController(w).Flush() },
		"nothing": func(http.ResponseWriter) error { return nil },
	} {
		for _, leaves := range []bool{false, true} {
			var leaving atomic.Bool
			r := newRig(t, func(l net.Listener) net.Listener { return l }, func(w http.ResponseWriter, _ *http.Request) {
				leaving.Store(leaves)
				if err := write(w); err != nil {
					t.Error(err)
				}
			}, WithLeaving(leaving.Load))
			c := r.dial()
			r.write(c)
			if resp, err := r.read(c); err != nil || resp.Close != leaves {
				t.Errorf("%s, leaves %v: got %v, %v", name, leaves, resp, err)
			}
		}
	}
}

// TestConnectionsClosedUnderRequestsAreLogged guards against requests that the end of a server leaves without a trace: those
// that are served yet, and those whose answers have not arrived whole. Of many, some lines and their number suffice.
func TestConnectionsClosedUnderRequestsAreLogged(t *testing.T) {
	const callers = maxClosedLogged + 5
	var log bytes.Buffer
	release := make(chan struct{})
	var served sync.WaitGroup
	served.Add(callers)
	r := newRig(t, func(l net.Listener) net.Listener { return l }, func(w http.ResponseWriter, r *http.Request) {
		caller.ConnOf(r.Context()).SetRequest("request of " + r.Method)
		if r.Method == http.MethodGet {
			served.Done()
			<-release
			return
		}
		_, _ = w.Write(make([]byte, 128<<10)) // The kernel takes more than the caller's does.
	})
	defer close(release)
	r.server.log = slog.New(slog.NewTextHandler(&log, nil))
	for range callers {
		r.write(r.dial())
	}
	served.Wait()
	r.dial() // Nothing was sent on it.
	c := r.dial().(*net.TCPConn)
	if err := c.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "PUT / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // The answer is written.
	if err := r.server.Close(); err != nil {
		t.Error(err)
	}
	lines := strings.Count(log.String(), "connection closed under a request")
	if waiting := r.stats.ClosedWaiting.Load(); waiting != callers+1 || lines != maxClosedLogged || !strings.Contains(log.String(), "connections="+strconv.Itoa(callers+1-maxClosedLogged)) {
		t.Errorf("%d connections counted, %d lines; want %d: %s", waiting, lines, callers+1, log.String())
	}
	if !strings.Contains(log.String(), `request="request of GET" serving=true`) {
		t.Errorf("the log does not name a request that is served: %s", log.String())
	}
}
