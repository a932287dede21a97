// Package relay is a TCP relay for tests that can drop, reset, delay and half-open the
// connections between two processes, both ways or one way.
package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is what a relay does with what it receives.
type Mode int

// Modes of a relay.
const (
	Pass     Mode = iota // Pass hands everything on.
	Hold                 // Hold takes bytes and hands nothing on, as a half-open connection does.
	HoldBack             // HoldBack hands on to the target, and nothing back, as a cut one way does.
	Cut                  // Cut drops all connections and refuses new ones.
	Reset                // Reset drops all connections once so that both ends see a reset, and hands on what comes later.
	Delay                // Delay hands on late: everything, or as DelaySome says.
	Refuse               // Refuse drops all connections, and nothing listens until the next mode, as where a process has ended.
)

// Relay hands connections on to a target.
type Relay struct {
	address string
	target  string
	delay   time.Duration
	wg      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	mode     Mode
	rand     *rand.Rand // rand draws what is delayed; nil for everything.
	share    float64
	changed  *sync.Cond
	conns    map[net.Conn]bool
	closed   bool
}

// New returns a relay to a target, on an address of its own.
func New(target string, delay time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{address: l.Addr().String(), listener: l, target: target, delay: delay, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept(l)
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.address }

// Set changes the mode.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Refuse && m != Refuse {
		r.listen()
	}
	r.mode = m
	switch m {
	case Refuse:
		r.listener.Close()
		r.dropAll()
	case Cut:
		r.dropAll()
	case Reset:
		r.resetAll()
	}
	r.changed.Broadcast()
}

// listen listens again; the caller holds the lock. Where the address is taken meanwhile, nothing is handed on any more.
func (r *Relay) listen() {
	l, err := net.Listen("tcp", r.address)
	if err != nil || r.closed {
		return
	}
	r.listener = l
	r.wg.Add(1)
	go r.accept(l)
}

// DelaySome delays a share of what is received, drawn with a seed.
func (r *Relay) DelaySome(seed uint64, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode, r.rand, r.share = Delay, rand.New(rand.NewPCG(seed, seed)), share
}

// dropAll closes all connections; the caller holds the lock.
func (r *Relay) dropAll() {
	for c := range r.conns {
		c.Close()
	}
}

// resetAll closes all connections with a reset; the caller holds the lock.
func (r *Relay) resetAll() {
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Where the linger can't be set, the connection ends in order; that is a fault too.
			_ = tcp.SetLinger(0)
		}
	}
	r.dropAll()
}

// Close ends the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.listener.Close()
	r.dropAll()
	r.changed.Broadcast()
	r.mu.Unlock()
	r.wg.Wait()
}

// accept takes connections.
func (r *Relay) accept(l net.Listener) {
	defer r.wg.Done()
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.add(in, out) {
			in.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		r.wg.Add(2)
		go r.copy(in, out, false)
		go r.copy(out, in, true)
	}
}

// add keeps a pair of connections, unless the relay is cut or closed.
func (r *Relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Cut || r.mode == Refuse || r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

// copy hands bytes on as the mode says; back tells the way from the target.
func (r *Relay) copy(from, to net.Conn, back bool) {
	defer r.wg.Done()
	defer r.drop(from, to)
	const size = 32 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.pass(back) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// drop closes a pair of connections and forgets them.
func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// holds reports whether the mode hands nothing on in a direction; the caller holds the lock.
func (r *Relay) holds(back bool) bool {
	return r.mode == Hold || r.mode == HoldBack && back
}

// pass waits as the mode says and returns whether to hand on.
func (r *Relay) pass(back bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.holds(back) && !r.closed {
		r.changed.Wait()
	}
	if r.mode == Delay && (r.rand == nil || r.rand.Float64() < r.share) {
		r.mu.Unlock()
		time.Sleep(r.delay)
		r.mu.Lock()
	}
	return r.mode != Cut && r.mode != Refuse && !r.closed
}
