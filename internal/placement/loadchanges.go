package placement

import (
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// recentAnswer is how long an answer of an engine to this node outweighs a peer's report that it is
// unreachable: the peer may have lost its own way there.
const recentAnswer = 100 * time.Millisecond

// maxUnreportedUses bounds the uses that are kept for the next load update. Peers learn of the others
// from the regular reports.
const maxUnreportedUses = 64

// loadChanges records what has changed of this node's own load at the engines of interactive pools
// since it was last taken.
type loadChanges struct {
	engines map[string]bool
	broken  map[string]bool // broken holds the engines that broke a connection of this node.
	slowed  map[string]bool // slowed holds the engines that reported a slowdown which matters to peers.
	uses    []Use
	changed chan struct{}
}

// newLoadChanges returns an empty record.
func newLoadChanges() loadChanges {
	return loadChanges{engines: map[string]bool{}, broken: map[string]bool{}, slowed: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// noteLoadChange records that this node's load at an engine has changed. The caller must hold the lock.
func (p *Placement) noteLoadChange(e *engine) {
	if known := p.pools[e.Pool]; known == nil || !known.interactive {
		return
	}
	p.changes.engines[e.ID] = true
	select {
	case p.changes.changed <- struct{}{}:
	default: // A signal is already pending.
	}
}

// noteSlowdownChange records that an engine of an interactive pool has reported a slowdown. The caller
// must hold the lock.
func (p *Placement) noteSlowdownChange(e *engine) {
	if known := p.pools[e.Pool]; known != nil && known.interactive && e.slowdown.notify {
		p.changes.slowed[e.ID] = true
	}
}

// noteUse records a prompt part that is sent to an engine of an interactive pool. The caller must hold
// the lock.
func (p *Placement) noteUse(u Use) {
	if len(p.changes.uses) < maxUnreportedUses {
		p.changes.uses = append(p.changes.uses, u)
	}
}

// LoadChanged returns a channel that receives when this node's load at an engine of an interactive pool
// has changed.
func (p *Placement) LoadChanged() <-chan struct{} { return p.changes.changed }

// TakeLoadChanges returns what has changed since the last call, in interactive pools: this node's load
// at the engines where it differs, the parts that it sent to engines, the slowdowns that engines
// reported to it, and the engines that broke a connection and have not answered since.
func (p *Placement) TakeLoadChanges(now time.Time) (loads map[string]Load, uses []Use, slowdowns []Slowdown, broken []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.changes.slowed {
		if e := p.engines[id]; e != nil && len(slowdowns) < maxSlowdownEntries {
			if s, ok := e.slowdown.forPeers(now, id); ok {
				slowdowns = append(slowdowns, s)
			}
		}
	}
	loads = make(map[string]Load, len(p.changes.engines))
	for id := range p.changes.engines {
		if e := p.engines[id]; e != nil {
			loads[id] = p.reportedLoad(e)
		}
	}
	for id := range p.changes.broken {
		if e := p.engines[id]; e != nil && e.unreachable(now) {
			broken = append(broken, id)
		}
	}
	clear(p.changes.engines)
	clear(p.changes.broken)
	clear(p.changes.slowed)
	uses, p.changes.uses = p.changes.uses, nil
	return loads, uses, slowdowns, broken
}

// UpdatePeerLoads records what has changed of a peer's load since its last report. known is as in
// UpdatePeer.
func (p *Placement) UpdatePeerLoads(now time.Time, peer string, known history.Position, loads map[string]Load, uses []Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range loads {
		if e := p.engines[id]; e != nil && !e.Since.After(known) {
			e.setPeer(now, peer, l)
			p.peerEngines[peer] = append(p.peerEngines[peer], id) // The next report replaces the load.
		}
	}
	p.recordPeerUses(now, known, loads, uses)
}

// UpdateBroken records engines that broke a connection of a peer. known is as in UpdatePeer.
func (p *Placement) UpdateBroken(now time.Time, known history.Position, broken []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range broken {
		if e := p.engines[id]; e != nil && !e.Since.After(known) && now.Sub(e.answeredAt) > recentAnswer {
			e.brokenAt = now
		}
	}
}

// recordPeerUses records the parts that a peer sent to engines. The caller must hold the lock.
func (p *Placement) recordPeerUses(now time.Time, known history.Position, loads map[string]Load, uses []Use) {
	for _, u := range uses {
		if e := p.engines[u.Engine]; e != nil && !e.Since.After(known) {
			p.expectPeerPart(now, e, loads[u.Engine], u.Part)
			p.cache.recordUse(now, u.Engine, u.Part)
		}
	}
}
