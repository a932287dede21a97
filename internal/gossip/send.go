package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/news"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// outgoing is a message on its way to a peer.
type outgoing struct {
	to target
	message
}

// content is what tells what is said to one peer from what is said to another.
type content struct {
	turns  int  // turns is how many turns the message tells of.
	all    bool // all says that it tells of all requests that are held, all limits and all engines that leave, not only what is new of them.
	chosen bool // chosen says that it tells how to reach the hubs of the hall.
}

// told returns what is told of a list that begins with what is newest: what is new, or all. age returns how long ago the sender
// learned of an entry.
func told[T any](c content, list []T, age func(T) time.Duration) []T {
	if c.all {
		return list
	}
	return news.Recent(list, age, time.Duration(c.turns+newsTurns)*every)
}

// send tells the peers of this node.
func (g *Gossip) send(turn int) {
	for _, o := range g.compose(clock.Now, turn) {
		g.sendTo(o)
	}
}

// compose returns the messages of a turn. Whom they answer is settled before what they
// say is worked out: receivers count ages in it from when they sent the message
// that it answers, so that it must not be older.
func (g *Gossip) compose(clock func() time.Time, turn int) []outgoing {
	before := clock()
	g.Settle(before)
	targets := g.targets(before, turn)
	now := clock()
	said := g.node.Say(now)
	said.Nodes = g.tellCount()
	chosen := g.told(said)
	g.uses[turn%len(g.uses)] = said.Uses
	if len(targets) == 0 {
		return nil
	}
	seq := g.number(now)
	encoded := map[content]cbor.RawMessage{}
	out := make([]outgoing, 0, len(targets))
	for _, to := range targets {
		of := content{turns: to.turns, all: to.sent%(allTurns/to.turns) == 0, chosen: to.chosen}
		if encoded[of] == nil {
			s := g.saidTo(said, turn, to.turns)
			s.Crashing = told(of, said.Crashing, func(t quarantine.GossipEntry) time.Duration { return t.Age })
			s.Limits = told(of, said.Limits, func(t limit.GossipEntry) time.Duration { return t.Age })
			s.Leaving = told(of, said.Leaving, func(t discovery.Told) time.Duration { return t.Age })
			if of.chosen {
				s.Chosen = g.knownChosen()
			}
			raw, err := cbor.Marshal(s)
			if err != nil {
				g.log.Error("message to peers not encoded", "error", err.Error())
				return nil
			}
			encoded[of] = raw
		}
		m := message{Echo: to.echo, Seq: seq, Name: g.self.Name, Incarnation: g.self.Incarnation, Hubs: chosen, Said: encoded[of]}
		if to.echo == 0 || to.sent%introduceEvery == 0 {
			m.Peer, m.Caller, m.Hall, m.Cores = g.self.PeerAddress, g.self.CallerAddress, g.self.Hall, g.self.Cores
		}
		out = append(out, outgoing{to: to, message: m})
	}
	return out
}

// sendTo sends a message to one peer.
func (g *Gossip) sendTo(o outgoing) {
	packet, err := cbor.Marshal(o.message)
	if err != nil {
		g.log.Error("message to peer not encoded", "error", err.Error())
		return
	}
	if _, err := g.conn.WriteToUDP(packet, o.to.addr); err != nil {
		g.log.Debug("message to peer not sent", "peer", o.to.Name, "error", err.Error())
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

// told records what this node tells, and whether its next messages are urgent. It returns
// the hubs that the node wants in its hall, if it is one.
func (g *Gossip) told(s Said) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.urgent = s.news(g.said)
	if g.urgent {
		clear(g.uses[:]) // What was used before a change of engines may be of a former incarnation.
	}
	g.said = s
	return g.chosen
}
