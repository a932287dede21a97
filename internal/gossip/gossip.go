// Package gossip exchanges liveness, addresses and per-engine load between nodes in UDP datagrams.
// Delivery is best effort: nothing depends on any single datagram arriving.
package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/uplink"
)

const (
	// infoInterval is how many messages to a peer include one with the sender's NodeInfo; for the
	// others the name is enough for peers that have answered.
	infoInterval = 20

	// sentHistory is the number of messages whose send times are kept. A peer that is further behind
	// has been silent for longer than the alive timeout.
	sentHistory = 64

	// maxFirstSeq bounds the random first sequence number: a peer may still acknowledge a message of
	// an earlier start of this node.
	maxFirstSeq = 1 << 30

	// maxLoggedAddress is how many bytes of an invalid address are logged.
	maxLoggedAddress = 48
)

type (
	// Option configures a Gossip.
	Option func(*Gossip)

	// Node provides the state that Gossip sends and handles the state of peers.
	Node interface {
		// LocalState returns the state to send to peers.
		LocalState(now time.Time) State

		// HandlePeerState handles the state of a peer. received is when this node sent the message
		// that the peer acknowledges; it is zero if the peer has acknowledged none.
		HandlePeerState(now time.Time, p NodeInfo, s State, received time.Time)
	}

	// Gossip exchanges state with the peers.
	Gossip struct {
		self NodeInfo
		node Node
		log  *slog.Logger
		conn *net.UDPConn
		link *uplink.Link // link counts the bytes of messages; nil if it is not known.

		mu         sync.Mutex
		peers      map[string]*Peer
		lastState  State // lastState is the state sent last.
		urgent     bool  // urgent reports whether the next state has newer table versions or a new hub choice.
		seq        uint32
		rounds     []composedRound              // rounds are the newest rounds, the oldest first.
		sentTimes  [sentHistory]time.Time       // sentTimes holds the send times of the newest messages by sequence number.
		recentUses [usesHistory][]placement.Use // recentUses holds the prompt parts of the newest rounds by round; only send uses it.

		recentEvictions [evictionsHistory][]placement.Use // recentEvictions holds the evictions of the newest rounds by round, oldest first; only send uses it.
		evictionsLeft   atomic.Int64                      // evictionsLeft counts the evictions that did not fit into messages.

		isHub         bool                 // isHub reports whether this node is a hub.
		hubs          map[string]bool      // hubs are the nodes that are taken for hubs, in all halls.
		chosenHubs    []string             // chosenHubs are the hubs that this node, as a hub, chose for its hall.
		choiceVersion int                  // choiceVersion counts changes of chosenHubs.
		hubHeardAt    map[string]time.Time // hubHeardAt is, by hall, when a hub there was last heard or first missed.
		hubsUpdatedAt time.Time            // hubsUpdatedAt is the time of the last update of the hubs.

		unheardSince map[string]time.Time // unheardSince is, by hall, since when none of the hubs that others advertise there is heard.
		promoted     chan struct{}        // promoted wakes a sleeping spoke that a hub has chosen as a hub.

		loadNode LoadNode // loadNode is nil if this node exchanges no load updates.
		updates  struct {
			seq            uint32      // seq counts the updates of this node; only RunLoadUpdates uses it, round and forSmall.
			round          int         // round counts the intervals with updates.
			forSmall       LoadChanges // forSmall is what the peers with a small share do not know yet.
			sent, received atomic.Int64
		}
	}
)

// WithLink counts the bytes of messages at the link of this machine.
func WithLink(l *uplink.Link) Option { return func(g *Gossip) { g.link = l } }

// New returns a Gossip that listens on the node's peer address. Run starts it.
func New(self NodeInfo, log *slog.Logger, options ...Option) (*Gossip, error) {
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
	for _, option := range options {
		option(g)
	}
	return g, nil
}

// newGossip returns a Gossip without a connection.
func newGossip(self NodeInfo, log *slog.Logger) *Gossip {
	return &Gossip{self: self, log: log, peers: map[string]*Peer{}, hubHeardAt: map[string]time.Time{}, unheardSince: map[string]time.Time{}, promoted: make(chan struct{}, 1), seq: 1 + rand.Uint32N(maxFirstSeq)}
}

// AddPeer adds a peer that was found elsewhere, such as on the platform.
func (g *Gossip) AddPeer(now time.Time, s NodeInfo) {
	if s.Name == g.self.Name {
		return
	}
	at, err := netip.ParseAddrPort(s.PeerAddress) // The text is not trusted, and host names are not looked up.
	if err != nil || !at.Addr().Is4() {
		g.log.Warn("unusable peer address", "peer", s.Name, "address", s.PeerAddress[:min(len(s.PeerAddress), maxLoggedAddress)])
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.peers[s.Name]
	if known != nil && known.Incarnation >= s.Incarnation {
		return
	}
	g.peers[s.Name] = &Peer{NodeInfo: s, addr: net.UDPAddrFromAddrPort(at), addedAt: now}
}

// AddAlivePeer adds a peer as if it had just sent its state.
func (g *Gossip) AddAlivePeer(now time.Time, s NodeInfo, state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers[s.Name] = &Peer{NodeInfo: s, State: state, heardAt: now, addedAt: now}
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

// OtherReady reports whether a peer that is alive accepts callers.
func (g *Gossip) OtherReady(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.State.Ready && g.alive(now, p) {
			return true
		}
	}
	return false
}

// Isolated reports whether this node hears no peer; on a spoke, whether it hears no hub.
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

// UnheardPeers returns how many peers that may serve callers have sent nothing since this node
// started: all peers until one is heard, afterwards only the hubs.
func (g *Gossip) UnheardPeers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	unheard, hubs := 0, 0
	for name, p := range g.peers {
		if !p.heardAt.IsZero() {
			continue
		}
		unheard++
		if g.fullMesh() || g.hubs[name] {
			hubs++
		}
	}
	if unheard == len(g.peers) {
		return unheard
	}
	return hubs
}

// AliveNodes returns the number of nodes that are alive, this one included.
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
	timer := time.NewTimer(roundInterval)
	defer timer.Stop()
	for round := 0; ; {
		sleep := g.sleepRounds()
		timer.Reset(time.Duration(sleep) * roundInterval)
		select {
		case <-ctx.Done():
			g.conn.Close()
			wg.Wait()
			return
		case <-g.promoted:
			round++
		case <-timer.C:
			round += sleep
		}
		g.send(round) // send reads the clock itself: the timer's time may be old if the process was suspended.
	}
}
