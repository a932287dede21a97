package placement

import (
	"math"
	"time"
)

// In an interactive pool, streams whose pause limit a continuous prefill would break run on a set of
// engines of their own, and other prompts on the rest. Where 60 engines took 6 to 7.5 ms for a step
// with 24 streams and 25 to 33 ms for one with a prefill chunk, 24% of the streams with a limit of
// 150 ms had a longer pause when they shared engines with long prompts. The set consists of the first
// engines of the pool's list, which is ordered by hash: nodes that know the same engines and the same
// streams have the same set.

const (
	// stepChunk is how many prompt tokens an engine prefills in one step.
	stepChunk = 2048.0

	// plainStep is the time of a step without prefill, in milliseconds.
	plainStep = 7.5

	// maxSetPrompt is the longest prompt of a stream of the set, in tokens. Longer ones take several
	// steps and delay other streams themselves.
	maxSetPrompt = 1.5 * stepChunk

	// stickyGapShare replaces sensitiveGapShare for streams with a pause limit like those that were in
	// the set before: in a replay the estimated rate varied from 20 to 90 tokens per millisecond, and
	// the separation ended in between.
	stickyGapShare = 0.5

	// setPrefillShare is the share of the prefill that a pause limit leaves time for which may be
	// queued at an engine of the set. The rest is for streams that other nodes send meanwhile. Of five
	// steps for an event within 150 ms, three may have a chunk, so that 1.7 chunks may be queued. In
	// replays at 0.8 of the capacity the pauses of 0.98 of the streams held with 0.6, and of 0.999
	// with 0.5.
	setPrefillShare = 0.5

	// defaultSetChunks is how many chunks may be queued at an engine of the set while this node has
	// sent no stream of the set and does not know their pause limit.
	defaultSetChunks = 1.5

	// setReserve is the number of slots in the set for each running stream.
	setReserve = 1.25

	// maxSetNumerator and maxSetDenominator are the largest share of the pool's engines in the set.
	maxSetNumerator, maxSetDenominator = 2, 3

	// packReserve is the number of places, for each running stream, at the engines that new streams are
	// spread over: streams run for some 2 s, and peers report within 0.2 s, so that a tenth of them is
	// not known to a node. minPackReserve is the least number of places.
	packReserve    = 0.1
	minPackReserve = 8.0

	// placeReserve is the inverse of the share of an engine's slots that streams of the set leave to long
	// prompts and to streams which other nodes send meanwhile.
	placeReserve = 8

	// maxNewStreams is how many places of an engine count, so that not all nodes choose the same.
	maxNewStreams = 3

	// longReserve is the inverse of the share of an engine's slots that long prompts leave to streams
	// which other nodes send meanwhile.
	longReserve = 24

	// setShrinkDelay is how long fewer engines must be enough before the set gets smaller. It takes two
	// of these delays, since streams of a burst end one after another.
	setShrinkDelay = 400 * time.Millisecond

	// guardDelay is how long engines that left the set are guarded from long prompts at most; guarding an
	// engine ends with its streams, most of which take less. guardReserve is the inverse of the share of the set by which more
	// engines are guarded, because nodes differ by an engine or two in the size of the set. Without
	// guarded engines 1.4% of the streams of a replay had long pauses, nearly all at the last engines
	// of the set; with them none.
	guardDelay   = 4 * time.Second
	guardReserve = 4
)

type (
	// streamSet is a number of engines kept for streams. It grows at once and shrinks to the largest
	// number that was needed during a delay.
	streamSet struct {
		size       int
		lower      int       // largest number needed since lowerSince, below size
		lowerSince time.Time // zero if the whole set is needed
	}

	// recentPrefill sums the prompt tokens that this node sent to an engine. The sum falls by what may be
	// queued there within a pause limit.
	recentPrefill struct {
		tokens float64
		at     time.Time
	}

	// setOwner caches whether this node is the one that sends long prompts to an engine of the set.
	setOwner struct {
		generation int
		known      bool
		self       bool
	}
)

