package placement

import (
	"time"
)

const (
	// inFlightCost is the cost of each request in flight at an engine, in milliseconds: larger
	// batches take longer per token.
	inFlightCost = 2.0

	// waitingCost is the cost of each request that the engine reported as queued, in
	// milliseconds: about the time until a slot is free.
	waitingCost = 30.0

	// hallCost stands for the round trip to another hall and the price of the traffic, in
	// milliseconds.
	hallCost = 4.0

	// rankCost makes nodes without knowledge of a session choose the same engine, in
	// milliseconds per rank. In pools with more than rankEngines engines each rank costs
	// proportionally less, so that a request passes over a share of the pool, not a number of
	// engines, to reach one with part of its prompt cached. With a fixed number, more engines
	// would process the parts that many sessions share as the pool grows.
	rankCost    = 8.0
	rankEngines = 1000

	// prefillWeight is the additional weight of the time to process uncached tokens: other
	// engines may have them cached, and processing them twice takes time from other requests.
	prefillWeight = 6.0

	// spreadCost concentrates gap-sensitive streams on few engines, in milliseconds for each
	// engine beyond the reserved ones in the pool's order, so that the others can process long
	// prompts one after another.
	spreadCost = 80.0

	// maxSpread is the maximum number of engines beyond that counts: a free slot matters more.
	maxSpread = 5

	// maxStreamsPerEngine is how many separated streams share one engine, and maxStreamSlotShare the
	// share of its slots that they take at most. Mean score of four seeds with 24, 36, 48 and 80
	// on engines of 64 slots: 0.644, 0.655, 0.668, 0.663. Using fewer engines for streams leaves
	// more for long prompts.
	maxStreamsPerEngine = 48
	maxStreamSlotShare  = 0.75

	// backlogGapShare is the share of a stream's gap limit within which an engine should be able
	// to process its whole prompt queue; the rest is for what other nodes send it meanwhile.
	backlogGapShare = 0.3

	// lateStreamCost is the cost of making a stream late, in milliseconds, and delayStreamsCost
	// the cost of making many others late.
	lateStreamCost   = 3000.0
	delayStreamsCost = 1200.0

	// maxWeightedStreams is the number of streams at an engine that reaches the full cost; with
	// ten instead of three, prompts queued where a few streams ran.
	maxWeightedStreams = 3.0

	// failureCost is the cost, in milliseconds, of an engine whose recent requests all failed;
	// it is scaled by the failure share.
	failureCost = 3000.0

	// slowCost is the cost, in milliseconds, of an engine that exceeds toleratedSlowness by one;
	// it grows with the excess. A stream loses most of its time on slow engines.
	slowCost = 300.0

	// toleratedSlowness is how much slower than its pool an engine may be without a cost:
	// engines of a pool differ, and estimates are not exact.
	toleratedSlowness = 2.0

	// silenceTimeout is how long an engine with requests of this node may send nothing before it
	// is avoided.
	silenceTimeout = 600 * time.Millisecond

	// silenceCost is the cost of a silent engine, in milliseconds.
	silenceCost = 2000.0

	// scarceShare is the share of used slots, of a pool or an engine, from which slots count as
	// scarce: all requests then go there with the same urgency, so that none is preempted for
	// another. The same holds for a node that has just started and does not know the load of
	// others: slots that seem free may be taken. With 112 engines of 12 slots 268 requests of a
	// day were preempted when only the pool counted, 19 of them while less urgent ones kept
	// running, and 7 when the engine counts as well.
	scarceShare = 0.7

	// waitingShare is the share of a pool's used slots from which requests wait at their node
	// for one. Below it an engine that seems full is still used, because with many nodes its
	// known load is outdated. Mean score with 112 engines of 12 slots and 87 nodes, one run
	// each: 0.609 with waiting wherever an engine seemed full, 0.678 with this rule and the
	// present delayStreamsCost.
	waitingShare = 0.85

	// reservedShare is the share of a pool's used slots from which lower tiers leave the rest to
	// the highest, because a started request keeps its slot for seconds. On a day with too few
	// slots at 12 per engine, 18 of 192 short questions were never served while reviews had
	// started without this limit. With 0.78 and with 0.7 the rule held on five of five days,
	// with a score of 0.037 and 0.032.
	reservedShare = 0.78

	// overloadCost is the cost, in milliseconds, of an engine with as many requests as slots,
	// and again for each request beyond. With 3,000, prompts were processed again elsewhere to
	// avoid a short wait for a slot (score 0.56 to 0.59).
	overloadCost = 200.0

	// noSlotCost exceeds all other costs together, in milliseconds.
	noSlotCost = 1e6
)

