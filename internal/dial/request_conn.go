package dial

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

// RequestConn is a connection on which requests are written one after the other, and nothing else. Each can be
// withheld up to the moment at which it is written.
type RequestConn struct {
	net.Conn
	mayWrite atomic.Pointer[func(now time.Time, first bool) error]
	writes   atomic.Int64
	begun    atomic.Int64 // begun is how many writes came before the present request.
}

// NewRequestConn returns a RequestConn on a connection.
func NewRequestConn(c net.Conn) *RequestConn { return &RequestConn{Conn: c} }

// Begin begins a request: mayWrite, unless it is nil, is asked before each write from now on, which fails with
// its error; first is set until a write has sent something. It returns the number of writes so far. end lets go of mayWrite, also if another request has begun.
func (c *RequestConn) Begin(mayWrite func(now time.Time, first bool) error) (writes int64, end func()) {
	ask := &mayWrite
	if mayWrite == nil {
		ask = nil
	}
	writes = c.writes.Load()
	c.begun.Store(writes)
	c.mayWrite.Store(ask)
	return writes, func() { c.mayWrite.CompareAndSwap(ask, nil) }
}

// Writes returns how many writes have sent something, or are about to.
func (c *RequestConn) Writes() int64 { return c.writes.Load() }

// Write counts the write before it starts, and discounts one that failed without sending anything.
func (c *RequestConn) Write(p []byte) (int, error) {
	if ask := c.mayWrite.Load(); ask != nil {
		if err := (*ask)(clock.Now(), c.writes.Load() == c.begun.Load()); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}