// separate decides whether a request of an interactive pool belongs to the stream set, and adapts the
// set. refreshOccupancy must have been called before.
func (p *pool) separate(now time.Time, r *Request) {
	_, rate := p.prefillTime.estimate()
	p.bearableRate = p.setLimit(*r, rate, 1) / milliseconds(max(p.minStreamGap, time.Millisecond))
	r.gapSensitive = r.belongsToSet(rate, p.minStreamGap)
	most := len(p.engines) * maxSetNumerator / maxSetDenominator
	p.set.resize(now, p.neededSetSize(r.gapSensitive), setShrinkDelay)
	p.setSize = min(p.set.size, most)
	p.guard.resize(now, p.set.size+p.set.size/guardReserve+1, guardDelay)
	p.guardSize = min(p.guard.size, most)
	r.separated = p.setSize > 0
	if r.gapSensitive {
		p.packSize = p.neededForPlaces(now)
	}
}

// neededForPlaces returns how many engines, from the first of the set, have places for new streams: for
// those that all nodes send until they see each other's newest ones. New streams are spread over these
// engines and no others, so that the last engines of the set become free when streams end.
func (p *pool) neededForPlaces(now time.Time) int {
	places := max(minPackReserve, packReserve*float64(p.streams)) + float64(p.unseenStreams)
	for i, e := range p.engines[:p.setSize] {
		if places -= float64(min(p.places(now, e), maxNewStreams)); places <= 0 {
			return i + 1
		}
	}
	return p.setSize
}

// places returns how many more streams an engine of the set takes.
func (p *pool) places(now time.Time, e *engine) int {
	load := e.load(now)
	free := e.maxStreams() - load.Streams
	if e.Slots > 0 {
		free = min(free, e.Slots-load.InFlight)
	}
	slow := e.pace.ratio > toleratedSlowness && e.pace.slowness(now, p.medianPace) > toleratedSlowness
	if free <= 0 || slow || e.failures.share(now) > maxHealthyFailures || e.silent(now) || p.slowdownAt(now, e) > maxExpectedSlowdown {
		return 0
	}
	return free
}

// endSeparation ends the separation in a pool that is not interactive.
func (p *pool) endSeparation() {
	p.set, p.guard, p.setSize, p.guardSize, p.packSize = streamSet{}, streamSet{}, 0, 0, 0
}

// belongsToSet reports whether a request is a stream with a short prompt whose pause limit a
// continuous prefill would break at a rate in tokens per millisecond. known is the shortest limit of
// the streams that were in the set before; 0 if there were none.
func (r *Request) belongsToSet(rate float64, known time.Duration) bool {
	if r.MaxGap <= 0 || r.Prompt.Tokens <= 0 || float64(r.Prompt.Tokens) > maxSetPrompt {
		return false
	}
	share := sensitiveGapShare
	if r.MaxGap <= known {
		share = stickyGapShare
	}
	return r.steps()*stepChunk/rate > share*milliseconds(r.MaxGap)
}

// steps returns how many steps of an engine an event of the pool's streams takes.
func (r *Request) steps() float64 { return float64(max(1, r.TokensPerEvent)) }

// resize adapts a set to the number of engines needed now.
func (s *streamSet) resize(now time.Time, needed int, delay time.Duration) {
	if needed >= s.size {
		*s = streamSet{size: needed}
		return
	}
	s.lower = max(s.lower, needed)
	switch {
	case s.lowerSince.IsZero():
		s.lowerSince = now
	case now.Sub(s.lowerSince) >= delay:
		s.size, s.lower, s.lowerSince = s.lower, needed, now
	}
}

// neededSetSize returns how many engines, from the first, have slots for the running streams of the
// set and a reserve. more is set if the request is one more of them.
func (p *pool) neededSetSize(more bool) int {
	streams := p.streams
	if more {
		streams++
	}
	if streams == 0 {
		return 0
	}
	slots, n := setReserve*float64(streams+p.unseenStreams), 0
	for ; n < len(p.engines) && slots > 0; n++ {
		slots -= float64(p.engines[n].streamSlots())
	}
	return n
}

// streamSlots returns how many streams of the set an engine takes.
func (e *engine) streamSlots() int {
	if e.Slots <= 0 {
		return maxStreamsPerEngine
	}
	return min(e.Slots, maxStreamsPerEngine)
}

