package uplink

import (
	"errors"
	"net"
	"syscall"

	"github.com/croftturn/croftturn/internal/clock"
)

type (
	// listener accepts connections whose bytes are counted.
	listener struct {
		net.Listener
		link *Link
	}

	// conn is a connection whose bytes are counted.
	conn struct {
		net.Conn
		link *Link
	}
)

// Listener returns a listener whose connections count what is written to them.
func (l *Link) Listener(inner net.Listener) net.Listener {
	if l == nil {
		return inner
	}
	return listener{inner, l}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.link}, nil
}

// SyscallConn implements syscall.Conn.
func (l listener) SyscallConn() (syscall.RawConn, error) { return rawOf(l.Listener) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.link.Sent(clock.Now(), n)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawOf(c.Conn) }

// rawOf returns the socket below a connection or a listener.
func rawOf(inner any) (syscall.RawConn, error) {
	socket, ok := inner.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
