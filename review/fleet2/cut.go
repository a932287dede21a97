//go:build review

package fleet2

import (
	"context"
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
	l, err := listen(address)
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

// dropFrom returns a filter that drops packets from an IPv4 address and keeps all others.
func dropFrom(ip net.IP) []syscall.SockFilter {
	const netOff, sourceAt = 0xfff00000, 12 // The network header, and where its source address stands.
	b := ip.To4()
	address := uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
	return []syscall.SockFilter{
		{Code: syscall.BPF_LD | syscall.BPF_W | syscall.BPF_ABS, K: netOff + sourceAt},
		{Code: syscall.BPF_JMP | syscall.BPF_JEQ | syscall.BPF_K, K: address, Jt: 0, Jf: 1},
		{Code: syscall.BPF_RET | syscall.BPF_K, K: 0},
		{Code: syscall.BPF_RET | syscall.BPF_K, K: 0xffff},
	}
}

// CutFrom cuts an engine off from one machine, whose connections come from an address.
func (e *Engine) CutFrom(ip string) {
	program := dropFrom(net.ParseIP(ip))
	e.mu.Lock()
	defer e.mu.Unlock()
	attach := func(c any) {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			return
		}
		_ = raw.Control(func(fd uintptr) { _ = syscall.AttachLsf(int(fd), program) })
	}
	attach(e.listener)
	for c := range e.conns {
		attach(c)
	}
}

// listen listens at an address without multipath TCP, whose sockets take no filter.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}