// maxStreams returns how many streams of the set an engine takes while others have fewer. The rest of its
// slots is for long prompts, which hold one for some 0.5 s, and for streams that other nodes send
// meanwhile.
func (e *engine) maxStreams() int { return max(1, e.streamSlots()-e.streamSlots()/placeReserve) }

// bearablePrefill returns how many prompt tokens may be queued at an engine whose streams have a pause
// limit and a number of steps for each event, at a rate in tokens per millisecond. slowdown multiplies
// the time of each step. A rate below the default counts as the default: requests with unseen ones
// before them make the estimate too low, but a step takes no longer for that.
func bearablePrefill(limit time.Duration, steps, rate, slowdown float64) float64 {
	chunk, step := slowdown*stepChunk/max(rate, defaultPrefillRate), slowdown*plainStep
	if chunk <= step {
		return math.Inf(1) // Prefill does not delay streams.
	}
	return max(0, setPrefillShare*stepChunk*(milliseconds(limit)-steps*step)/(chunk-step))
}

// setLimit returns how many prompt tokens may be queued at an engine of the set, at a rate in tokens per
// millisecond.
func (p *pool) setLimit(r Request, rate, slowdown float64) float64 {
	if p.minStreamGap == 0 {
		return defaultSetChunks * stepChunk / slowdown
	}
	return bearablePrefill(p.minStreamGap, r.steps(), rate, slowdown)
}

// prefillAt returns how many prompt tokens an engine of the set has to prefill, or was sent by this
// node within about the pause limit of its streams, with those of the choice. A limit on the queue
// alone would allow one prompt after the other.
func (p *pool) prefillAt(now time.Time, e *engine, load Load, c Choice) float64 {
	own := max(float64(e.own.PrefillTokens), e.recent.sum(now, p.bearableRate))
	return float64(load.PrefillTokens-e.own.PrefillTokens) + own + float64(c.PrefillTokens)
}

// add adds tokens that are sent now, where a number of tokens per millisecond is bearable. What was sent
// before counts for at most a pause limit.
func (s *recentPrefill) add(now time.Time, rate float64, limit time.Duration, tokens int) {
	s.tokens, s.at = min(s.sum(now, rate), rate*milliseconds(limit))+float64(tokens), now
}

// sum returns what is left of the sum.
func (s *recentPrefill) sum(now time.Time, rate float64) float64 {
	if math.IsInf(rate, 1) {
		return 0
	}
	return max(0, s.tokens-rate*max(0, milliseconds(now.Sub(s.at))))
}

// isSelf reports whether this node, of those that send requests, is the one that sends long prompts to
// an engine of the set, by weighted rendezvous hashing: a node sends to a share of the engines like its
// share of the requests. Several nodes that do not see each other's newest prompts exceed the limit
// together: in a replay with six nodes the pauses of 0.78 of the streams held when all sent, and of
// 0.999 when one did.
func (o *setOwner) isSelf(now time.Time, engine uint64, all *senders) bool {
	hashes := all.current(now)
	if o.known && o.generation == all.generation {
		return o.self
	}
	*o = setOwner{generation: all.generation, known: true, self: true}
	own := ownerScore(engine, hashes[0], all.weights[0])
	o.self = all.weights[0] >= all.leastOwner
	for i := 1; i < len(hashes) && o.self; i++ {
		if all.weights[i] < all.leastOwner {
			continue
		}
		o.self = ownerScore(engine, hashes[i], all.weights[i]) >= own
	}
	return o.self
}

// ownerScore returns the score of a node for an engine. The node with the lowest one is the owner: the
// scores are distributed exponentially, with the weight of the node as the rate.
func ownerScore(engine, node uint64, weight float64) float64 {
	const steps = 1 << 53 // float64 has 53 bits
	return -math.Log((float64(mix(engine^node)>>11)+0.5)/steps) / weight
}

// StreamSets returns, by interactive pool with such streams, the number of engines of the stream set.
func (p *Placement) StreamSets() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for name, known := range p.pools {
		if known.set.size > 0 {
			out[name] = known.setSize
		}
	}
	return out
}
