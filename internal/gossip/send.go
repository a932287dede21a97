package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// target is a peer that gets a message this turn.
type target struct {
	Peer
	turns int // turns is how many turns lie between two messages to it.
}

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

// saidTo returns what is told to peers that get a message each so many turns: the
// prompt parts used since the last one. Idle nodes of other halls place hardly any
// requests, and bytes between halls are paid for: they are told no work of others.
func (g *Gossip) saidTo(s Said, turn, turns int) Said {
	if turns == farIdle {
		s.Loads, s.Uses = nil, nil
		return s
	}
	s.Uses = nil
	for back := range min(turns, turn+1) {
		s.Uses = append(s.Uses, g.uses[(turn-back)%len(g.uses)]...)
	}
	return s
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

// targets returns whom to send to this turn, and forgets peers that are long gone.
func (g *Gossip) targets(now time.Time, turn int) []target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []target
	for name, p := range g.peers {
		quiet := now.Sub(latest(p.met, p.heard))
		turns := g.turns(p)
		switch {
		case quiet > forgetAfter:
			delete(g.peers, name)
		case p.addr == nil:
		case quiet <= quietFor && (turn+p.phase)%turns != 0:
		case quiet > quietFor && turn%slowDown != 0:
		default:
			out = append(out, target{Peer: *p, turns: turns})
			p.sent++
		}
	}
	return out
}

// turns returns how many turns lie between two messages to a peer. Nodes that read
// the platform's store tell all others what they have, and whether they live, as
// often as busy nodes tell each other their loads.
func (g *Gossip) turns(p *Peer) int {
	if len(g.peers) <= manyPeers {
		return nearTurns
	}
	idle := !(g.said.busy() && p.Said.busy()) && !g.said.reads() && !p.Said.reads()
	far := p.Hall != g.self.Hall
	switch {
	case idle && far:
		return farIdle
	case idle:
		return nearIdle
	case far:
		return farTurns
	}
	return nearTurns
}

// phase spreads the messages between many nodes over the turns.
func (g *Gossip) phase(peer string) int {
	return int(xxhash.Sum64String(g.self.Name+" "+peer) % (farTurns * nearIdle * farIdle))
}

// latest returns the later of two moments.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
