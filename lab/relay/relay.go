// Package relay is a TCP relay for tests that can drop, reset, delay or half-open the
// connections between two processes, in both directions or in one. It passes ends and resets on.
package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection of which nothing is left, as after a reset.
const tcpClose = 7

// Mode is how a relay treats the data that it receives.
type Mode int

// Modes of a relay.
const (
	Pass          Mode = iota // Pass forwards everything.
	Hold                      // Hold reads data and forwards none, as on a half-open connection.
	HoldResponses             // HoldResponses forwards data to the target only, as on a one-way partition.
	Cut                       // Cut closes all connections and every new one.
	Reset                     // Reset resets all connections once, on both ends, and then forwards as Pass does.
	Delay                     // Delay forwards after a delay: everything, or the share set by DelaySome.
	Refuse                    // Refuse closes all connections and the listener until the next mode, as when a process has exited.
)

// Relay forwards connections to a target.
type Relay struct {
	address string
	target  string
	delay   time.Duration
	wg      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	mode     Mode
	rand     *rand.Rand // rand selects which data is delayed; nil for all.
	share    float64
	changed  *sync.Cond
	conns    map[net.Conn]string // conns holds the open connections with their sources.
	sources  map[string]Mode     // sources holds the modes of single sources.
	links    map[string]*Link    // links holds the links of single sources.
	closed   bool
}

// New returns a relay to a target, listening on its own address.
func New(target string, delay time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{address: l.Addr().String(), listener: l, target: target, delay: delay, conns: map[net.Conn]string{}, sources: map[string]Mode{}, links: map[string]*Link{}}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept(l)
	return r, nil
}

// Address returns the address that the relay listens on.
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

// SetFor changes the mode for connections from one IP address; Pass takes it back. Only Pass, Hold, Cut
// and Reset may be set, and Reset resets new connections as well. The end of Hold closes the connections
// and drops what they held, as their sender has given them up by then.
func (r *Relay) SetFor(source string, m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.sources[source] == Hold
	r.sources[source] = m
	for c, from := range r.conns {
		if from == source && (m == Cut || m == Reset || held) {
			if tcp, ok := c.(*net.TCPConn); ok && m == Reset {
				_ = tcp.SetLinger(0) // Otherwise the connection closes normally, which is a fault as well.
			}
			c.Close()
		}
	}
	r.changed.Broadcast()
}

// modeOf returns the mode of connections from a source; the caller holds the lock.
func (r *Relay) modeOf(source string) Mode {
	if m := r.sources[source]; m != Pass {
		return m
	}
	return r.mode
}

// listen listens again; the caller holds the lock. If the address is taken meanwhile, the
// relay forwards nothing any more.
func (r *Relay) listen() {
	l, err := net.Listen("tcp", r.address)
	if err != nil || r.closed {
		return
	}
	r.listener = l
	r.wg.Add(1)
	go r.accept(l)
}

// DelaySome delays a random share of the data, drawn with a seed.
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
			// If linger can't be set, the connection closes normally, which is a fault as well.
			_ = tcp.SetLinger(0)
		}
	}
	r.dropAll()
}

// Close closes the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.listener.Close()
	r.dropAll()
	r.changed.Broadcast()
	r.mu.Unlock()
	r.wg.Wait()
}

// accept accepts connections and starts forwarding them.
func (r *Relay) accept(l net.Listener) {
	defer r.wg.Done()
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		source, _, _ := net.SplitHostPort(in.RemoteAddr().String()) // A TCP address has a host.
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.add(source, in, out) {
			in.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		r.wg.Add(2)
		go r.copy(source, in, out, false)
		go r.copy(source, out, in, true)
	}
}

// add registers a pair of connections; it returns false if the relay is cut, refusing or
// closed.
func (r *Relay) add(source string, conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.modeOf(source); m == Cut || m == Refuse || r.sources[source] == Reset || r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = source
	}
	return true
}

// copy forwards data as the mode requires; fromTarget is the direction from the target.
func (r *Relay) copy(source string, from, to net.Conn, fromTarget bool) {
	defer r.wg.Done()
	defer r.drop(from, to)
	const size = 32 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if wasReset(from, err) {
				resetOnClose(to)
			}
			return
		}
		if !fromTarget {
			r.linkOf(source).carry(n)
		}
		if !r.waitToForward(source, fromTarget) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			resetOnClose(from)
			return
		}
	}
}

// wasReset reports whether a connection whose read failed was reset. The write beside it may have taken the error of the
// reset, so that the read met an end.
func wasReset(conn net.Conn, err error) bool {
	if !errors.Is(err, io.EOF) {
		return errors.Is(err, syscall.ECONNRESET)
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// An error means that this side has closed the connection.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return closed
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // An error means that it is closed.
}

// drop closes and unregisters a pair of connections.
func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// holds reports whether the mode forwards nothing in a direction; the caller holds the lock.
func (r *Relay) holds(source string, fromTarget bool) bool {
	m := r.modeOf(source)
	return m == Hold || m == HoldResponses && fromTarget
}

// waitToForward waits as the mode requires and reports whether to forward the data.
func (r *Relay) waitToForward(source string, fromTarget bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.holds(source, fromTarget) && !r.closed {
		r.changed.Wait()
	}
	if r.mode == Delay && (r.rand == nil || r.rand.Float64() < r.share) {
		r.mu.Unlock()
		time.Sleep(r.delay)
		r.mu.Lock()
	}
	m := r.modeOf(source)
	return m != Cut && m != Refuse && !r.closed
}
