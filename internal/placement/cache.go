package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheTTL is how long a prompt part is taken to stay in an engine's cache
	// after its last use there. Engines let the longest unused parts go first.
	cacheTTL = 30 * time.Second

	// maxParts bounds the parts that a node remembers, over all engines: twice as many as 500
	// requests a second with a session each use in cachedLife. A part at one engine takes 436
	// bytes of the heap, so that these are 14 MB at most, and 6,000 parts 2.5 MB. Where 4,096
	// parts were all that fitted and all were forgotten then, of the long requests of a session
	// that had been at an engine before 55 in 100 went to another one.
	maxParts = 1 << 15
)

type (
	// Part is a part of a prompt that other prompts may share.
	Part struct {
		ID     uint64
		Tokens int
	}

	// Prompt is what a request gives an engine to read.
	Prompt struct {
		Shared []Part // Shared parts come first, in order; a cached part counts only with all before it.
		Tokens int    // Tokens is the length of the whole prompt.
	}

	// cache remembers which parts were given to which engines.
	cache struct {
		parts map[uint64]map[string]time.Time // by part and engine id: the last use
	}
)

// NewPart returns a part by the id that callers gave it.
func NewPart(id string, tokens int) Part { return Part{ID: xxhash.Sum64String(id), Tokens: tokens} }

// Session returns the last shared part, by which requests of one session are
// told; 0 if there is none.
func (p Prompt) Session() uint64 {
	if len(p.Shared) == 0 {
		return 0
	}
	return p.Shared[len(p.Shared)-1].ID
}

// recordUse records that an engine has read parts.
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

// prune forgets what no engine keeps any more, and where that is not enough what was used
// the longest ago.
func (c *cache) prune(now time.Time) {
	for life := cacheTTL; len(c.parts) >= maxParts*3/4; life /= 2 {
		c.forgetBefore(now.Add(-life))
		if life == 0 {
			return // All were used at this moment.
		}
	}
}

// forgetBefore drops the uses before a moment.
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

// forget drops an engine that is gone.
func (c *cache) forget(engine string) {
	for _, engines := range c.parts {
		delete(engines, engine)
	}
}

// uncachedTokens returns how many tokens of a prompt an engine still has to read.
func (c *cache) uncachedTokens(now time.Time, engine string, p Prompt) int {
	left := p.Tokens
	for _, part := range p.Shared {
		at, ok := c.parts[part.ID][engine]
		if !ok || now.Sub(at) > cacheTTL {
			break
		}
		left -= part.Tokens
	}
	return max(left, 1)
}
