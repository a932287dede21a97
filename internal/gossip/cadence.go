package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// The message schedule is counted in rounds: a peer gets a message in every round of the sender or in
// every nth one.
const (
	// roundInterval is the time between two rounds. An engine reads the prompts of about two requests
	// in that time.
	roundInterval = 100 * time.Millisecond

	// aliveTimeout is how long after its last message a hub counts as alive for another hub, or any
	// peer in a full mesh. spokeAliveTimeout applies between hubs and spokes, whose messages are the
	// rarest, and tolerates the loss of two of them. A spoke learns earlier from the other hubs that a
	// hub has failed.
	aliveTimeout      = 1200 * time.Millisecond
	spokeAliveTimeout = 3*spokeRounds*roundInterval + 500*time.Millisecond

	// choiceTimeout is how long a spoke follows the hub choice of a hub after that hub's last message.
	// Each of three or more hubs sends its choice once a second.
	choiceTimeout = 1700 * time.Millisecond

	// silentTimeout is how long a silent peer still gets every message; after that it gets one every
	// silentPeerRounds.
	silentTimeout    = 10 * time.Second
	silentPeerRounds = 50

	// forgetAfter is how long a silent peer is kept although messages from it are expected.
	forgetAfter = 5 * time.Minute

	// Rounds between two messages: between hubs of the same hall, between hubs of different halls,
	// where traffic is charged for, and between hubs and the spokes of their hall, for idle and for
	// busy spokes.
	sameHallRounds  = 1
	crossHallRounds = 2
	spokeRounds     = 10
	busySpokeRounds = 2

	// usesHistory is for how many rounds the prompt parts sent to engines are kept for messages.
	usesHistory = max(sameHallRounds, crossHallRounds, busySpokeRounds)

	// evictionMessages is how many messages to a peer include each eviction, so that the loss of one
	// message does not matter. evictionsHistory is for how many rounds evictions are kept.
	evictionMessages = 2
	evictionsHistory = evictionMessages * usesHistory

	// maxEvictions and maxEvictionBytes bound the evictions in a message, which has to fit into a
	// datagram of 60 KB together with loads and uses. evictionBytes is the encoded size of an
	// eviction without the engine's ID.
	maxEvictions     = 512
	maxEvictionBytes = 16 << 10
	evictionBytes    = 12

	// idleSpokeRounds is how many rounds an idle spoke sleeps: each wake-up on 290 nodes costs
	// processor time, and nothing it does is due more often.
	idleSpokeRounds = 5

	// updateRounds is for how many extra rounds a message includes recent entries of a list, such as
	// requests under which engines crashed, so that each entry is in at least two messages. The full
	// list is in the first message to a peer and in one every fullStateRounds (5 s), for peers that
	// have started or missed updates.
	updateRounds    = 3
	fullStateRounds = 50

	// updateLifetime is how long a recent list entry is sent to the peers with the longest message
	// interval, if no round is late.
	updateLifetime = (spokeRounds + updateRounds) * roundInterval

	// busyRate is the number of requests per second from which a spoke reports its load; the
	// platform's own checks reach each node about once a second.
	busyRate = 2
)

// composedRound is a round whose messages were composed.
type composedRound struct {
	number int
	at     time.Time
}

// target is a peer that gets a message in this round.
type target struct {
	Peer
	rounds   int  // rounds is the number of rounds between two messages to it.
	withHubs bool // withHubs reports whether the message includes the addresses of the chosen hubs.
}

// targets returns the peers to send to in this round, and forgets peers that have been silent for
// forgetAfter although they should send messages. Urgent state goes to every peer at once, unless that
// peer is silent or gets no messages.
func (g *Gossip) targets(now time.Time, round int) []target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []target
	for name, p := range g.peers {
		silent := now.Sub(latest(p.addedAt, p.heardAt))
		rounds := g.roundsBetween(p)
		switch {
		case rounds == 0:
		case silent > forgetAfter:
			delete(g.peers, name)
		case p.addr == nil:
		case round < p.nextRound && !(g.urgent && silent <= silentTimeout):
		default:
			if p.choiceVersion != g.choiceVersion {
				p.choiceVersion, p.choiceSeq = g.choiceVersion, g.seq+1 // The next message has the choice.
			}
			chosen := len(g.chosenHubs) > 0 && (p.ackedSeq < p.choiceSeq || p.sentCount%infoInterval == 0)
			out = append(out, target{Peer: *p, rounds: rounds, withHubs: chosen})
			p.sentCount++
			p.nextRound = round + rounds
			if silent > silentTimeout {
				p.nextRound = round + silentPeerRounds
			}
		}
	}
	return out
}

