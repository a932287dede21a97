package placement

import (
	"slices"
	"time"
)

// A brittle engine falls over if it has to turn away more than a few requests in a second. No node can
// keep to such a bound alone, and what an engine lets wait may shrink at any time. So at the engines of
// a brittle pool each slot belongs to one of the nodes that send requests, by rendezvous hashing, and a
// node has no more requests at an engine than it has slots there, unless some of the engine's slots are
// known to be free. Rates are no weights: where they change, so would many owners at once, and former
// and new ones would send together. Nodes that disagree for a moment on who sends exceed the slots by few.

const (
	// brittleTTL is how long a pool counts as brittle after the last answer that said so, and
	// peerBrittleTTL after a peer's last message that did: longer than between two messages.
	brittleTTL     = 10 * time.Second
	peerBrittleTTL = 2500 * time.Millisecond

	// lendableShare is the share of a brittle engine's slots that must be known to be free for a node to
	// use a slot that is not its own, and minLendable the least number, if it has so many. They must have
	// been free for lendAfter: under overload slots that ended together are free for a moment only, and
	// nodes learn late who took them. A node is lent one slot of an engine in lendInterval.
	lendableShare = 0.25
	minLendable   = 2
	lendAfter     = 300 * time.Millisecond
	lendInterval  = 50 * time.Millisecond
)

// slotShare caches how many slots of a brittle engine belong to this node, with its inputs.
type slotShare struct {
	generation, slots int
	own               int
}

// lending is what decides whether a brittle engine's free slots may be used by nodes that do not own
// them.
type lending struct {
	freeSince time.Time // freeSince is since when enough slots were free at each check.
	checkedAt time.Time // checkedAt is when that was last checked.
	lentAt    time.Time // lentAt is when this node was last lent a slot.
}

// allows records how many slots are free and reports whether one may be lent.
func (l *lending) allows(now time.Time, free, slots int) bool {
	if now.Sub(l.checkedAt) > lendAfter {
		l.freeSince = now.Add(-lendAfter) // Nothing was sent for a while.
	}
	l.checkedAt = now
	if free < max(int(lendableShare*float64(slots)), min(minLendable, slots)) {
		l.freeSince = now
	}
	return now.Sub(l.freeSince) >= lendAfter && now.Sub(l.lentAt) >= lendInterval
}

// NoteBrittle records whether an engine of a pool said in an answer that it is brittle, and reports
// whether that is new.
func (p *Placement) NoteBrittle(now time.Time, pool string, brittle bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.poolState(pool)
	before := now.Before(known.brittleUntil)
	known.brittleUntil = time.Time{}
	if brittle {
		known.brittleUntil = now.Add(brittleTTL)
	}
	return before != brittle
}

// Brittle returns the pools whose engines said to this node that they are brittle, sorted.
func (p *Placement) Brittle(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, known := range p.pools {
		if now.Before(known.brittleUntil) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// MergeBrittle records the brittle pools that a peer knows of.
func (p *Placement) MergeBrittle(now time.Time, pools []string) {
	if len(pools) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range pools {
		p.poolState(name).peerBrittleUntil = now.Add(peerBrittleTTL)
	}
}

// brittle reports whether the engines of the pool are brittle.
func (p *pool) brittle(now time.Time) bool {
	return now.Before(p.brittleUntil) || now.Before(p.peerBrittleUntil)
}

// full reports whether this node may send no more requests to a brittle engine for now. The caller must
// hold the lock.
func (p *Placement) full(now time.Time, known *pool, e *engine) bool {
	if e.Slots <= 0 || !known.brittle(now) {
		return false
	}
	free := e.Slots - e.load(now).InFlight - e.starting
	if free <= 0 {
		e.lending.allows(now, free, e.Slots)
		return true // Other nodes may still use slots that they were lent.
	}
	lendable := e.lending.allows(now, free, e.Slots)
	return e.own.InFlight+e.starting >= p.ownSlots(now, e) && !lendable
}

// reserveSlot takes a slot of a brittle engine for a request that is about to be sent, and reports whether
// there was one; there is at any other engine. The caller must hold the lock.
func (p *Placement) reserveSlot(now time.Time, e *engine) bool {
	if e == nil || !p.poolState(e.Pool).brittle(now) {
		return true
	}
	if p.full(now, p.poolState(e.Pool), e) {
		return false // Another request took the slot.
	}
	if e.own.InFlight+e.starting >= p.ownSlots(now, e) {
		e.lending.lentAt = now
	}
	e.starting++
	return true
}

// ownSlots returns how many slots of a brittle engine belong to this node. The caller must hold the
// lock.
func (p *Placement) ownSlots(now time.Time, e *engine) int {
	all := p.senders.current(now)
	if e.share.generation != p.senders.generation || e.share.slots != e.Slots {
		e.share = slotShare{generation: p.senders.generation, slots: e.Slots, own: countOwnSlots(e.hash, e.Slots, all)}
	}
	if unseen := p.unseenNodes(now); unseen > 0 {
		return e.share.own * len(all) / (len(all) + unseen)
	}
	return e.share.own
}

// countOwnSlots returns how many of an engine's slots belong to the first of the nodes that send
// requests, given the hashes of their names.
func countOwnSlots(engine uint64, slots int, all []uint64) int {
	own := 0
	for slot := range slots {
		least, first := uint64(0), true
		for i, node := range all {
			if h := mix(mix(engine^uint64(slot+1)) ^ node); i == 0 || h < least {
				least, first = h, i == 0
			}
		}
		if first {
			own++
		}
	}
	return own
}
