package placement

import (
	"math"
	"slices"
	"time"
)

// An engine copies cached prompt parts from another one much faster than it prefills them. With 60
// engines that prefill 52 tokens a millisecond and copy 970, a copy of two shared parts takes 8 ms
// in place of 120 ms.

const (
	// transferOverhead is the time of a transfer apart from its bytes, in milliseconds.
	transferOverhead = 3.0

	// minTransferTokens is the least number of tokens worth a transfer.
	minTransferTokens = 512

	// minTransferGain is how many times as long as the transfer the prefill must take.
	minTransferGain = 2.0

	// maxSourceFailures is the share of failed requests from which an engine is no source.
	maxSourceFailures = 0.3

	// maxCandidates is how many entries of one prompt part the search for a source looks at, and
	// maxLooks over all parts: nearly all engines hold the first part of all prompts. The entries
	// come in random order, so different requests look at different ones.
	maxCandidates = 32
	maxLooks      = 48

	// recentHalfLife is the half-life of a transfer in its source's count of recent transfers.
	recentHalfLife = 150 * time.Millisecond

	// recentTransferCost is the cost of a recent transfer at a source, in milliseconds. It stands for
	// transfers that other nodes, which decide alike, have started there.
	recentTransferCost = 1.0

	// freshUse is how long after its last use a part is surely cached, and staleSourceCost the cost
	// of a source that used it earlier, in milliseconds. Engines under load evict parts after about 7 s.
	freshUse        = 5 * time.Second
	staleSourceCost = 50.0

	// backoffSourceCost is the cost of a source that asked for a backoff, in milliseconds: it may be
	// too busy to serve the transfer.
	backoffSourceCost = 100.0

	// unreachableTime is how long an engine that broke a connection is no source at most: three of its
	// heartbeats, after which the entry of an engine that has crashed is gone.
	unreachableTime = 4 * time.Second

	// missedShare is the share of the time saved by a transfer from which, if the first event is that
	// late, the engine is taken to have prefilled the part.
	missedShare = 0.75
)

type (
	// transferSource is the engine with the longest prefix of a prompt that can be copied.
	transferSource struct {
		engine *engine
		tokens int     // tokens is the length of that prefix.
		cost   float64 // cost orders sources of the same prefix, in milliseconds.
	}

	// link is the use of an engine's link by transfers of this node, which run one after another.
	link struct {
		busyUntil time.Time // busyUntil is when the transfers asked for are expected to be done.
		recent    float64   // recent counts transfers from the engine with exponential decay.
		at        time.Time // at is the time of recent.
	}

	// transfer is what a choice or a call copies from another engine.
	transfer struct {
		source *engine // source is nil for no transfer.
		tokens int
		ms     float64 // ms is the expected time of the transfer, in milliseconds.
		gain   float64 // gain is how much longer the prefill would take, in milliseconds.
	}
)

// transferSources returns, for each software version, the engine from which most of a prompt can be copied;
// of several, the one where a transfer is expected to begin first and to succeed. What one version has
// cached may not fit another.
func (p *Placement) transferSources(now time.Time, r Request) []transferSource {
	var out []transferSource
	looks := 0
	for i := len(r.Prompt.Shared) - 1; i >= 0 && len(out) == 0 && looks < maxLooks; i-- {
		holders := p.cache.parts[r.Prompt.Shared[i].ID]
		candidates := 0
		for id, lastUse := range holders {
			if candidates++; candidates > maxCandidates {
				break
			}
			looks++
			if now.Sub(lastUse) > cacheTTL {
				delete(holders, id) // Otherwise such entries could hide the others from a bounded search.
				continue
			}
			e := p.engines[id]
			if !p.maySend(now, r, e) {
				continue
			}
			tokens := p.cache.copyableTokens(now, id, r.Prompt)
			cost := p.sourceCost(now, e, lastUse)
			if tokens > 0 {
				out = addSource(out, transferSource{engine: e, tokens: tokens, cost: cost})
			}
		}
	}
	return out
}

// addSource adds a source to a list, unless there is a better one of its version.
func addSource(list []transferSource, s transferSource) []transferSource {
	at := slices.IndexFunc(list, func(o transferSource) bool { return o.engine.Version == s.engine.Version })
	if at < 0 {
		return append(list, s)
	}
	if s.tokens > list[at].tokens || s.tokens == list[at].tokens && s.cost < list[at].cost {
		list[at] = s
	}
	return list
}

// maySend reports whether an engine may be the source of a transfer for a request. Engines that are
// draining or whose hall is evacuated may, as long as they are there. Engines that fail or are silent
// may not: the time of the transfer would be expected wrongly. Nor may those that the request has
// tried, or those outside its regions.
func (p *Placement) maySend(now time.Time, r Request, e *engine) bool {
	return e != nil && e.Pool == r.Pool && e.Address != "" && !r.Avoid[e.ID] && p.regionAllowed(r, e) &&
		e.failures.share(now) <= maxSourceFailures && !e.silent(now) && !e.unreachable(now)
}

