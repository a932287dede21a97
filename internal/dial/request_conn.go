package dial

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/internal/clock"
)

const (
	// maxAskTime is how old the answer may be with which a write begins, and askTries how often a process that keeps
	// standing still asks.
	maxAskTime = 5 * time.Millisecond
	askTries   = 4
)

type (
	// RequestConn is a connection on which requests are written one after the other, and nothing else. Each can be
	// withheld up to the moment at which it is written.
	RequestConn struct {
		net.Conn
		hooks  atomic.Pointer[Hooks]
		writes atomic.Int64
		closed atomic.Bool
		begun  atomic.Int64 // begun is how many writes came before the present request.

		sending atomic.Pointer[sending] // sending is that of the latest request of a Transport; nil if there was none.
		closing chan struct{}           // closing is closed before the connection is.
		close   func()                  // close closes closing, once.

		writing  sync.Mutex // writing is held during a write.
		writeErr error      // writeErr is that of the first write that failed.
	}

	// Hooks are what a RequestConn calls for one request, in any goroutine. Each may be nil.
	Hooks struct {
		// MayWrite is asked before each write, which fails with its error, and again if the process stood still since;
		// first is set until a write has sent something.
		MayWrite func(now time.Time, first bool) error

		// Wrote is called after each write with the time since MayWrite was asked.
		Wrote func(took time.Duration)

		// Closing is called when the connection is closed before the request has ended.
		Closing func(q Queue)
	}

	// Queue is what the kernel holds of the bytes written to a connection.
	Queue struct {
		Unacked int // Unacked is how many bytes the peer has not acknowledged.
		Unsent  int // Unsent is how many of these were never sent.
	}
)

// NewRequestConn returns a RequestConn on a connection.
func NewRequestConn(c net.Conn) *RequestConn {
	closing := make(chan struct{})
	return &RequestConn{Conn: c, closing: closing, close: sync.OnceFunc(func() { close(closing) })}
}

// requestConn makes a connection known that embeds a RequestConn.
func (c *RequestConn) requestConn() *RequestConn { return c }

// Begin begins a request and returns the number of writes so far. end ends it, unless another has begun.
func (c *RequestConn) Begin(h Hooks) (writes int64, end func()) {
	writes = c.writes.Load()
	c.begun.Store(writes)
	c.hooks.Store(&h)
	return writes, func() { c.hooks.CompareAndSwap(&h, nil) }
}

// Writes returns how many writes have sent something, or are about to.
func (c *RequestConn) Writes() int64 { return c.writes.Load() }

// Write counts the write before it starts, and discounts one that failed without sending anything.
func (c *RequestConn) Write(p []byte) (int, error) {
	h, now := c.hooks.Load(), clock.Now()
	if h != nil && h.MayWrite != nil {
		var err error
		if now, err = c.ask(h, now); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	n, err := c.write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	if h != nil && h.Wrote != nil {
		h.Wrote(clock.Since(now))
	}
	return n, err
}

// write writes and keeps the first error for reads.
func (c *RequestConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It fails in the head of an answer that is none, and returns io.EOF only where that can be
// the end that the peer made.
func (c *RequestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if s := c.sending.Load(); s != nil {
		if malformed := s.head.read(p[:n]); malformed != nil {
			return 0, malformed
		}
	}
	if errors.Is(err, io.EOF) {
		if cut := c.checkEnd(); cut != nil {
			return n, cut
		}
	}
	return n, err
}

// ask asks whether a write may begin, and again if the process stood still since: a write is as late as the answer
// is old. It returns when the question was asked last.
func (c *RequestConn) ask(h *Hooks, now time.Time) (askedAt time.Time, err error) {
	for range askTries {
		if err := h.MayWrite(now, c.writes.Load() == c.begun.Load()); err != nil {
			return now, err
		}
		answered := clock.Now()
		if answered.Sub(now) < maxAskTime {
			break
		}
		now = answered
	}
	return now, nil
}

// Close closes the connection. Before a request has ended it resets the connection, or the kernel would still send
// what it holds of the request.
func (c *RequestConn) Close() error {
	c.close()
	// The hooks stay: a write beside the close asks them still.
	if h := c.hooks.Load(); h != nil && !c.closed.Swap(true) {
		if h.Closing != nil {
			h.Closing(c.queue())
		}
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // An error means that the connection is closed.
		}
	}
	return c.Conn.Close()
}

// queue asks the kernel for the state of the send buffer.
func (c *RequestConn) queue() Queue {
	var q Queue
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return q
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return q
	}
	// An error means that the connection is closed, or no TCP connection: it holds nothing.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			q.Unacked = n
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err == nil {
			q.Unsent = n
		}
	})
	return q
}
