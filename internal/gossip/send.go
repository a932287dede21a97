package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

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
