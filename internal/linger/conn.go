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
	"github.com/croftturn/croftturn/internal/clock"
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

	// conn is a connection of a server.
	conn struct {
		net.Conn
		server     *Server
		raw        rawConn                     // raw is nil if the socket is not known.
		idle       atomic.Bool                 // idle is set between two requests, until a byte of the next one is read.
		idleSince  atomic.Int64                // idleSince is when the connection became idle, in Unix nanoseconds.
		read       atomic.Uint64               // read counts the bytes that were read.
		halfClosed atomic.Bool                 // halfClosed is set once the writing side is closed.
		closedAt   atomic.Int64                // closedAt is when that was, in Unix nanoseconds.
		crossed    atomic.Bool                 // crossed is set if something was read after that.
		serving    atomic.Bool                 // serving is set while a handler runs.
		caller     atomic.Pointer[caller.Conn] // caller is the same connection as handlers know it; nil if they don't.
		closed     sync.Once
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
	own.serving.Store(true)
	return func() { own.serving.Store(false) }
}

// closedBefore returns how long ago this side closed the connection of a context, -1 ms if it did not or is not known to.
func closedBefore(ctx context.Context) time.Duration {
	if own, ok := ctx.Value(connKey{}).(*conn); ok {
		return own.sinceClose()
	}
	return -time.Millisecond
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

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.idle.Store(false) // Before the bytes are counted, so that they are never taken for those of an idle connection.
		c.read.Add(uint64(n))
		if c.halfClosed.Load() && !c.crossed.Swap(true) {
			c.server.stats.Crossed.Add(1)
			c.server.log.Warn("request crossed the close", "closed_ms", c.sinceClose().Milliseconds(), "acknowledged", closeAcknowledged(c.raw), "caller", c.RemoteAddr().String())
		}
	}
	return n, err
}

// CloseWrite closes the writing side; http.Server calls it where a caller may still send the rest of a request.
func (c *conn) CloseWrite() error {
	c.closedAt.CompareAndSwap(0, clock.Now().UnixNano())
	c.halfClosed.Store(true)
	return halfClose(c.raw)
}

// sinceClose returns how long ago the writing side was closed, -1 ms if it is open.
func (c *conn) sinceClose() time.Duration {
	if at := c.closedAt.Load(); at != 0 {
		return clock.Since(time.Unix(0, at))
	}
	return -time.Millisecond
}

// Close closes the connection, and lingers before if the caller may still send something: it would be reset otherwise,
// and the answer lost.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		if !c.server.closed.Load() && (c.halfClosed.Load() || unread(c.raw) > 0) && open(c.raw) {
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
	_ = c.CloseWrite()                                                     // It may be closed already.
	_ = c.SetReadDeadline(time.Now().Add(c.server.http.ReadHeaderTimeout)) // An error shows at the read.
	if c.server.closed.Load() {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // The caller may reset the connection.
}

// end ends the connection if it is idle, and reports whether it is closed. The caller learns of the end first. The server
// is locked.
func (c *conn) end() bool {
	switch {
	case !c.isIdle():
		return false
	case !c.halfClosed.Load():
		_ = c.CloseWrite() // The caller may have reset the connection.
		return false
	case !closeAcknowledged(c.raw):
		return false
	}
	_ = c.Conn.Close() // It may be closed already.
	return true
}

// isIdle reports whether the connection is between two requests and nothing of the next one has come. The kernel's count
// of bytes also tells of those that were read a moment ago.
func (c *conn) isIdle() bool {
	if unread(c.raw) > 0 {
		return false
	}
	read, received := c.read.Load(), tcpInfo(c.raw).Bytes_received
	return c.idle.Load() && (received == 0 || received == read)
}

// logUnread logs bytes that are lost when the connection is closed now.
func (c *conn) logUnread() {
	bytes := unread(c.raw)
	if bytes == 0 {
		return
	}
	c.server.stats.ClosedUnread.Add(1)
	c.server.log.Warn("connection closed with unread bytes", "request", c.caller.Load().Request(), "bytes", bytes, "unread_ms", tcpInfo(c.raw).Last_data_recv, "caller", c.RemoteAddr().String())
}
