package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheTTL is how long a prompt part is assumed to stay in an engine's KV cache after its
	// last use. Engines evict the least recently used parts first.
	cacheTTL = 30 * time.Second

	// maxParts bounds the prompt parts that a node remembers over all engines: twice what 500
	// requests a second with one session each use within cacheTTL. A part at one engine takes
	// 436 bytes of heap, so the maximum is 14 MB, and 6,000 parts take 2.5 MB. With a limit of
	// 4,096 parts, all dropped when it was reached, 55% of the long requests of known sessions
	// went to another engine.
	maxParts = 1 << 15
)

type (
	// Part is a prompt segment that other prompts may share.
	Part struct {
		ID     uint64
		Tokens int
	}

	// Prompt describes a request's prompt.
	Prompt struct {
		Shared []Part // Shared holds the shared prefix parts in order; a cached part counts only if all parts before it are cached.
		Tokens int    // Tokens is the length of the whole prompt.
	}

	// cache records which prompt parts each engine is expected to hold.
	cache struct {
		parts   map[uint64]map[string]time.Time // last use by part ID and engine ID
		pending map[partAt]pendingPart          // parts that are still being prefilled; nil before the first
		sweepAt int                             // number of pending parts at which expired ones are removed
	}
)

// NewPart returns a part for the ID that the caller gave it.
func NewPart(id string, tokens int) Part { return Part{ID: xxhash.Sum64String(id), Tokens: tokens} }

// Session returns the ID of the last shared part, which identifies the session; 0 if there is
// none.
func (p Prompt) Session() uint64 {
	if len(p.Shared) == 0 {
		return 0
	}
	return p.Shared[len(p.Shared)-1].ID
}

// SharedIDs returns the IDs of the shared parts.
func (p Prompt) SharedIDs() []uint64 {
	ids := make([]uint64, 0, len(p.Shared))
	for _, part := range p.Shared {
		ids = append(ids, part.ID)
	}
	return ids
}

// recordUse records that an engine has processed parts.
func (c *cache) recordUse(now time.Time, engine string, parts ...uint64) {
	for _, id := range parts {
		at := c.parts[id]
		if at == nil {
			if len(c.parts) >= maxParts {
				c.prune(now)
			}
			at = map[string]time.Time{}
			c.parts[id] = at
		}
		at[engine] = now
	}
}

// prune removes parts not used within cacheTTL. If too many remain, it removes the least
// recently used ones.
func (c *cache) prune(now time.Time) {
	for life := cacheTTL; len(c.parts) >= maxParts*3/4; life /= 2 {
		c.forgetBefore(now.Add(-life))
		if life == 0 {
			return // All parts were used at this instant.
		}
	}
}

// forgetBefore removes uses older than a given time.
func (c *cache) forgetBefore(moment time.Time) {
	for id, engines := range c.parts {
		for engine, at := range engines {
			if at.Before(moment) {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(c.parts, id)
		}
	}
}

// forget removes an engine.
func (c *cache) forget(engine string) {
	for _, engines := range c.parts {
		delete(engines, engine)
	}
	for at := range c.pending {
		if at.engine == engine {
			delete(c.pending, at)
		}
	}
}

// uncachedTokens returns how many prompt tokens an engine still has to process.
func (c *cache) uncachedTokens(now time.Time, engine string, p Prompt) int {
	left := p.Tokens
	for _, part := range p.Shared {
		if !c.holds(now, engine, part.ID) {
			break
		}
		left -= part.Tokens
	}
	return max(left, 1)
}
