package gossip

import (
	"maps"
	"time"
)

// The cadence of messages is counted in turns: a peer gets a message in each turn of
// the sender, or in one of several.
const (
	// every is the time between two turns: an engine reads the prompts of about two
	// requests meanwhile.
	every = 100 * time.Millisecond

	// aliveFor is how long a hub, or where nodes are few any peer, counts as alive after
	// its last message to another. aliveSpoke is it between hubs and spokes, whose messages
	// are rarest: two of them may be lost. A spoke hears sooner from the other hubs that one
	// is gone.
	aliveFor   = 1200 * time.Millisecond
	aliveSpoke = 3*spokeTurns*every + 500*time.Millisecond

	// choiceFor is how long a spoke goes by the choice of a hub that it no longer hears.
	// Three hubs or more tell it theirs once a second each.
	choiceFor = 1700 * time.Millisecond

	// quietFor is how long a peer that is not heard still gets every message;
	// afterwards it gets one in slowDown.
	quietFor = 10 * time.Second
	slowDown = 50

	// forgetAfter is how long a peer that is not heard is remembered, though it
	// should be.
	forgetAfter = 5 * time.Minute

	// Turns from one message to the next: between hubs of a hall, between hubs of two halls,
	// since bytes between halls are paid for, and between hubs and the spokes of their
	// hall, without work to tell and with it.
	nearTurns  = 1
	farTurns   = 2
	spokeTurns = 10
	busyTurns  = 2

	// usesKept is for how many turns the prompt parts used are kept to be told.
	usesKept = max(nearTurns, farTurns, busyTurns)

	// restTurns is how many turns a spoke without work rests: each wake-up of 290 nodes
	// costs processor time, and nothing that it does is due more often.
	restTurns = 5

	// newsTurns is for how many turns beyond those of one message what is new of requests under which engines ended
	// is told, so that it comes in two messages at least. All that are held are told with the first message to a
	// peer and once in allTurns, every five seconds, for those that have started or missed them.
	newsTurns = 3
	allTurns  = 50

	// UpdateLifetime is how long what is new of such requests is told to those that hear the rarest messages.
	UpdateLifetime = (spokeTurns + newsTurns) * every

	// busyRate is how many requests a second make a spoke tell its work; the platform's
	// own checks reach each node about once a second.
	busyRate = 2
)

// target is a peer that gets a message this turn.
type target struct {
	Peer
	turns  int  // turns is how many turns lie between two messages to it.
	chosen bool // chosen says that it is told how to reach the hubs of the hall.
}

// targets returns whom to send to this turn, and forgets peers that should be heard and
// are long gone. What is urgent is told at once to all that get messages.
func (g *Gossip) targets(now time.Time, turn int) []target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []target
	for name, p := range g.peers {
		quiet := now.Sub(latest(p.met, p.heard))
		turns := g.turns(p)
		switch {
		case turns == 0:
		case quiet > forgetAfter:
			delete(g.peers, name)
		case p.addr == nil:
		case turn < p.due && !(g.urgent && quiet <= quietFor):
		default:
			if p.chose != g.choices {
				p.chose, p.choseSeq = g.choices, g.seq+1 // It is told with the next message.
			}
			chosen := len(g.chosen) > 0 && (p.got < p.choseSeq || p.sent%introduceEvery == 0)
			out = append(out, target{Peer: *p, turns: turns, chosen: chosen})
			p.sent++
			p.due = turn + turns
			if quiet > quietFor {
				p.due = turn + slowDown
			}
		}
	}
	return out
}

// turns returns how many turns lie between two messages to a peer; 0 if it gets none. The
// caller holds the lock.
func (g *Gossip) turns(p *Peer) int {
	if g.few() {
		return nearTurns
	}
	far, hub := p.Hall != g.self.Hall, g.hubs[p.Name]
	switch {
	case g.hub && hub && far:
		return farTurns
	case g.hub && hub:
		return nearTurns
	case far || !g.hub && !hub:
		return 0
	case g.hub && p.State.busy(), hub && g.said.busy():
		return busyTurns
	}
	return spokeTurns
}

// rest returns how many turns this node does nothing.
func (g *Gossip) rest() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.few() || g.hub || g.said.busy() {
		return 1
	}
	return restTurns
}

// alive reports whether a peer was heard lately, and whether a spoke may take it for a
// hub; the caller holds the lock.
func (g *Gossip) alive(now time.Time, p *Peer) bool {
	if !g.few() && !g.hub && !g.hubs[p.Name] {
		return false // Those that hear it more often say that it is none.
	}
	return g.heardLately(now, p)
}

// heardLately reports whether a peer was heard within the time of a message or two.
func (g *Gossip) heardLately(now time.Time, p *Peer) bool {
	life := aliveSpoke
	if g.few() || g.hub && len(p.hubs) > 0 {
		life = aliveFor
	}
	return now.Sub(p.heard) <= life
}

// choiceCounts reports whether a hub was heard so lately that its choice of hubs counts.
func (g *Gossip) choiceCounts(now time.Time, p *Peer) bool {
	return len(p.hubs) > 0 && g.heardLately(now, p) && (g.hub || now.Sub(p.heard) <= choiceFor)
}

// saidTo returns what is told to peers that get a message each so many turns, with the
// prompt parts used since the last one. Spokes without work need not know of any.
func (g *Gossip) saidTo(s State, turn, turns int) State {
	s.Uses = nil
	if turns == spokeTurns {
		s.Loads = nil
		return s
	}
	for back := range min(turns, turn+1) {
		s.Uses = append(s.Uses, g.uses[(turn-back)%len(g.uses)]...)
	}
	return s
}

// news reports whether what a node says should reach its peers at once: newer tables.
func (s *State) news(before State) bool { return !maps.Equal(s.Versions, before.Versions) }

// busy reports whether the node serves enough requests for its loads to matter.
func (s *State) busy() bool { return s.Rate >= busyRate }

// latest returns the later of two moments.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
