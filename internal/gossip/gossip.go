// Package gossip lets nodes tell each other, by datagrams, that they live, how
// to reach them, and what work each has at each engine. Nothing depends on a
// datagram arriving: what a node does not hear, it goes without.
package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// introduceEvery is how many messages to a peer make one that says who the sender
	// is and how to reach it; between, its name is enough for peers that have answered.
	introduceEvery = 20

	// remembered is how many messages a node remembers the sending of: a peer that
	// is so far behind has been silent for longer than it counts as alive.
	remembered = 64

	// firstSeqs bounds the number of the first message, which is drawn by chance: a
	// peer may still answer one of an earlier start of this node.
	firstSeqs = 1 << 30

	// longestLogged is how much of an address that is none is logged, in bytes.
	longestLogged = 48
)

type (
	// Node is the node that gossips.
	Node interface {
		// LocalState returns what the peers are told.
		LocalState(now time.Time) State

		// HandlePeerState takes what a peer said, after it had received what this node sent
		// at a moment; that is zero where it has received nothing yet.
		HandlePeerState(now time.Time, p NodeInfo, s State, received time.Time)
	}

	// Gossip talks to the peers.
	Gossip struct {
		self NodeInfo
		node Node
		log  *slog.Logger
		conn *net.UDPConn

		mu     sync.Mutex
		peers  map[string]*Peer
		said   State // said is what this node told last.
		urgent bool  // urgent says that it has newer tables, or chose other hubs, than it told before.
		seq    uint32
		sent   [remembered]time.Time     // sent holds when the newest messages were sent, by number.
		uses   [usesKept][]placement.Use // uses holds the prompt parts told in the newest turns, by turn; only send has it.

		hub      bool                 // hub says that this node is a hub.
		hubs     map[string]bool      // hubs are the nodes that count as hubs, of all halls.
		chosen   []string             // chosen are the hubs that this node, being one, wants in its hall.
		choices  int                  // choices counts how often chosen has changed.
		hubHeard map[string]time.Time // hubHeard is when a hub of a hall was last heard, or first missed.

		unheardSince map[string]time.Time // unheardSince is since when none of the hubs that others name in a hall is heard.
		promoted     chan struct{}        // promoted tells a spoke that rests that a hub wants it to be one.
	}
)

// New returns a gossip on the self's peer address. Run begins it.
func New(self NodeInfo, log *slog.Logger) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	g := newGossip(self, log)
	g.conn = conn
	return g, nil
}

// newGossip returns a gossip that is not connected.
func newGossip(self NodeInfo, log *slog.Logger) *Gossip {
	return &Gossip{self: self, log: log, peers: map[string]*Peer{}, hubHeard: map[string]time.Time{}, unheardSince: map[string]time.Time{}, promoted: make(chan struct{}, 1), seq: 1 + rand.Uint32N(firstSeqs)}
}

// AddPeer adds a peer that was learned of elsewhere, such as from the platform.
func (g *Gossip) AddPeer(now time.Time, s NodeInfo) {
	if s.Name == g.self.Name {
		return
	}
	at, err := netip.ParseAddrPort(s.PeerAddress) // It may be any text, and no name to look up.
	if err != nil || !at.Addr().Is4() {
		g.log.Warn("peer address not usable", "peer", s.Name, "address", s.PeerAddress[:min(len(s.PeerAddress), longestLogged)])
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.peers[s.Name]
	if known != nil && known.Incarnation >= s.Incarnation {
		return
	}
	g.peers[s.Name] = &Peer{NodeInfo: s, addr: net.UDPAddrFromAddrPort(at), met: now}
}

// AddAlivePeer takes a peer as if it had just said something.
func (g *Gossip) AddAlivePeer(now time.Time, s NodeInfo, said State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers[s.Name] = &Peer{NodeInfo: s, State: said, heard: now, met: now}
}

// Peers returns the peers that are alive.
func (g *Gossip) Peers(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for _, p := range g.peers {
		if g.alive(now, p) {
			out = append(out, *p)
		}
	}
	return out
}

// Isolated reports whether this node, where it is a spoke, hears no hub, and else whether it hears nobody.
func (g *Gossip) Isolated(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if g.alive(now, p) {
			return false
		}
	}
	return true
}

// UnheardPeers returns how many peers that may serve callers have said nothing since this node started: all,
// until one was heard, and then the hubs alone.
func (g *Gossip) UnheardPeers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	unheard, hubs := 0, 0
	for name, p := range g.peers {
		if !p.heard.IsZero() {
			continue
		}
		unheard++
		if g.few() || g.hubs[name] {
			hubs++
		}
	}
	if unheard == len(g.peers) {
		return unheard
	}
	return hubs
}

// AliveNodes returns how many nodes are alive, this one among them.
func (g *Gossip) AliveNodes() int { return len(g.Peers(clock.Now())) + 1 }

// Run sends and receives for a node until the context ends.
func (g *Gossip) Run(ctx context.Context, node Node) {
	g.node = node
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		g.receive()
	}()
	timer := time.NewTimer(every)
	defer timer.Stop()
	for turn := 0; ; {
		rest := g.rest()
		timer.Reset(time.Duration(rest) * every)
		select {
		case <-ctx.Done():
			g.conn.Close()
			wg.Wait()
			return
		case <-g.promoted:
			turn++
		case <-timer.C:
			turn += rest
		}
		g.send(turn) // The timer's own time may be old where the process stood still.
	}
}
