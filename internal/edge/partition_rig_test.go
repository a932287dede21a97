package edge

import (
	"net"
	"sync"
)

// Ways in which nodes are cut off from engines.
const (
	cutRefuse cutMode = iota + 1 // cutRefuse resets open connections and new ones.
	cutHang                      // cutHang passes nothing on, on open connections and new ones.
	cutNew                       // cutNew resets new connections; open ones live.
)

type (
	// cutMode is a way of being cut off; 0 for none.
	cutMode int

	// partition cuts some source addresses off from the listeners that it wraps.
	partition struct {
		mu    sync.Mutex
		modes map[string]cutMode // modes holds the mode of each source address.
		heal  *sync.Cond
		conns map[*partitionedConn]bool
	}

	// partitionedListener passes on the connections that its partition allows.
	partitionedListener struct {
		net.Listener
		p *partition
	}

	// partitionedConn is a connection that passes nothing on while its source is cut off.
	partitionedConn struct {
		net.Conn
		p      *partition
		source string
	}
)

// newPartition returns a partition that cuts nothing off.
func newPartition() *partition {
	p := &partition{modes: map[string]cutMode{}, conns: map[*partitionedConn]bool{}}
	p.heal = sync.NewCond(&p.mu)
	return p
}

// set sets how a source address is cut off.
func (p *partition) set(source string, m cutMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes[source] = m
	if m == cutRefuse {
		for c := range p.conns {
			if c.source == source {
				reset(c.Conn)
			}
		}
	}
	p.heal.Broadcast()
}

// reset closes a connection with a reset; where that fails, it closes it in order, which cuts it off as well.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// wait waits until a source is not cut off by hanging.
func (p *partition) wait(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.modes[source] == cutHang {
		p.heal.Wait()
	}
}

func (l partitionedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		source, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil {
			return nil, err
		}
		c := &partitionedConn{Conn: conn, p: l.p, source: source}
		l.p.mu.Lock()
		refused := l.p.modes[source] == cutRefuse || l.p.modes[source] == cutNew
		l.p.conns[c] = true
		l.p.mu.Unlock()
		if !refused {
			return c, nil
		}
		reset(conn)
	}
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.p.wait(c.source)
	return n, err
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	c.p.wait(c.source)
	return c.Conn.Write(b)
}

func (c *partitionedConn) Close() error {
	c.p.mu.Lock()
	delete(c.p.conns, c)
	c.p.mu.Unlock()
	return c.Conn.Close()
}
