// Package linger serves HTTP and ends servers in order. A connection is not closed while a request lies unread in it or in
// the backlog of its listener: the kernel would drop the request, and maybe an answer that is on its way, and the caller
// could not tell whether it has run.
package linger

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// pollInterval is how often the state of connections is looked at while the server ends. Handshakes that have
	// begun end within it.
	pollInterval = 10 * time.Millisecond

	// closeTurns bounds how often Close looks whether the last answers have been written, and closePollInterval is how long it
	// waits between. Turns are counted, not time: a process that stood still has not answered meanwhile.
	closeTurns        = 20
	closePollInterval = time.Millisecond

	// maxStack is how much of the stack of a panic is logged, in bytes.
	maxStack = 2 << 10

	// maxClosedLogged is how many connections that Close cuts short have a line of their own.
	maxClosedLogged = 100
)

type (
	// Server is an HTTP server that ends its connections in order.
	Server struct {
		http    *http.Server
		stats   *Stats
		log     *slog.Logger
		handler http.Handler
		leaving func() bool // leaving reports whether callers should go elsewhere.
		share   float64     // share is that of the process's descriptors which connections may take, 0 for no bound.
		ending  atomic.Bool // ending is set once Shutdown was called.
		closed  atomic.Bool // closed is set once Close was called.

		mu        sync.Mutex
		listeners []*listener
		conns     map[*conn]struct{}
	}

	// Stats are the figures of servers.
	Stats struct {
		Panics        atomic.Int64 // Panics counts requests whose handler panicked.
		Aborts        atomic.Int64 // Aborts counts requests whose handler closed the connection without a whole answer.
		ClosedUnread  atomic.Int64 // ClosedUnread counts connections that were closed though bytes lay unread in them.
		ClosedUntaken atomic.Int64 // ClosedUntaken counts connections that their listener held when it was closed.
		ClosedWaiting atomic.Int64 // ClosedWaiting counts connections that Close closed though their callers had not got a whole answer.
		Crossed       atomic.Int64 // Crossed counts idle connections that were closed as a request came, which was not read.
	}

	// Option configures a Server.
	Option func(*Server)
)

// New returns a Server that serves as the given one, which is not used otherwise any more.
func New(h *http.Server, stats *Stats, log *slog.Logger, opts ...Option) *Server {
	s := &Server{http: h, stats: stats, log: log, handler: h.Handler, leaving: func() bool { return false }, conns: map[*conn]struct{}{}}
	for _, o := range opts {
		o(s)
	}
	h.Handler, h.ConnState, h.ConnContext = s, s.stateChanged, withConn(h.ConnContext)
	return s
}

// ServeHTTP implements http.Handler. Panics and aborts of the handler are logged with the id that it gave to the connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := caller.ConnOf(r.Context())
	conn.SetRequest("")
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			s.stats.Aborts.Add(1)
			s.log.Info("connection aborted", "request", conn.Request(), "path", r.URL.Path)
			panic(p)
		default:
			s.stats.Panics.Add(1)
			stack := debug.Stack()
			s.log.Error("handler panicked", "request", conn.Request(), "path", r.URL.Path, "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStack)]))
			panic(http.ErrAbortHandler)
		}
	}()
	defer setServing(r.Context())()
	a := &answer{ResponseWriter: w, server: s}
	s.handler.ServeHTTP(a, r)
	a.begin()
}

// Serve accepts and serves the connections of a listener until Shutdown or Close. Its error is never nil.
func (s *Server) Serve(l net.Listener) error { return s.Add(l)() }

// Add takes over a listener, so that Shutdown waits for what it holds, and returns what serves it, as Serve does. Serve in a
// goroutine of its own may run after Shutdown.
func (s *Server) Add(l net.Listener) (serve func() error) {
	done := make(chan struct{})
	own := &listener{Listener: l, server: s, raw: rawOf(l), done: done}
	s.mu.Lock()
	s.listeners = append(s.listeners, own)
	s.mu.Unlock()
	return func() error {
		defer close(done)
		err := s.http.Serve(own)
		if s.ending.Load() || s.closed.Load() {
			return http.ErrServerClosed
		}
		return err
	}
}

// Shutdown ends the server in order: it takes no new connections but serves those that wait to be accepted, answers what
// was sent on all of them, and asks callers to close them. Connections on which nothing was sent yet are waited for. It
// returns when no connection is left, or the error of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	s.ending.Store(true)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		listening := s.stopListening()
		if left := s.endConns(); !listening && left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("end connections: %w", ctx.Err())
		case <-tick.C:
		}
	}
}

// Connections returns how many connections the server has.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections, and logs what is lost by it. Requests that were read a moment ago are answered if their
// handlers are quick.
func (s *Server) Close() error {
	s.ending.Store(true)
	s.closed.Store(true)
	untaken := s.stopReading()
	s.awaitRead()
	s.logWaiting()
	s.stats.ClosedUntaken.Add(int64(untaken))
	if untaken > 0 {
		s.log.Warn("listener closed before its connections were taken", "connections", untaken)
	}
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}

// stopReading ends the connections of which no request has been read, and returns how many the listeners hold.
func (s *Server) stopReading() (untaken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		untaken += backlog(l.raw)
	}
	for c := range s.conns {
		c.stopReading()
	}
	return untaken
}

// awaitRead waits until all connections are closed, since what was read of them is answered, but not for long.
func (s *Server) awaitRead() {
	for turn := 0; s.Connections() > 0 && turn < closeTurns; turn++ {
		time.Sleep(closePollInterval)
	}
}

// logWaiting logs and counts the connections whose callers wait for an answer or for the rest of one. What the kernel holds
// of it still leaves this machine.
func (s *Server) logWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := 0
	for c := range s.conns {
		serving, unacknowledged := c.isServing(), c.caller.Load().Unread()
		if !serving && unacknowledged <= 0 {
			continue
		}
		if waiting++; waiting <= maxClosedLogged {
			s.log.Warn("connection closed under a request", "request", c.caller.Load().Request(), "serving", serving, "unacknowledged_bytes", unacknowledged, "unread_bytes", unread(c.raw), "caller", c.RemoteAddr().String())
		}
	}
	if waiting > maxClosedLogged {
		s.log.Warn("more connections closed under requests", "connections", waiting-maxClosedLogged)
	}
	s.stats.ClosedWaiting.Add(int64(waiting))
}

// stopListening closes the listeners that hold no connections any more. It reports whether one may still accept.
func (s *Server) stopListening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listening := false
	for _, l := range s.listeners {
		listening = !l.stop() || listening
	}
	return listening
}

// endConns ends the connections on which nothing waits, and returns how many are left.
func (s *Server) endConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.end()
	}
	return len(s.conns)
}

// stateChanged implements http.Server.ConnState.
func (s *Server) stateChanged(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	c.setBetween(state == http.StateIdle, clock.Now())
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