// evaluate computes the cost of a request at an engine.
func (p *Placement) evaluate(now time.Time, known *pool, e *engine, r Request, beyond, rank int) Choice {
	load, occupancy := e.load(now), known.occupancy
	if r.bound != nil {
		occupancy = r.bound.occupancy
	}
	c := Choice{Engine: e.Engine, PrefillRate: known.medianPrefillRate, slowdown: known.slowdownAt(now, e)}
	overhead, rate := 0.0, c.PrefillRate // rate is the usual one.
	if r.Interactive {
		overhead, rate = known.prefillTime.estimate()
		c.PrefillRate = rate / c.slowdown
	}
	if r.Prompt.Tokens > 0 {
		c.PrefillTokens = p.cache.uncachedTokens(now, e.ID, r.Prompt)
		c.useTransfer(now, r, e)
		c.QueuedTokens = load.PrefillTokens + c.PrefillTokens
		c.Wait = overhead + c.slowdown*(float64(c.QueuedTokens)/rate) + c.transfer.ms
		c.GapSensitive = r.gapSensitive
		c.Cost += known.minCost(r, rank)
		c.Cost += known.lateness(e, load, c, r, rate, beyond)
	}
	c.Cost += prefillWeight * c.slowdown * float64(c.PrefillTokens) / rate
	c.Cost += prefillWeight * c.transfer.ms
	c.Cost += c.Wait + r.inFlightCost()*float64(load.InFlight) + waitingCost*float64(e.waiting(now))
	c.SlotAvailable = e.Slots <= 0 || load.InFlight < e.Slots || occupancy < waitingShare
	c.SlotsScarce = e.Slots > 0 && (known.partialView || known.occupancy >= scarceShare || float64(load.InFlight) >= scarceShare*float64(e.Slots))
	c.SlotsReserved = e.Slots > 0 && known.occupancy >= reservedShare
	if over := load.InFlight - e.Slots; e.Slots > 0 && over >= 0 {
		c.Cost += overloadCost * float64(1+over)
		if r.NeedSlot && !c.SlotAvailable {
			c.Cost += noSlotCost
		}
	}
	if e.Hall != p.hall {
		c.Cost += hallCost
	}
	c.Cost += failureCost * e.failures.share(now)
	c.Cost += slowCost * max(0, e.pace.slowness(now, known.medianPace)-toleratedSlowness)
	if e.silent(now) {
		c.Cost += silenceCost
	}
	if r.separated {
		c.class = p.class(now, known, e, load, c, r, rate)
	}
	if r.reserves(e) {
		c.SlotAvailable = false
		c.Cost += noSlotCost
		c.class += classNoSlot
	}
	if c.Full = p.full(now, known, e); c.Full {
		c.SlotAvailable = false
		c.class += classNoSlot
	}
	return c
}

// minCost returns the part of the cost that depends on the rank only; all other costs add to it.
func (p *pool) minCost(r Request, rank int) float64 {
	if r.Prompt.Tokens == 0 {
		return 0
	}
	if r.separated && r.gapSensitive {
		return setRankCost * float64(rank)
	}
	return rankCost * float64(rank) * min(1, rankEngines/float64(len(p.engines)))
}

// lateness returns the cost of making other streams late, or of being made late if the request
// is a gap-sensitive stream itself. beyond is the engine's distance from those reserved for
// streams. rate is the usual prefill rate, in tokens per millisecond.
func (p *pool) lateness(e *engine, load Load, c Choice, r Request, rate float64, beyond int) float64 {
	if c.GapSensitive {
		if c.slowdown > maxStreamSlowdown && !r.separated {
			return slowdownCost + lateStreamCost*excess(c, rate, milliseconds(r.MaxGap))
		}
		return spreadCost*float64(min(beyond, maxSpread)) + lateStreamCost*excess(c, rate, milliseconds(r.MaxGap))
	}
	if load.Streams == 0 || p.minStreamGap == 0 || r.separated && p.guarded(e, load) {
		return 0 // The class of a guarded engine accounts for its streams.
	}
	return delayStreamsCost * excess(c, rate, milliseconds(p.minStreamGap)) * min(float64(load.Streams), maxWeightedStreams) / maxWeightedStreams
}

// excess returns how far an engine's prompt queue exceeds what streams with a gap limit, in
// milliseconds, tolerate: 0 for no excess, 1 for twice as much.
func excess(c Choice, rate, gap float64) float64 {
	bearable := backlogGapShare * gap * rate / c.slowdown
	return min(max((float64(c.QueuedTokens)-bearable)/bearable, 0), 1)
}

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
