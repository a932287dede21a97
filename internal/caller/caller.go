// Package caller tells what the kernel knows of the connection of a request's caller. A process that
// is behind has not read yet that the caller has closed it, or that a request has waited in its socket.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/internal/clock"
)

// States of a TCP connection, as in Linux's tcp_states.h.
const (
	tcpEstablished = 1
	tcpSynRecv     = 3
)

const (
	// maxReadGap is how far apart the clock and the state of a connection may be read, and arrivalTries how often a process
	// that keeps standing still between the two reads them again.
	maxReadGap   = 5 * time.Millisecond
	arrivalTries = 4
)

// connKey is the key of a Conn in contexts.
type connKey struct{}

type (
	// Conn is the connection of a caller. Its methods may be called on nil, a connection of which nothing
	// is known, and by several goroutines at once.
	Conn struct {
		raw     syscall.RawConn
		request atomic.Pointer[string] // request is the id of the request that is being served.
	}

	// State is what the kernel knows of a connection.
	State struct {
		// Closed is set if the caller has closed the connection or its writing side, or if the connection
		// was reset or closed by this process. Data that was not read yet may precede the close.
		Closed bool

		// Quiet is the time since the caller last sent data, to the millisecond; 0 if it is not known.
		Quiet time.Duration
	}
)

// WithConn returns the context of the requests of a connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, &Conn{raw: raw})
}

// ConnOf returns the connection on which the request of a context came, or nil if it is not known.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Detach returns a context without the connection, for work that goes on when its caller has left.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), connKey{}, (*Conn)(nil))
}

// SetRequest sets the id of the request that is being served, for the log.
func (c *Conn) SetRequest(id string) {
	if c != nil {
		c.request.Store(&id)
	}
}

// Request returns the id of the request that is being served, "" if it is not known.
func (c *Conn) Request() string {
	if c == nil {
		return ""
	}
	if id := c.request.Load(); id != nil {
		return *id
	}
	return ""
}

// State asks the kernel for the state of the connection, in one system call.
func (c *Conn) State() State {
	if c == nil {
		return State{}
	}
	var s State
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return // Not a TCP connection.
		}
		s.Closed = info.State != tcpEstablished && info.State != tcpSynRecv
		s.Quiet = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	if err != nil {
		return State{Closed: true}
	}
	return s
}

// Arrival returns when the caller sent its last data, as far as that is known, and whether it has left by now. The kernel
// tells for how long the connection has been quiet: if the process stood still since it read the clock, both are read again.
func (c *Conn) Arrival(now time.Time) (at time.Time, left bool) {
	s := c.State()
	for range arrivalTries {
		read := clock.Now()
		if read.Sub(now) < maxReadGap {
			break
		}
		now, s = read, c.State()
	}
	return now.Add(-s.Quiet), s.Closed
}

// Left reports whether the caller has closed the connection.
func (c *Conn) Left() bool { return c.State().Closed }

// Unread returns how many bytes were sent to the caller and not acknowledged, -1 if the connection is
// closed or not known. A caller's kernel acknowledges bytes until its receive buffer is full, then as
// the caller reads.
func (c *Conn) Unread() int64 {
	n := -1
	if c == nil {
		return -1
	}
	failed := c.raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if failed != nil {
		return -1
	}
	return int64(n)
}
