// Package gossip lets nodes tell each other, by datagrams, that they live, how
// to reach them, and what work each has at each engine. Nothing depends on a
// datagram arriving: what a node does not hear, it goes without.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
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

	// manyPeers is how many peers make messages to other halls rarer, by
	// farSlowDown, since bytes between halls are paid for.
	manyPeers   = 12
	farSlowDown = 2

	// introduceEvery is how often a message says who the sender is and how to reach
	// it; between, its name is enough for peers that have answered it.
	introduceEvery = 20

	// remembered is how many messages a node remembers the sending of: a peer that
	// is so far behind has been silent for longer than it counts as alive.
	remembered = 64

	// firstSeqs bounds the number of the first message, which is drawn by chance: a
	// peer may still answer one of an earlier start of this node.
	firstSeqs = 1 << 30

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

	// Said is what a node tells its peers of its state, besides who it is.
	Said struct {
		_             struct{}                  `cbor:",toarray"`
		Ready         bool                      // Ready says that it takes callers.
		Stopping      bool                      // Stopping says that it ends soon.
		Loads         map[string]placement.Load // Loads is its own work, by engine.
		Uses          []placement.Use           // Uses are the prompt parts it gave to engines since it last spoke.
		Versions      map[string]int64          // Versions are those of its tables.
		ConfigVersion int                       // ConfigVersion is of the configuration in force there.
		ProofAgeMs    int64                     // ProofAgeMs is the age of the proof that this is the newest; -1 for none.
		CantRead      bool                      // CantRead says that its last call to the platform's store failed.
		LostAgeMs     int64                     // LostAgeMs is how long ago that was; -1 if never.
	}

	// Peer is another node.
	Peer struct {
		Self
		Said  Said
		heard time.Time
		met   time.Time
		addr  *net.UDPAddr
		echo  uint32 // echo is the number of the newest message from the peer.
	}

	// Node is the node that gossips.
	Node interface {
		// Say returns what the peers are told.
		Say(now time.Time) Said

		// Heard takes what a peer said, after it had received what this node sent
		// at a moment; that is zero where it has received nothing yet.
		Heard(now time.Time, p Self, s Said, received time.Time)
	}

	// message is one datagram.
	message struct {
		_           struct{} `cbor:",toarray"`
		Echo        uint32   // Echo is the number of the newest message that the sender has from the receiver.
		Seq         uint32   // Seq numbers the sender's messages.
		Name        string
		Incarnation int64
		Peer        string // Peer, Caller and Hall are empty where the receiver knows them.
		Caller      string
		Hall        string
		Said        cbor.RawMessage
	}

	// Gossip talks to the peers.
	Gossip struct {
		self Self
		node Node
		log  *slog.Logger
		conn *net.UDPConn

		mu    sync.Mutex
		peers map[string]*Peer
		seq   uint32
		sent  [remembered]time.Time // sent holds when the newest messages were sent, by number
	}
)

// New returns a gossip on the self's peer address. Run begins it.
func New(self Self, log *slog.Logger) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Gossip{self: self, log: log, conn: conn, peers: map[string]*Peer{}, seq: 1 + rand.Uint32N(firstSeqs)}, nil
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

// Introduce takes a peer as if it had just said something.
func (g *Gossip) Introduce(now time.Time, s Self, said Said) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers[s.Name] = &Peer{Self: s, Said: said, heard: now, met: now}
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

// Met returns the names of all peers that are known, heard or not.
func (g *Gossip) Met() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.peers))
	for name := range g.peers {
		out = append(out, name)
	}
	return out
}

// Nodes returns how many nodes are alive, this one among them.
func (g *Gossip) Nodes() int { return len(g.Peers(time.Now())) + 1 }

// Run sends and receives for a node until the context ends.
func (g *Gossip) Run(ctx context.Context, node Node) {
	g.node = node
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
		case <-tick.C:
			g.send(turn) // The tick's own time may be old where the process stood still.
		}
	}
}

// send tells the peers of this node. Whom it answers is settled before what it
// says is worked out: receivers count ages in it from when they sent the message
// that it answers, so that it must not be older.
func (g *Gossip) send(turn int) {
	targets := g.targets(time.Now(), turn)
	now := time.Now()
	said, err := cbor.Marshal(g.node.Say(now))
	if err != nil {
		g.log.Error("message to peers not encoded", "error", err.Error())
		return
	}
	m := message{Seq: g.number(now), Name: g.self.Name, Incarnation: g.self.Incarnation, Said: said}
	for _, to := range targets {
		m.Echo = to.echo
		m.Peer, m.Caller, m.Hall = "", "", ""
		if to.echo == 0 || turn%introduceEvery < farSlowDown {
			m.Peer, m.Caller, m.Hall = g.self.PeerAddress, g.self.CallerAddress, g.self.Hall
		}
		packet, err := cbor.Marshal(m)
		if err != nil {
			g.log.Error("message to peer not encoded", "error", err.Error())
			return
		}
		if _, err := g.conn.WriteToUDP(packet, to.addr); err != nil {
			g.log.Debug("message to peer not sent", "peer", to.Name, "error", err.Error())
		}
	}
}

// number returns the number of the next message and remembers when it is sent.
func (g *Gossip) number(now time.Time) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	g.sent[g.seq%remembered] = now
	return g.seq
}

// sentAt returns when a message was sent, or zero if that is forgotten.
func (g *Gossip) sentAt(seq uint32) time.Time {
	if seq == 0 || seq > g.seq || g.seq-seq >= remembered {
		return time.Time{}
	}
	return g.sent[seq%remembered]
}

// targets returns whom to send to this turn, and forgets peers that are long gone.
func (g *Gossip) targets(now time.Time, turn int) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for name, p := range g.peers {
		last := p.met
		if p.heard.After(last) {
			last = p.heard
		}
		quiet := now.Sub(last)
		switch {
		case quiet > forgetAfter:
			delete(g.peers, name)
		case p.addr == nil:
		case quiet > quietFor && turn%slowDown != 0:
		case p.Hall != g.self.Hall && len(g.peers) > manyPeers && turn%farSlowDown != 0:
		default:
			out = append(out, *p)
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
	var said Said
	if err := cbor.Unmarshal(m.Said, &said); err != nil {
		g.log.Warn("message from peer not understood", "peer", m.Name, "error", err.Error())
		return
	}
	self := Self{Name: m.Name, Incarnation: m.Incarnation, PeerAddress: m.Peer, CallerAddress: m.Caller, Hall: m.Hall}
	g.mu.Lock()
	p := g.peers[m.Name]
	if p != nil && p.Incarnation > m.Incarnation && now.Sub(p.heard) <= aliveFor {
		g.mu.Unlock()
		return
	}
	same := p != nil && p.Incarnation == m.Incarnation
	switch {
	case m.Peer == "" && !same:
		g.mu.Unlock()
		return // Who it is comes with one of its next messages.
	case m.Peer == "":
		self = p.Self
	}
	if !same || now.Sub(p.heard) > aliveFor {
		g.log.Info("peer heard", "peer", m.Name, "incarnation", m.Incarnation, "address", m.Peer, "ready", said.Ready)
	}
	if p == nil {
		p = &Peer{met: now}
		g.peers[m.Name] = p
	}
	if same && m.Seq < p.echo {
		g.mu.Unlock()
		return // It was overtaken by a newer one.
	}
	p.Self, p.Said, p.heard, p.addr, p.echo = self, said, now, from, m.Seq
	received := g.sentAt(m.Echo)
	g.mu.Unlock()
	g.node.Heard(now, self, said, received)
}
