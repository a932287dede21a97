package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/news"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// outgoing is a message with its target.
type outgoing struct {
	to target
	message
}

// payloadKind distinguishes the payloads of a round; targets of the same kind share one.
type payloadKind struct {
	rounds   int  // rounds is the number of rounds that the payload covers.
	full     bool // full reports whether the payload has all held requests, limits and leaving engines, not only recent entries.
	withHubs bool // withHubs reports whether the payload has the addresses of the chosen hubs.
}

// selectEntries returns the entries of a list, sorted newest first, that go into a payload: all or
// only those within a window. age returns how long ago the sender learned of an entry.
func selectEntries[T any](c payloadKind, window time.Duration, list []T, age func(T) time.Duration) []T {
	if c.full {
		return list
	}
	return news.Recent(list, age, window)
}

// send sends the messages of a round.
func (g *Gossip) send(round int) {
	for _, o := range g.compose(clock.Now, round) {
		g.sendTo(o)
	}
}

// compose returns the messages of a round. The targets, and with them the acknowledged messages, are
// fixed before the state is collected: receivers count ages from the time they sent the acknowledged
// message, so the state must not be older than that.
func (g *Gossip) compose(clock func() time.Time, round int) []outgoing {
	before := clock()
	g.UpdateHubs(before)
	targets := g.targets(before, round)
	now := clock()
	g.recordRound(now, round)
	state := g.node.LocalState(now)
	state.Nodes = g.advertisedCount()
	state.TakesLoadUpdates = g.loadNode != nil
	chosen := g.recordState(state)
	g.recentUses[round%len(g.recentUses)] = state.Uses
	g.recentEvictions[round%len(g.recentEvictions)] = state.Evicted
	if len(targets) == 0 {
		return nil
	}
	seq := g.nextSeq(now)
	encoded := map[payloadKind]cbor.RawMessage{}
	out := make([]outgoing, 0, len(targets))
	for _, to := range targets {
		kind := payloadKind{rounds: to.rounds, full: to.sentCount%(fullStateRounds/to.rounds) == 0, withHubs: to.withHubs}
		if encoded[kind] == nil {
			s, window := g.stateFor(state, round, to.rounds), g.recentWindow(now, to.rounds)
			s.Crashing = selectEntries(kind, window, state.Crashing, func(t quarantine.GossipEntry) time.Duration { return t.Age })
			s.CrashRuns = quarantine.SplitRuns(s.Crashing)
			if !kind.full {
				s.CrashingParts = state.CrashingParts.Recent(window)
			}
			s.Limits = selectEntries(kind, window, state.Limits, func(t limit.GossipEntry) time.Duration { return t.Age })
			s.Leaving = selectEntries(kind, window, state.Leaving, func(t discovery.GossipEntry) time.Duration { return t.Age })
			s.PoolVersions = selectEntries(kind, window, state.PoolVersions, func(v pinning.PoolVersion) time.Duration { return v.Age })
			if kind.withHubs {
				s.ChosenHubs = g.chosenHubInfo()
			}
			raw, err := cbor.Marshal(s)
			if err != nil {
				g.log.Error("encoding messages to peers failed", "error", err.Error())
				return nil
			}
			encoded[kind] = raw
		}
		m := message{Ack: to.lastSeq, Seq: seq, Name: g.self.Name, Incarnation: g.self.Incarnation, Hubs: chosen, State: encoded[kind]}
		if to.lastSeq == 0 || to.sentCount%infoInterval == 0 {
			m.PeerAddress, m.CallerAddress, m.Hall, m.Cores = g.self.PeerAddress, g.self.CallerAddress, g.self.Hall, g.self.Cores
		}
		out = append(out, outgoing{to: to, message: m})
	}
	return out
}

// sendTo sends a message to one peer.
func (g *Gossip) sendTo(o outgoing) {
	packet, err := cbor.Marshal(o.message)
	if err != nil {
		g.log.Error("encoding message to peer failed", "error", err.Error())
		return
	}
	g.link.Sent(clock.Now(), len(packet))
	if _, err := g.conn.WriteToUDP(packet, o.to.addr); err != nil {
		g.log.Debug("sending message to peer failed", "peer", o.to.Name, "error", err.Error())
	}
}

// nextSeq returns the next sequence number and records its send time.
func (g *Gossip) nextSeq(now time.Time) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	g.sentTimes[g.seq%sentHistory] = now
	return g.seq
}

// recordState records the state being sent and whether it is urgent. It returns the hubs that this
// node, as a hub, chose for its hall.
func (g *Gossip) recordState(s State) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.urgent = s.hasNewVersions(g.lastState)
	if g.urgent {
		clear(g.recentEvictions[:])
		clear(g.recentUses[:]) // Uses from before a change of engines may belong to an earlier incarnation.
	}
	g.lastState = s
	return g.chosenHubs
}
