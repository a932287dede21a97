package gossip

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/clock"
)

// maxDatagram is the longest datagram that is read, in bytes.
const maxDatagram = 60 << 10

// receive handles messages until the connection is closed.
func (g *Gossip) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debug("receiving message from peer failed", "error", err.Error())
			continue
		}
		if n > 0 && buf[0] == loadUpdateHeader && g.loadNode != nil {
			g.receiveLoadUpdate(buf[:n], from)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			g.log.Warn("invalid message from peer", "from", from.String(), "error", err.Error())
			continue
		}
		g.handleMessage(clock.Now(), m, from)
	}
}

// receiveLoadUpdate decodes and handles a load update.
func (g *Gossip) receiveLoadUpdate(packet []byte, from *net.UDPAddr) {
	var u loadUpdate
	if err := cbor.Unmarshal(packet, &u); err != nil {
		g.log.Debug("invalid load update from peer", "from", from.String(), "error", err.Error())
		return
	}
	g.handleLoadUpdate(clock.Now(), u)
}

// handleMessage updates the sender's entry and passes its state to the node.
func (g *Gossip) handleMessage(now time.Time, m message, from *net.UDPAddr) {
	if m.Name == g.self.Name {
		return
	}
	var state State
	if err := cbor.Unmarshal(m.State, &state); err != nil {
		g.log.Warn("invalid message from peer", "peer", m.Name, "error", err.Error())
		return
	}
	if info, received, ok := g.updatePeer(now, m, state, from); ok {
		g.addChosenHubs(now, info.Hall, state.ChosenHubs)
		g.node.HandlePeerState(now, info, state, received)
	}
}

// updatePeer stores the state of a peer, unless a newer incarnation of the peer is alive. An older
// incarnation is accepted if the newer one is silent: the clock that numbers incarnations may have
// been set back between two starts. It returns the peer's NodeInfo and when this node sent the message
// that the peer acknowledges; ok is false if the message is outdated or its sender unknown.
func (g *Gossip) updatePeer(now time.Time, m message, state State, from *net.UDPAddr) (info NodeInfo, received time.Time, ok bool) {
	info = NodeInfo{Name: m.Name, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress, Hall: m.Hall, Cores: m.Cores}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[m.Name]
	if p != nil && p.Incarnation > m.Incarnation && g.heardRecently(now, p) {
		return NodeInfo{}, time.Time{}, false
	}
	same := p != nil && p.Incarnation == m.Incarnation
	switch {
	case m.PeerAddress == "" && !same:
		return NodeInfo{}, time.Time{}, false // One of the peer's next messages has its NodeInfo.
	case m.PeerAddress == "":
		info = p.NodeInfo
	}
	if !same || !g.heardRecently(now, p) {
		g.log.Info("peer heard", "peer", m.Name, "incarnation", m.Incarnation, "address", m.PeerAddress, "ready", state.Ready)
	}
	if p == nil {
		p = &Peer{addedAt: now}
		g.peers[m.Name] = p
	}
	if !same {
		p.lastUpdate = 0
		p.nextRound = 0 // The peer has no state from this node yet, so it is answered in the next round.
	}
	if !same || !g.heardRecently(now, p) {
		p.sentCount = 0 // The peer gets the full state again.
	}
	if same && m.Seq < p.lastSeq {
		return NodeInfo{}, time.Time{}, false // A newer message overtook this one.
	}
	if !g.isHub && slices.Contains(m.Hubs, g.self.Name) {
		g.wake()
	}
	p.NodeInfo, p.State, p.chosenHubs, p.heardAt, p.addr, p.lastSeq, p.ackedSeq = info, state, m.Hubs, now, from, m.Seq, m.Ack
	return info, g.sendTime(m.Ack), true
}

// wake ends the sleep of a spoke that was chosen as a hub.
func (g *Gossip) wake() {
	select {
	case g.promoted <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// sendTime returns when a message was sent; zero if that is no longer known.
func (g *Gossip) sendTime(seq uint32) time.Time {
	if seq == 0 || seq > g.seq || g.seq-seq >= sentHistory {
		return time.Time{}
	}
	return g.sentTimes[seq%sentHistory]
}