// roundsBetween returns the number of rounds between two messages to a peer; 0 if it gets none. The
// caller holds the lock.
func (g *Gossip) roundsBetween(p *Peer) int {
	if g.fullMesh() {
		return sameHallRounds
	}
	far, hub := p.Hall != g.self.Hall, g.hubs[p.Name]
	switch {
	case g.isHub && hub && far:
		return crossHallRounds
	case g.isHub && hub:
		return sameHallRounds
	case far || !g.isHub && !hub:
		return 0
	case g.isHub && p.State.busy(), hub && g.lastState.busy():
		return busySpokeRounds
	}
	return spokeRounds
}

// sleepRounds returns how many rounds this node waits until it sends again.
func (g *Gossip) sleepRounds() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fullMesh() || g.isHub || g.lastState.busy() {
		return 1
	}
	return idleSpokeRounds
}

// alive reports whether a peer was heard recently and, on a spoke, whether it is a known hub. The
// caller holds the lock.
func (g *Gossip) alive(now time.Time, p *Peer) bool {
	if !g.fullMesh() && !g.isHub && !g.hubs[p.Name] {
		return false // The hubs, which hear this peer more often, do not list it as a hub.
	}
	return g.heardRecently(now, p)
}

// heardRecently reports whether a peer was heard within its alive timeout.
func (g *Gossip) heardRecently(now time.Time, p *Peer) bool {
	timeout := spokeAliveTimeout
	if g.fullMesh() || g.isHub && len(p.chosenHubs) > 0 {
		timeout = aliveTimeout
	}
	return now.Sub(p.heardAt) <= timeout
}

// choiceIsCurrent reports whether a hub was heard recently enough for its hub choice to count.
func (g *Gossip) choiceIsCurrent(now time.Time, p *Peer) bool {
	return len(p.chosenHubs) > 0 && g.heardRecently(now, p) && (g.isHub || now.Sub(p.heardAt) <= choiceTimeout)
}

// stateFor returns the state for peers that get a message every given number of rounds, with the
// prompt parts used since the last one. Idle spokes get no loads, slowdowns or uses.
func (g *Gossip) stateFor(s State, round, rounds int) State {
	s.Uses, s.Evicted = nil, nil
	if rounds == spokeRounds {
		s.Loads, s.Slowdowns = nil, nil
		return s
	}
	for back := range min(rounds, round+1) {
		s.Uses = append(s.Uses, g.recentUses[(round-back)%len(g.recentUses)]...)
	}
	s.Evicted = g.evictionsFor(round, rounds)
	return s
}

// evictionsFor returns the evictions for the same peers, newest first: those of the rounds since the
// last but one message, so that each is in two messages.
func (g *Gossip) evictionsFor(round, rounds int) []placement.Use {
	var out []placement.Use
	size := 0
	for back := range min(evictionMessages*rounds, round+1) {
		for _, use := range slices.Backward(g.recentEvictions[(round-back)%len(g.recentEvictions)]) {
			if len(out) == maxEvictions || size+len(use.Engine) > maxEvictionBytes {
				g.evictionsLeft.Add(1)
				continue
			}
			out = append(out, use)
			size += len(use.Engine) + evictionBytes
		}
	}
	return out
}

// EvictionsLeftOut returns how many evictions did not fit into messages so far.
func (g *Gossip) EvictionsLeftOut() int64 { return g.evictionsLeft.Load() }

// hasNewVersions reports whether the state has new table versions, which peers should get at once.
func (s *State) hasNewVersions(before State) bool {
	return !maps.Equal(s.Versions, before.Versions) || !maps.Equal(s.Eras, before.Eras) || !maps.Equal(s.Kept, before.Kept)
}

// recordRound records that the messages of a round are composed.
func (g *Gossip) recordRound(now time.Time, round int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds = append(g.rounds, composedRound{round, now})
	for len(g.rounds) > 1 && g.rounds[1].number <= round-spokeRounds-updateRounds {
		g.rounds = g.rounds[1:]
	}
}

// RecentWindow returns how long ago this node learned of the list entries that are recent for any peer.
func (g *Gossip) RecentWindow(now time.Time) time.Duration { return g.recentWindow(now, spokeRounds) }

// recentWindow returns how long ago this node learned of the list entries that are recent for peers that get a
// message every given number of rounds. It is counted in the rounds that were sent: those of a process that gets
// little time come late, and an entry must be in as many messages.
func (g *Gossip) recentWindow(now time.Time, rounds int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := time.Duration(rounds+updateRounds) * roundInterval
	if len(g.rounds) == 0 {
		return window
	}
	newest, from := g.rounds[len(g.rounds)-1].number, g.rounds[0].at
	for _, r := range g.rounds {
		if r.number <= newest-rounds-updateRounds {
			from = r.at
		}
	}
	return max(window, now.Sub(from))
}

// busy reports whether the node serves enough requests for its loads to matter.
func (s *State) busy() bool { return s.Rate >= busyRate }

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
