package placement

import (
	"maps"
	"time"
)

// A prompt part counts as cached at an engine from the moment a request with it is sent there, so
// that the next one goes to the same engine. It can be copied to another engine only once its prefill
// has ended. In interactive pools the parts that are still being prefilled are therefore remembered:
// until the call that prefills them has begun, or, for a peer's, until its prefill is expected to end.

// minPendingSweep is the least number of remembered parts at which expired ones are looked for.
const minPendingSweep = 256

type (
	// partAt is a prompt part at an engine.
	partAt struct {
		engine string
		part   uint64
	}

	// pendingPart is a part that is still being prefilled.
	pendingPart struct {
		call  *Call     // call is this node's call that prefills it; nil for a peer's.
		until time.Time // until is when a peer's prefill is expected to end.
	}
)

// holds reports whether an engine is expected to have a part, or is prefilling it.
func (c *cache) holds(now time.Time, engine string, part uint64) bool {
	at, ok := c.parts[part][engine]
	return ok && now.Sub(at) <= cacheTTL
}

// ready reports whether the prefill of a part that an engine holds has ended.
func (c *cache) ready(now time.Time, engine string, part uint64) bool {
	pending, ok := c.pending[partAt{engine, part}]
	return !ok || pending.call == nil && !now.Before(pending.until)
}

// copyableTokens returns the length of the prefix of a prompt that can be copied from an engine.
func (c *cache) copyableTokens(now time.Time, engine string, p Prompt) int {
	tokens := 0
	for _, part := range p.Shared {
		if !c.holds(now, engine, part.ID) || !c.ready(now, engine, part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, p.Tokens-1)
}

// setPending records that a part is being prefilled at an engine.
func (c *cache) setPending(now time.Time, engine string, part uint64, pending pendingPart) {
	if c.pending == nil {
		c.pending = map[partAt]pendingPart{}
	}
	if len(c.pending) >= max(c.sweepAt, minPendingSweep) {
		maps.DeleteFunc(c.pending, func(_ partAt, x pendingPart) bool { return x.call == nil && !now.Before(x.until) })
		c.sweepAt = 2 * len(c.pending)
	}
	c.pending[partAt{engine, part}] = pending
}

// forgetPart forgets a part at an engine.
func (c *cache) forgetPart(engine string, part uint64) {
	delete(c.parts[part], engine)
	delete(c.pending, partAt{engine, part})
}

// expectParts records which parts of a prompt a call prefills or copies: the first one that its engine
// lacks and all after it. The caller must hold the lock, and records the uses after it.
func (c *Call) expectParts(now time.Time, parts []Part) {
	c.parts, c.newParts = parts, nil
	for i, part := range parts {
		if c.newParts == nil && c.p.cache.holds(now, c.engine.ID, part.ID) {
			continue
		}
		if c.newParts == nil {
			c.newParts = parts[i:]
		}
		c.p.cache.setPending(now, c.engine.ID, part.ID, pendingPart{call: c})
	}
}

// confirmParts records that the engine of a call has the call's parts. The caller must hold the lock.
func (c *Call) confirmParts(now time.Time) {
	if c.p.engines[c.engine.ID] != c.engine {
		return // It has restarted or is gone.
	}
	for _, part := range c.parts {
		c.p.cache.recordUse(now, c.engine.ID, part.ID)
		delete(c.p.cache.pending, partAt{c.engine.ID, part.ID})
	}
}

// dropParts forgets the parts that a call which ended without an answer was to prefill. The caller
// must hold the lock.
func (c *Call) dropParts() {
	for _, part := range c.newParts {
		if c.p.cache.pending[partAt{c.engine.ID, part.ID}].call == c {
			c.p.cache.forgetPart(c.engine.ID, part.ID)
		}
	}
}

// expectPeerPart records that a peer has sent a part that an engine lacked. Peers report a part when
// they send it. If the peer has prompts to be prefilled there, the part is there once the engine has
// processed its queue, otherwise it is there now. The caller must hold the lock, and records the use
// after it.
func (p *Placement) expectPeerPart(now time.Time, e *engine, reported Load, part uint64) {
	known := p.pools[e.Pool]
	if known == nil || !known.interactive || reported.PrefillTokens <= 0 || p.cache.holds(now, e.ID, part) {
		return
	}
	overhead, rate := known.prefillTime.estimate()
	ms := overhead + float64(e.load(now).PrefillTokens)/rate
	p.cache.setPending(now, e.ID, part, pendingPart{until: now.Add(time.Duration(ms * float64(time.Millisecond)))})
}
