package linger

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
)

type (
	// connKey is the key of a conn in contexts.
	connKey struct{}

	// listener accepts connections and adds them to its server.
	listener struct {
		net.Listener
		server   *Server
		raw      rawConn         // raw is nil if the socket is not known.
		done     <-chan struct{} // done is closed when nothing more is accepted.
		refusing bool            // refusing is set once new connections are refused.
		empty    bool            // empty is set if the backlog was empty at the last look.
	}

	// conn is a connection of a server. A request is read only while it can be answered: to end a connection between two
	// requests, its reads are ended, and the goroutine that reads closes it.
	conn struct {
		net.Conn
		server     *Server
		raw        rawConn                     // raw is nil if the socket is not known.
		idleSince  atomic.Int64                // idleSince is when the last answer ended, in Unix nanoseconds.
		halfClosed atomic.Bool                 // halfClosed is set once the writing side is closed.
		caller     atomic.Pointer[caller.Conn] // caller is the same connection as handlers know it; nil if they don't.
		closed     sync.Once

		mu       sync.Mutex
		between  bool      // between is set from the end of an answer until a byte of the next request is read.
		idle     bool      // idle is set while a read waits between two requests.
		begun    bool      // begun is set once something was read.
		serving  bool      // serving is set while a handler runs.
		ending   bool      // ending is set once reads are ended.
		deadline time.Time // deadline is the read deadline that the server has set.
	}
)

// withConn returns a ConnContext that adds to another one, nil for none, what the server knows of a connection.
func withConn(next func(ctx context.Context, c net.Conn) context.Context) func(ctx context.Context, c net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		own, ok := c.(*conn)
		if !ok {
			return ctx
		}
		own.caller.Store(caller.ConnOf(ctx))
		return context.WithValue(ctx, connKey{}, own)
	}
}

// setServing records that a handler runs on the connection of a context, until the returned function is called.
func setServing(ctx context.Context) (end func()) {
	own, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	own.setServing(true)
	return func() { own.setServing(false) }
}

// Listen listens on a TCP address, without multipath TCP: the kernel can't refuse handshakes of such a listener.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.server.awaitRoom()
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, raw: rawOf(inner)}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	if l.server.closed.Load() {
		c.stopReading()
	}
	return c, nil
}

// stop closes the listener once the backlog is empty. It reports whether all that was accepted is known to the server.
func (l *listener) stop() bool {
	if !l.refusing {
		_ = refuseHandshakes(l.raw) // Without it, what comes between the last look and the close is lost.
		l.refusing = true
	}
	select {
	case <-l.done:
		return true
	default:
	}
	empty := backlog(l.raw) == 0
	if empty && l.empty {
		_ = l.Listener.Close() // It may be closed already.
	}
	l.empty = empty
	return false
}

// CloseListener closes a listener once it holds no more connections. It returns when all that it accepted was taken, which
// taken tells by being closed, or with the error of the context.
func CloseListener(ctx context.Context, l net.Listener, taken <-chan struct{}) error {
	own := &listener{Listener: l, raw: rawOf(l), done: taken}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !own.stop() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("take the backlog: %w", ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errNoSocket
	}
	return c.raw, nil
}

// Read implements net.Conn. It fails with io.EOF, and has read nothing, if the connection ends between two requests.
func (c *conn) Read(p []byte) (int, error) {
	c.await()
	n, err := c.Conn.Read(p)
	if n == 0 && c.isEnding() {
		c.awaitLastAnswer()
		return 0, io.EOF
	}
	if n > 0 {
		c.arrive()
	}
	return n, err
}

// awaitLastAnswer waits until the caller has got the whole of its last answer, or until the connection is closed, if the server is
// being closed: Close tells of those that have not.
func (c *conn) awaitLastAnswer() {
	for c.server.closed.Load() && c.caller.Load().Unread() > 0 {
		time.Sleep(closePollInterval)
	}
}

// await records that a read begins.
func (c *conn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.between && !c.serving
}

// arrive records that something was read. A connection whose reads were being ended goes on: what was read is answered.
func (c *conn) arrive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.between, c.idle = true, false, false
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.deadline) // An error shows at the next read.
	}
}

// isEnding reports whether reads are ended.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// isServing reports whether a handler runs.
func (c *conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// isIdle reports whether a read waits between two requests.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// setServing records whether a handler runs.
func (c *conn) setServing(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = serving
}

// setBetween records whether the last answer has ended and nothing of the next request has come.
func (c *conn) setBetween(between bool, now time.Time) {
	c.idleSince.Store(now.UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.between = between
	c.idle = c.idle && between
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side; http.Server calls it where a caller may still send the rest of a request.
func (c *conn) CloseWrite() error {
	c.halfClosed.Store(true)
	return halfClose(c.raw)
}

// Close closes the connection, and lingers before if the caller may still send something behind an answered request: it would be
// reset otherwise, and the answer lost.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		if !c.server.closed.Load() && !c.isIdle() && (c.halfClosed.Load() || unread(c.raw) > 0) && open(c.raw) {
			c.linger()
		}
		c.logUnread()
		c.server.remove(c)
		err = c.Conn.Close()
	})
	return err
}

// linger reads what the caller still sends until it closes the connection, but not longer than it may take for a request.
func (c *conn) linger() {
	_ = c.CloseWrite()                                                          // It may be closed already.
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.http.ReadHeaderTimeout)) // An error shows at the read.
	if c.server.closed.Load() {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // The caller may reset the connection.
}

// end ends the connection if it is idle and nothing lies unread in it. What comes from now on is not read, so that the caller's
// request meets a reset at once: it could not be answered any more, and the caller may not know of the close for long.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.serving && unread(c.raw) == 0 {
		c.endReads()
	}
}

// stopReading ends the connection if nothing of a request has been read, whether or not one lies unread in it, and lingering.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle && !c.serving, !c.begun:
		c.endReads()
	case c.halfClosed.Load():
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // An error means that the connection is closed.
	}
}

// endReads makes the read that waits fail, and each one after it. The caller holds the lock.
func (c *conn) endReads() {
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // An error means that the connection is closed.
}

// logUnread logs bytes that are lost when the connection is closed now.
func (c *conn) logUnread() {
	bytes := unread(c.raw)
	if bytes == 0 {
		return
	}
	message, counter := "connection closed with unread bytes", &c.server.stats.ClosedUnread
	if c.isEnding() && !c.server.closed.Load() {
		message, counter = "request crossed the close", &c.server.stats.Crossed
	}
	counter.Add(1)
	c.server.log.Warn(message, "request", c.caller.Load().Request(), "bytes", bytes, "unread_ms", tcpInfo(c.raw).Last_data_recv, "caller", c.RemoteAddr().String())
}
