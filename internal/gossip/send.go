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
	said := g.node.Say(now)
	g.uses[turn%len(g.uses)] = said.Uses
	g.told(said)
	m := message{Seq: g.number(now), Name: g.self.Name, Incarnation: g.self.Incarnation}
	encoded := map[int]cbor.RawMessage{} // by the turns that the message tells of
	for _, to := range targets {
		if encoded[to.turns] == nil {
			raw, err := cbor.Marshal(g.saidTo(said, turn, to.turns))
			if err != nil {
				g.log.Error("message to peers not encoded", "error", err.Error())
				return
			}
			encoded[to.turns] = raw
		}
		m.Said = encoded[to.turns]
		g.sendTo(to, m)
	}
}

// sendTo sends a message to one peer.
func (g *Gossip) sendTo(to target, m message) {
	m.Echo = to.echo
	if to.echo == 0 || to.sent%introduceEvery == 0 {
		m.Peer, m.Caller, m.Hall, m.Cores = g.self.PeerAddress, g.self.CallerAddress, g.self.Hall, g.self.Cores
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

// number returns the number of the next message and remembers when it is sent.
func (g *Gossip) number(now time.Time) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	g.sent[g.seq%remembered] = now
	return g.seq
}

// told records what this node tells.
func (g *Gossip) told(s Said) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.said = s
}
