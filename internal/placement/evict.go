package placement

import (
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// heldShare is the share of a part's tokens from which an engine holds it: caches consist of blocks of
// tokens, so that the end of a part may be missing.
const heldShare = 0.9

// evictGrace is how old a use must be for an eviction to count. Engines evict the least recently used
// parts first, so a part used since was most likely evicted before that use, which has put it back. A
// report is up to 1.7 s old: a second at the engine, 0.3 s between two calls and 0.4 s to a peer. Where
// calls are further apart, a part that was put back meanwhile has a later event in the same answer.
const evictGrace = 2 * time.Second

// maxCountedUses bounds how many uses of parts are counted at a time: all 72,000 of 24,000 parts at three
// engines each take 10 ms, in which no request is placed.
const maxCountedUses = 8192

// Evict forgets prompt parts that have left the caches of engines. It returns those that were
// believed to be there, in the same order. Parts that were used within evictGrace are kept.
func (p *Placement) Evict(now time.Time, uses []Use) []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evict(now, history.Latest, uses)
}

// EvictFromPeer does the same for what a peer reports. known is the newest version of the engine
// entries that the peer had; what it reports of an engine that restarted after that version concerns
// the previous incarnation and is ignored.
func (p *Placement) EvictFromPeer(now time.Time, known history.Position, uses []Use) {
	if len(uses) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evict(now, known, uses)
}

// evict implements Evict and EvictFromPeer. The caller holds the lock.
func (p *Placement) evict(now time.Time, known history.Position, uses []Use) (gone []Use) {
	for _, u := range uses {
		if e := p.engines[u.Engine]; e == nil || e.Since.After(known) {
			continue
		}
		if p.cache.drop(now, u.Engine, u.Part) {
			gone = append(gone, u)
		}
	}
	return gone
}

// Confirm records parts that an engine reports to hold with a number of tokens. Parts that were
// believed not to be there are also reported to peers, like uses. Parts that no prompt was seen to
// share are ignored. It returns the parts that are forgotten because the engine holds fewer tokens
// than their length.
func (p *Placement) Confirm(now time.Time, engine string, held []Part) (gone []Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engines[engine] == nil {
		return nil
	}
	for _, part := range held {
		engines, known := p.cache.parts[part.ID]
		if !known {
			continue
		}
		use := Use{Engine: engine, Part: part.ID}
		length := p.partTokens[part.ID]
		if length == 0 {
			continue // Only a prompt of this node says how long the part is.
		}
		if float64(part.Tokens) < heldShare*float64(length) {
			if p.cache.drop(now, engine, part.ID) {
				gone = append(gone, use)
			}
			continue
		}
		if at, ok := engines[engine]; !ok || now.Sub(at) > cacheTTL {
			p.cache.recordUse(now, engine, part.ID)
			p.uses = append(p.uses, use)
		}
	}
	return gone
}

// EvictUnused forgets the parts at an engine that were not used for a time, or all if that is 0. It
// returns those that were believed to be there, the last used one last.
func (p *Placement) EvictUnused(now time.Time, engine string, unused time.Duration) []Use {
	type lastUse struct {
		part uint64
		at   time.Time
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []lastUse
	for id, engines := range p.cache.parts {
		if at, ok := engines[engine]; ok && now.Sub(at) >= unused {
			p.cache.forgetPart(engine, id)
			if now.Sub(at) <= cacheTTL {
				found = append(found, lastUse{id, at})
			}
		}
	}
	if unused == 0 {
		p.uses = slices.DeleteFunc(p.uses, func(u Use) bool { return u.Engine == engine })
	}
	slices.SortFunc(found, func(a, b lastUse) int { return a.at.Compare(b.at) })
	gone := make([]Use, 0, len(found))
	for _, each := range found {
		gone = append(gone, Use{Engine: engine, Part: each.part})
	}
	return gone
}

// PartsInUse returns how many prompt parts each engine is expected to hold that were used within a time,
// by engine ID. If there are more than maxCountedUses, it counts some of them at random.
func (p *Placement) PartsInUse(now time.Time, within time.Duration) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, left := make(map[string]int, len(p.engines)), maxCountedUses
	for _, engines := range p.cache.parts {
		for engine, at := range engines {
			if left--; left < 0 {
				return out
			}
			if now.Sub(at) <= within {
				out[engine]++
			}
		}
	}
	return out
}

// Serving returns the engines of a pool in a hall that take new work and whose IDs are selected.
func (p *Placement) Serving(pool, hall string, selected func(id string) bool) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Engine
	for _, e := range p.pool(pool).engines {
		if e.Hall == hall && selected(e.ID) {
			out = append(out, e.Engine)
		}
	}
	return out
}

// notePartTokens records the lengths of a prompt's shared parts. The caller holds the lock.
func (p *Placement) notePartTokens(prompt Prompt) {
	if p.partTokens == nil || len(p.partTokens) >= maxParts {
		p.partTokens = map[uint64]int{} // They are learned again with the next prompts.
	}
	for _, part := range prompt.Shared {
		p.partTokens[part.ID] = part.Tokens
	}
}

// drop forgets a part at an engine, unless it was used within evictGrace or a request of this node is
// prefilling it there, and reports whether it was believed to be there.
func (c *cache) drop(now time.Time, engine string, part uint64) bool {
	at, ok := c.parts[part][engine]
	if !ok || now.Sub(at) < evictGrace || c.pending[partAt{engine, part}].call != nil {
		return false
	}
	c.forgetPart(engine, part)
	return now.Sub(at) <= cacheTTL
}
