package placement

import "time"

// Classes of engines for a request in a pool with a stream set. An engine of a lower class is chosen
// at any cost.
const (
	classOwn       = iota // the request's own part of the pool; for streams of the set, in time
	classFull             // for streams of the set: in the set, but with few places left; for long prompts: in the set, rather than late elsewhere
	classDisturbed        // for streams of the set: in the set, but slowed or with much to prefill
	classOther            // the other part of the pool, in time
	classLate             // not in time
	classHarmful          // for long prompts: where they would break the pauses of streams
	classBroken           // an engine that fails or is silent
	classNoSlot           // is added for a request that needs a slot where there is none
)

const (
	// maxHealthyFailures is the share of failed requests from which an engine counts as broken.
	maxHealthyFailures = 0.3

	// lateShare is the share of its target within which a long prompt should begin. Above it, engines of
	// the stream set that can take it are preferred at any cost: it would be refused elsewhere.
	lateShare = 0.8

	// setInFlightCost and setRankCost are the costs of each request in flight and of each rank for
	// streams of the set, in milliseconds. The former spreads them among the engines that take new ones,
	// since each stream makes the steps of the others longer; the latter keeps nodes that do not see each other's newest streams
	// from choosing the same engine.
	setInFlightCost = 5.0
	setRankCost     = 10.0
)

// class returns the class of an engine for a request. The cost of the choice need not be
// complete. rate is the usual prefill rate, in tokens per millisecond.
func (p *Placement) class(now time.Time, known *pool, e *engine, load Load, c Choice, r Request, rate float64) int {
	class := classOwn
	inSet := e.poolIndex < known.setSize
	guarded := known.guarded(e, load)
	switch {
	case e.failures.share(now) > maxHealthyFailures || e.silent(now):
		class = classBroken
	case r.gapSensitive && !beginsInTime(e, load, c, r):
		class = classLate
	case r.gapSensitive && !inSet:
		class = classOther
	case r.gapSensitive && (c.slowdown > maxExpectedSlowdown || known.prefillAt(now, e, load, c) > known.setLimit(r, rate, c.slowdown)):
		class = classDisturbed
	case r.gapSensitive && load.Streams >= e.maxStreams():
		class = classFull
	case r.gapSensitive:
	case guarded && known.hasSlowed(now) && (!r.intoSet || e.pausesLong(now, r)):
		class = classHarmful
	case guarded && !p.takesLong(now, known, e, load, c, r, rate):
		class = classHarmful
	case r.intoSet && guarded && known.hasSlowed(now):
		class = classFull
	case r.intoSet && known.hasSlowed(now) && (c.late(r) || !hasSlot(e, load) || c.PrefillTokens > r.maxPrefill):
		class = classLate
	}
	if r.NeedSlot && !c.SlotAvailable {
		class += classNoSlot
	}
	return class
}

// takesLong reports whether an engine that runs streams of the set takes a long prompt of this node: it
// begins in time, leaves a slot for streams, and its prefill breaks no pauses.
func (p *Placement) takesLong(now time.Time, known *pool, e *engine, load Load, c Choice, r Request, rate float64) bool {
	slotLeft := e.Slots <= 0 || load.InFlight < e.Slots-e.Slots/longReserve
	return slotLeft && beginsInTime(e, load, c, r) && e.owner.isSelf(now, e.hash, &p.senders) &&
		known.prefillAt(now, e, load, c) <= known.setLimit(r, rate, c.slowdown)
}

// inTime returns another engine for a long prompt that is expected to be late at the cheapest: one of the
// stream set that can take it or, where engines are slowed now and then, rather one of the others that
// begins in time and has hardly more to prefill.
func (p *Placement) inTime(now time.Time, known *pool, r Request, cheapest Choice) (Choice, bool) {
	r.intoSet, r.maxPrefill = true, cheapest.PrefillTokens+minTransferTokens
	slowed := known.hasSlowed(now)
	p.candidates = p.candidates[:0]
	for _, e := range known.engines {
		if guarded := known.guarded(e, e.load(now)); guarded && e.owner.isSelf(now, e.hash, &p.senders) || !guarded && (slowed || e.poolIndex < known.guardSize) {
			p.candidates = append(p.candidates, e)
		}
	}
	c, ok := p.cheapest(now, known, r, p.candidates)
	return c, ok && c.class <= classFull && c.Wait < cheapest.Wait
}

// guarded reports whether long prompts must keep the pauses of the streams at an engine.
func (p *pool) guarded(e *engine, load Load) bool {
	return e.poolIndex < p.setSize || e.poolIndex < p.guardSize && load.Streams > 0
}

// beginsInTime reports whether a request gets a slot at an engine and is expected to begin within its
// target.
func beginsInTime(e *engine, load Load, c Choice, r Request) bool {
	return (r.Target <= 0 || c.Wait <= milliseconds(r.Target)) && hasSlot(e, load)
}

// late reports whether a choice of an interactive pool takes so long to begin that the request may be
// refused.
func (c Choice) late(r Request) bool {
	return r.Target > 0 && c.Wait > lateShare*milliseconds(r.Target)
}

// hasSlot reports whether an engine has a free slot.
func hasSlot(e *engine, load Load) bool { return e.Slots <= 0 || load.InFlight < e.Slots }

// beyond returns the distance of an engine from those reserved for streams in a pool that is not
// interactive.
func (p *pool) beyond(r Request, e *engine) int {
	if r.Interactive {
		return 0
	}
	return max(0, e.poolIndex-p.streamEngines)
}

// inFlightCost returns the cost of each request in flight at an engine, in milliseconds.
func (r *Request) inFlightCost() float64 {
	if r.separated && r.gapSensitive {
		return setInFlightCost
	}
	return inFlightCost
}
