package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// httpMethodBytes is how many capital letters at the start of a connection tell HTTP from JSON-RPC, whose
// messages begin with their length and an opening brace.
const httpMethodBytes = 2

type (
	// HTTPServer serves the connections of a listener.
	HTTPServer interface{ Serve(l net.Listener) error }

	// connQueue is a listener of connections that were accepted elsewhere.
	connQueue struct {
		conns  chan net.Conn
		addr   net.Addr
		closed chan struct{}
		once   sync.Once
	}
)

// sniff reports whether a connection speaks HTTP, once its first bytes have come. They stay unread: if nobody takes the connection
// any more, its close tells the peer that nothing has been read.
func sniff(conn net.Conn) (isHTTP bool, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("use socket: %w", err)
	}
	first, n := make([]byte, httpMethodBytes), 0
	var peekErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		for n, _, peekErr = unix.Recvfrom(int(fd), first, unix.MSG_PEEK); errors.Is(peekErr, unix.EINTR); {
			n, _, peekErr = unix.Recvfrom(int(fd), first, unix.MSG_PEEK)
		}
		if errors.Is(peekErr, unix.EAGAIN) {
			return false
		}
		return peekErr != nil || n == 0 || n == len(first) || closedByPeer(fd)
	})
	switch {
	case err != nil:
		return false, fmt.Errorf("await the first bytes: %w", err)
	case peekErr != nil:
		return false, fmt.Errorf("look at the first bytes: %w", peekErr)
	case n < len(first):
		return false, io.ErrUnexpectedEOF
	}
	return !slices.ContainsFunc(first, func(b byte) bool { return b < 'A' || b > 'Z' }), nil
}

// closedByPeer reports whether nothing more comes on a connection.
func closedByPeer(fd uintptr) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
	return err == nil && n > 0
}

// HandleHTTP makes the server pass connections that speak HTTP to another one. It is called before Serve.
func (s *Server) HandleHTTP(server HTTPServer) {
	s.http = &connQueue{conns: make(chan net.Conn), addr: s.listener.Addr(), closed: make(chan struct{})}
	s.wg.Go(func() {
		_ = server.Serve(s.http) // It returns when the queue is closed.
	})
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// put passes a connection on, or closes it if nobody accepts any more.
func (q *connQueue) put(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		conn.Close()
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.addr }