// unreachable reports whether an engine broke a connection and has not answered since, or has left. An engine that
// copies from an unreachable one waits for a time-out before it prefills the prompt: with the share of
// failures alone, which decays within two seconds, 30% of the long prompts began 340 ms late after a
// crash of a quarter of the engines, until their entries were gone.
func (e *engine) unreachable(now time.Time) bool {
	return e.brokenAt.After(e.answeredAt) && now.Sub(e.brokenAt) < unreachableTime || e.Draining && !e.LeavesAt.IsZero() && now.After(e.LeavesAt)
}

// ConnectionLost records that the engine could not be connected to or broke the connection. A failure
// that it reports, or a pause, does not say that it is gone.
func (c *Call) ConnectionLost(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.p.noteBroken(now, c.engine)
}

// noteBroken records that an engine broke a connection or was unreachable, and tells peers. The caller
// must hold the lock.
func (p *Placement) noteBroken(now time.Time, e *engine) {
	e.brokenAt = now
	if known := p.pools[e.Pool]; known != nil && known.interactive {
		p.changes.broken[e.ID] = true
		p.noteLoadChange(e)
	}
}

// sourceCost returns the cost of a transfer from an engine, in milliseconds.
func (p *Placement) sourceCost(now time.Time, e *engine, lastUse time.Time) float64 {
	cost := e.link.queued(now) + recentTransferCost*e.link.recentTransfers(now)
	if e.Hall != p.hall {
		cost += hallCost
	}
	if now.Sub(lastUse) > freshUse {
		cost += staleSourceCost
	}
	if now.Before(p.backoffUntil(now, e.ID)) {
		cost += backoffSourceCost
	}
	return cost
}

// queued returns for how long the link is busy with earlier transfers, in milliseconds.
func (l *link) queued(now time.Time) float64 { return max(0, milliseconds(l.busyUntil.Sub(now))) }

// recentTransfers returns the decayed number of recent transfers from the engine.
func (l *link) recentTransfers(now time.Time) float64 {
	if l.recent == 0 {
		return 0
	}
	return l.recent * math.Exp2(-max(0, now.Sub(l.at).Seconds())/recentHalfLife.Seconds())
}

// useTransfer makes a choice copy the part of the prompt that its engine lacks and the source has,
// if that is faster than the prefill.
func (c *Choice) useTransfer(now time.Time, r Request, e *engine) {
	at := slices.IndexFunc(r.sources, func(s transferSource) bool { return s.engine.Version == e.Version })
	if at < 0 || r.sources[at].engine == e {
		return
	}
	source := r.sources[at].engine
	tokens := c.PrefillTokens - (r.Prompt.Tokens - r.sources[at].tokens)
	prefill := float64(tokens) / c.PrefillRate
	ms := transferOverhead + float64(tokens)/r.TransferRate + max(source.link.queued(now), e.link.queued(now))
	if tokens < minTransferTokens || ms*minTransferGain > prefill {
		return
	}
	c.PrefillTokens = max(c.PrefillTokens-tokens, 1)
	c.TransferFrom, c.TransferTokens = source.Address, tokens
	c.transfer = transfer{source: source, tokens: tokens, ms: ms, gain: prefill - ms}
}

// HasTransfer reports whether the call copies cached parts from another engine.
func (c *Call) HasTransfer() bool { return c.transfer.source != nil }

// startTransfer records that a request with a transfer is being sent to an engine. If the source is
// gone or has restarted since the choice, the engine will prefill the part: then it returns the choice
// without the transfer.
func (p *Placement) startTransfer(now time.Time, c Choice, e *engine, r Request) Choice {
	t, known := c.transfer, p.poolState(r.Pool)
	known.stats.Transfers++
	known.stats.TransferTokens += int64(t.tokens)
	if p.engines[t.source.ID] != t.source {
		known.stats.TransfersMissed++
		c.PrefillTokens += t.tokens
		c.QueuedTokens += t.tokens
		c.Wait += t.gain
		c.transfer, c.TransferFrom, c.TransferTokens = transfer{}, "", 0
		return c
	}
	wait := max(t.source.link.queued(now), e.link.queued(now))
	done := now.Add(time.Duration((wait + float64(t.tokens)/r.TransferRate) * float64(time.Millisecond)))
	t.source.link.busyUntil, e.link.busyUntil = done, done
	t.source.link.recent, t.source.link.at = t.source.link.recentTransfers(now)+1, now
	return c
}

// noteTransfer compares the time to the first event of a call with a transfer with the expected one and
// reports whether the engine seems to have prefilled the part instead. Then its source no longer
// counts as having the parts that were to be copied, unless it has used them since. The engine of the
// call has them in either case. The caller must hold the lock.
func (c *Call) noteTransfer(took time.Duration) (missed bool) {
	t := c.transfer
	if t.source == nil || !c.alone() || milliseconds(took-c.wait) < missedShare*t.gain {
		return false
	}
	c.p.poolState(c.engine.Pool).stats.TransfersMissed++
	if c.p.engines[t.source.ID] == t.source {
		for _, part := range c.newParts {
			if !c.p.cache.parts[part.ID][t.source.ID].After(c.start) {
				c.p.cache.forgetPart(t.source.ID, part.ID)
			}
		}
	}
	return true
}
