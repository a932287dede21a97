package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The cadence of messages is counted in turns: a peer gets a message in each turn of
// the sender, or in one of several.
const (
	// every is the time between two turns: an engine reads the prompts of about two
	// requests meanwhile.
	every = 100 * time.Millisecond

	// aliveFor is how long a peer counts as alive after its last message. Where nodes
	// are many, aliveFar is it for peers in other halls that do not read the store:
	// their messages are rarest, and one of them may be lost.
	aliveFor = 1200 * time.Millisecond
	aliveFar = 2*farIdle*every + 500*time.Millisecond

	// quietFor is how long a peer that is not heard still gets every message;
	// afterwards it gets one in slowDown.
	quietFor = 10 * time.Second
	slowDown = 20

	// forgetAfter is how long a peer that is not heard is remembered.
	forgetAfter = 5 * time.Minute

	// manyPeers is how many peers make messages rarer, in turns from one to the
	// next: to other halls, since bytes between halls are paid for, and between
	// nodes of which one serves hardly any requests and has no loads to tell.
	manyPeers = 12
	nearTurns = 1  // nearTurns is within a hall.
	farTurns  = 2  // farTurns is to other halls.
	nearIdle  = 3  // nearIdle is within a hall where one of the two nodes is idle.
	farIdle   = 20 // farIdle is to other halls where one of the two nodes is idle.

	// busyRate is how many requests a second make a node busy; the platform's own
	// checks reach each node about once a second.
	busyRate = 2
)

// target is a peer that gets a message this turn.
type target struct {
	Peer
	turns int // turns is how many turns lie between two messages to it.
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
// often as busy nodes tell each other their loads. The caller holds the lock.
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

// phase returns the turn by which the messages to a peer are shifted, so that those
// between many nodes are spread over the turns.
func (g *Gossip) phase(peer string) int {
	return int(xxhash.Sum64String(g.self.Name+" "+peer) % (farTurns * nearIdle * farIdle))
}

// alive reports whether a peer was heard lately; the caller holds the lock.
func (g *Gossip) alive(now time.Time, p *Peer) bool {
	if len(g.peers) > manyPeers && p.Hall != g.self.Hall && !p.Said.reads() {
		return now.Sub(p.heard) <= aliveFar
	}
	return now.Sub(p.heard) <= aliveFor
}

// saidTo returns what is told to peers that get a message each so many turns, with the
// prompt parts used since the last one. Between halls bytes are paid for, and where one
// of the two nodes is idle, its work or its need to know of the other's is small: then
// neither loads nor prompt parts are told.
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

// busy reports whether the node serves enough requests for its loads to matter.
func (s *Said) busy() bool { return s.Rate >= busyRate }

// reads reports whether the node reads the platform's store.
func (s *Said) reads() bool { return s.SilentMs >= 0 }

// latest returns the later of two moments.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
