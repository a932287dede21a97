package gossip

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/clock"
)

// maxDatagram is the longest message that is read, in bytes.
const maxDatagram = 60 << 10

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
		g.take(clock.Now(), m, from)
	}
}

// take takes a message from a peer and tells the node what it says.
func (g *Gossip) take(now time.Time, m message, from *net.UDPAddr) {
	if m.Name == g.self.Name {
		return
	}
	var said State
	if err := cbor.Unmarshal(m.State, &said); err != nil {
		g.log.Warn("message from peer not understood", "peer", m.Name, "error", err.Error())
		return
	}
	if self, received, ok := g.believe(now, m, said, from); ok {
		g.meetChosen(now, self.Hall, said.ChosenHubs)
		g.node.HandlePeerState(now, self, said, received)
	}
}

// believe keeps what a peer says of itself, unless a newer incarnation of it is
// alive. An older one alone is believed: the clock that numbers incarnations may
// have been set back between two starts. It returns who the peer is, and when this
// node sent the message that the peer answers; ok is false where the message says
// nothing new.
func (g *Gossip) believe(now time.Time, m message, said State, from *net.UDPAddr) (self NodeInfo, received time.Time, ok bool) {
	self = NodeInfo{Name: m.Name, Incarnation: m.Incarnation, PeerAddress: m.Peer, CallerAddress: m.Caller, Hall: m.Hall, Cores: m.Cores}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[m.Name]
	if p != nil && p.Incarnation > m.Incarnation && g.heardLately(now, p) {
		return NodeInfo{}, time.Time{}, false
	}
	same := p != nil && p.Incarnation == m.Incarnation
	switch {
	case m.Peer == "" && !same:
		return NodeInfo{}, time.Time{}, false // Who it is comes with one of its next messages.
	case m.Peer == "":
		self = p.NodeInfo
	}
	if !same || !g.heardLately(now, p) {
		g.log.Info("peer heard", "peer", m.Name, "incarnation", m.Incarnation, "address", m.Peer, "ready", said.Ready)
	}
	if p == nil {
		p = &Peer{met: now}
		g.peers[m.Name] = p
	}
	if !same {
		p.due = 0 // It knows nothing yet: it is answered in the next turn.
	}
	if !same || !g.heardLately(now, p) {
		p.sent = 0 // It is told all that it has missed.
	}
	if same && m.Seq < p.echo {
		return NodeInfo{}, time.Time{}, false // It was overtaken by a newer one.
	}
	if !g.hub && slices.Contains(m.Hubs, g.self.Name) {
		g.wake()
	}
	p.NodeInfo, p.State, p.hubs, p.heard, p.addr, p.echo, p.got = self, said, m.Hubs, now, from, m.Seq, m.Echo
	return self, g.sentAt(m.Echo), true
}

// wake ends the rest of a spoke that is to be a hub.
func (g *Gossip) wake() {
	select {
	case g.promoted <- struct{}{}:
	default: // It was told already.
	}
}

// sentAt returns when a message was sent, or zero if that is forgotten.
func (g *Gossip) sentAt(seq uint32) time.Time {
	if seq == 0 || seq > g.seq || g.seq-seq >= remembered {
		return time.Time{}
	}
	return g.sent[seq%remembered]
}
