// Package gossip lets nodes tell each other, by datagrams, that they live, how
// to reach them, and what work each has at each engine. Nothing depends on a
// datagram arriving: what a node does not hear, it goes without.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// every is the time between two messages to each peer: an engine reads the
	// prompts of about two requests meanwhile.
	every = 100 * time.Millisecond

	// aliveFor is how long a peer counts as alive after its last message.
	aliveFor = 1200 * time.Millisecond

	// quietFor is how long a peer that is not heard still gets every message;
	// afterwards it gets one in slowDown.
	quietFor = 10 * time.Second
	slowDown = 20

	// forgetAfter is how long a peer that is not heard is remembered.
	forgetAfter = 5 * time.Minute

	// maxDatagram is the longest message that is read, in bytes.
	maxDatagram = 60 << 10
)

type (
	// Self is what a node says of itself.
	Self struct {
		Name          string
		Incarnation   int64
		PeerAddress   string // PeerAddress takes datagrams.
		CallerAddress string
		Hall          string
	}

	// Peer is another node.
	Peer struct {
		Self
		Ready bool // Ready says that it takes callers.
		heard time.Time
		met   time.Time
		addr  *net.UDPAddr
	}

	// message is one datagram.
	message struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Incarnation int64
		Peer        string
		Caller      string
		Hall        string
		Ready       bool
		Loads       map[string]placement.Load
		Uses        []placement.Use
	}

	// Gossip talks to the peers.
	Gossip struct {
		self      Self
		placement *placement.Placement
		ready     func(now time.Time) bool
		log       *slog.Logger
		conn      *net.UDPConn

		mu    sync.Mutex
		peers map[string]*Peer
	}
)

// New returns a gossip on the self's peer address; ready tells whether this node
// takes callers.
func New(self Self, p *placement.Placement, ready func(now time.Time) bool, log *slog.Logger) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Gossip{self: self, placement: p, ready: ready, log: log, conn: conn, peers: map[string]*Peer{}}, nil
}

// Meet adds a peer that was learned of elsewhere, such as from the platform.
func (g *Gossip) Meet(now time.Time, s Self) {
	if s.Name == g.self.Name {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", s.PeerAddress)
	if err != nil {
		g.log.Warn("peer address not usable", "peer", s.Name, "address", s.PeerAddress, "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.peers[s.Name]
	if known != nil && known.Incarnation >= s.Incarnation {
		return
	}
	g.peers[s.Name] = &Peer{Self: s, addr: addr, met: now}
}

// Peers returns the peers that are alive.
func (g *Gossip) Peers(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for _, p := range g.peers {
		if now.Sub(p.heard) <= aliveFor {
			out = append(out, *p)
		}
	}
	return out
}

// Nodes returns how many nodes are alive, this one among them.
func (g *Gossip) Nodes() int { return len(g.Peers(time.Now())) + 1 }

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		g.receive()
	}()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			g.conn.Close()
			wg.Wait()
			return
		case now := <-tick.C:
			g.send(now, turn)
		}
	}
}

// send tells the peers of this node.
func (g *Gossip) send(now time.Time, turn int) {
	m := message{
		Name: g.self.Name, Incarnation: g.self.Incarnation, Peer: g.self.PeerAddress, Caller: g.self.CallerAddress, Hall: g.self.Hall,
		Ready: g.ready(now), Loads: g.placement.Loads(), Uses: g.placement.TakeUses(),
	}
	packet, err := cbor.Marshal(m)
	if err != nil {
		g.log.Error("message to peers not encoded", "error", err.Error())
		return
	}
	for _, addr := range g.targets(now, turn) {
		if _, err := g.conn.WriteToUDP(packet, addr); err != nil {
			g.log.Debug("message to peer not sent", "address", addr.String(), "error", err.Error())
		}
	}
}

// targets returns whom to send to this turn, and forgets peers that are long gone.
func (g *Gossip) targets(now time.Time, turn int) []*net.UDPAddr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*net.UDPAddr
	for name, p := range g.peers {
		last := p.met
		if p.heard.After(last) {
			last = p.heard
		}
		quiet := now.Sub(last)
		switch {
		case quiet > forgetAfter:
			delete(g.peers, name)
		case quiet <= quietFor || turn%slowDown == 0:
			out = append(out, p.addr)
		}
	}
	return out
}

// receive takes messages until the connection is closed.
func (g *Gossip) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debug("message from peer not received", "error", err.Error())
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			g.log.Warn("message from peer not understood", "from", from.String(), "error", err.Error())
			continue
		}
		g.take(time.Now(), m, from)
	}
}

// take believes what a peer says of itself, unless a newer incarnation of it is
// alive. An older one alone is believed: the clock that numbers incarnations may
// have been set back between two starts.
func (g *Gossip) take(now time.Time, m message, from *net.UDPAddr) {
	if m.Name == g.self.Name {
		return
	}
	g.mu.Lock()
	p := g.peers[m.Name]
	if p != nil && p.Incarnation > m.Incarnation && now.Sub(p.heard) <= aliveFor {
		g.mu.Unlock()
		return
	}
	if p == nil || p.Incarnation < m.Incarnation || now.Sub(p.heard) > aliveFor {
		g.log.Info("peer heard", "peer", m.Name, "incarnation", m.Incarnation, "address", m.Peer, "ready", m.Ready)
	}
	if p == nil {
		p = &Peer{met: now}
		g.peers[m.Name] = p
	}
	p.Self = Self{Name: m.Name, Incarnation: m.Incarnation, PeerAddress: m.Peer, CallerAddress: m.Caller, Hall: m.Hall}
	p.Ready, p.heard, p.addr = m.Ready, now, from
	g.mu.Unlock()
	g.placement.Peer(now, m.Name, m.Loads, m.Uses)
}
