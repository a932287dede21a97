//go:build review

package fleet2

import (
	"net"
	"net/http"
	"sync"
	"syscall"
)

// dropAll is a socket filter that keeps no packet.
var dropAll = []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}}

// CutListener is a listener whose connections can be cut off like machines behind a partition: packets that come to its
// sockets are dropped, so that the other end's kernel sends them again and again as it would over a link.
type CutListener struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

type cutConn struct {
	net.Conn
	l *CutListener
}

// ListenCut listens at an address.
func ListenCut(address string) (*CutListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &CutListener{Listener: l, conns: map[net.Conn]bool{}}, nil
}

// ServeCut serves HTTP on a listener that can be cut off, until the world ends.
func (w *World) ServeCut(address string, h http.Handler) (*CutListener, error) {
	l, err := ListenCut(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	w.OnEnd(func() { s.Close() })
	return l, nil
}

// Accept implements net.Listener.
func (l *CutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if l.cut {
		filter(c, true)
	}
	return &cutConn{c, l}, nil
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c.Conn)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// Cut drops all that comes, until Heal.
func (l *CutListener) Cut() { l.set(true) }

// Heal ends the cut.
func (l *CutListener) Heal() { l.set(false) }

func (l *CutListener) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	filter(l.Listener, cut)
	for c := range l.conns {
		filter(c, cut)
	}
}

// filter sets or removes the filter of a socket.
func filter(c any, on bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if on {
			_ = syscall.AttachLsf(int(fd), dropAll)
		} else {
			_ = syscall.DetachLsf(int(fd))
		}
	})
}
