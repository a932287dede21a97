package placement

import (
	"time"
)

const (
	// inFlightCost is what each request in flight at an engine costs another, in
	// milliseconds: batches with more requests take longer for each token.
	inFlightCost = 2.0

	// waitingCost is what each request costs that the engine said was waiting, in
	// milliseconds: about the time until a place is free.
	waitingCost = 30.0

	// hallCost stands for the way to another hall and back and for the price of
	// the bytes, in milliseconds.
	hallCost = 4.0

	// rankCost makes nodes that know equally little of a session choose the same
	// engine, in milliseconds a rank. Of more engines than rankEngines each weighs as much less, so that it is a share of
	// the pool that a request passes over for one which has read a part of its prompt. Were it a number of engines, more of
	// them would read the parts that many sessions share, the more engines there are.
	rankCost    = 8.0
	rankEngines = 1000

	// prefillWeight is how much more a token weighs that the engine has to read
	// than its reading takes: other engines may have it cached, and what is read
	// twice takes that time from others.
	prefillWeight = 6.0

	// spreadCost makes streams that long prompts would make late gather on few
	// engines, in milliseconds for each engine beyond these in the pool's order, so
	// that the others may read long prompts one after another.
	spreadCost = 80.0

	// maxSpread is the most engines beyond that weigh: a place that is free weighs more.
	maxSpread = 5

	// maxStreamsPerEngine is how many streams gather on one engine, and streamsShare the share of
	// its places that they take at most. Mean worth over four seeds with 24, 36, 48 and 80
	// on engines of 64 places: 0.644, 0.655, 0.668, 0.663: what gathers on fewer leaves
	// more engines to long prompts.
	maxStreamsPerEngine = 48
	maxStreamSlots      = 0.75

	// backlogGapShare is the share of the longest pause that a stream's caller bears in
	// which an engine should be able to read all that waits there; the rest is for what
	// other nodes send it meanwhile.
	backlogGapShare = 0.3

	// lateStreamCost is what it costs a stream to be made late, in milliseconds, and spoilCost
	// what it costs to make many late.
	lateStreamCost   = 3000.0
	delayStreamsCost = 1200.0

	// maxWeightedStreams is how many streams at an engine weigh as much as can be; with
	// ten instead of three, prompts queued where a few streams ran.
	maxWeightedStreams = 3.0

	// failureCost is what an engine costs whose requests all failed lately, in
	// milliseconds; it is weighed by the share that failed.
	failureCost = 3000.0

	// slowCost is what an engine costs that is twice as slow as it may be, in
	// milliseconds; more so the slower it is. Most of a stream's time is lost there.
	slowCost = 300.0

	// toleratedSlowness is how much slower than its pool an engine may be: engines
	// of a pool differ, and what is expected is not exact.
	toleratedSlowness = 2.0

	// silenceTimeout is how long an engine may send nothing, while it has requests
	// of this node, before it is avoided.
	silenceTimeout = 600 * time.Millisecond

	// silenceCost is what a silent engine costs, in milliseconds.
	silenceCost = 2000.0

	// scarceShare is the share of places, of a pool or of the engine itself, from which few are
	// left: all requests then go there with one urgency, so that none is put back for another.
	// The same goes for a node that has just started and does not know what others run: what it takes for free may be
	// taken. With 112 engines of 12 places 268 requests of a day were put back where the pool alone
	// counted, 19 of them while less urgent ones ran on, and 7 where the engine counts as well.
	scarceShare = 0.7

	// waitingShare is the share of a pool's places from which requests wait at their node
	// for one. Where others are free, an engine that seems full is used all the same: with
	// many nodes what is known of it is old. Mean worth with 112 engines of 12 places and 87
	// nodes, one play each: 0.609 with waits wherever an engine seemed full, 0.678 so and with
	// the present spoilCost.
	waitingShare = 0.85

	// reservedShare is the share of a pool's places from which lower tiers leave the rest to the
	// highest: what they began keeps its place for seconds. Where 12 places an engine lacked
	// all day, 18 of 192 short questions got nothing while reviews had begun without it; from
	// 0.78 and from 0.7 on the rule held on five days of five, with a worth of 0.037 and 0.032.
	reservedShare = 0.78

	// overloadCost is what an engine costs that has as many requests as places, in
	// milliseconds; more so for each that is over. With 3,000 prompts were read again
	// elsewhere for the sake of a place that was soon free (worth 0.56 to 0.59).
	overloadCost = 200.0

	// noSlotCost is more than all else together, in milliseconds.
	noSlotCost = 1e6
)

// evaluate works out the cost of a request at an engine.
func (p *Placement) evaluate(now time.Time, known *pool, e *engine, r Request, beyond, rank int) Choice {
	load := e.load(now)
	c := Choice{Engine: e.Engine, PrefillRate: known.medianPrefillRate}
	if r.Prompt.Tokens > 0 {
		c.PrefillTokens = p.cache.uncachedTokens(now, e.ID, r.Prompt)
		c.QueuedTokens = load.PrefillTokens + c.PrefillTokens
		c.Wait = float64(c.QueuedTokens) / c.PrefillRate
		c.GapSensitive = r.gapSensitive
		c.Cost += known.minCost(r, rank)
		c.Cost += known.lateness(load, c, r, beyond)
	}
	c.Cost += prefillWeight * float64(c.PrefillTokens) / c.PrefillRate
	c.Cost += c.Wait + inFlightCost*float64(load.InFlight) + waitingCost*float64(e.waiting(now))
	c.SlotAvailable = e.Slots <= 0 || load.InFlight < e.Slots || known.occupancy < waitingShare
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
	if e.own.InFlight > 0 && now.Sub(e.lastData) > silenceTimeout {
		c.Cost += silenceCost
	}
	return c
}

// minCost returns what a request costs at an engine by its rank alone; all else that is
// weighed adds to it.
func (p *pool) minCost(r Request, rank int) float64 {
	if r.Prompt.Tokens == 0 {
		return 0
	}
	return rankCost * float64(rank) * min(1, rankEngines/float64(len(p.engines)))
}

// lateness returns what it costs that the request makes streams late, or that it
// is a stream which what the engine has to read makes late. Streams gather; beyond
// tells how far the engine lies beyond those on which they do.
func (p *pool) lateness(load Load, c Choice, r Request, beyond int) float64 {
	if c.GapSensitive {
		return spreadCost*float64(min(beyond, maxSpread)) + lateStreamCost*excess(c, milliseconds(r.MaxGap))
	}
	if load.Streams == 0 || p.minStreamGap == 0 {
		return 0
	}
	return delayStreamsCost * excess(c, milliseconds(p.minStreamGap)) * min(float64(load.Streams), maxWeightedStreams) / maxWeightedStreams
}

// excess tells how much more an engine has to read than streams there bear whose
// callers bear a pause, in milliseconds: 0 for no more, 1 for twice as much.
func excess(c Choice, gap float64) float64 {
	bearable := backlogGapShare * gap * c.PrefillRate
	return min(max((float64(c.QueuedTokens)-bearable)/bearable, 0), 1)
}

// milliseconds turns a duration into milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
