package placement

import (
	"sort"
	"time"
)

const (
	// mediansTTL is how long the medians over a pool's engines are reused: they change only with
	// new samples, which are rarer.
	mediansTTL = 50 * time.Millisecond

	// prefillSmoothing is the weight of the newest request in the prefill totals; about the last
	// 200 count, which is some seconds of a node's requests.
	prefillSmoothing = 0.005

	// unseenNodeWeight is how many streams are assumed at an unseen node for each stream of this
	// one. Nodes that do not see each other's load choose their engines by chance, and some
	// engines get many more than the mean. Of 48 nodes that started together with two streams
	// each, 28 streams ended up at one of 112 engines with 12 slots without this factor.
	unseenNodeWeight = 2

	// prefillPrior is the assumed prefill of other requests in tokens, so that the very first
	// streams do not spread over all engines: what one engine processes in a second.
	prefillPrior = 50000.0
)

// pool is the state of a pool's engines.
type pool struct {
	engines          []*engine   // engines that take new work, in the order in which streams fill them
	leaving          []*engine   // draining engines that interactive pools use until they leave
	withLeaving      []*engine   // engines, then leaving
	setAnswers       answerTimes // how long the answers of streams of the set take
	answers          answerTimes // how long other answers take
	streamEngines    int         // number of engines, from the first, reserved for separated streams
	gaps             gapStats    // gaps of streams on the other engines
	prefillTime      prefillTime // time to the first event by prompt tokens
	interactive      bool        // whether the latest request was of an interactive pool
	brittleUntil     time.Time   // when the engines stop counting as brittle by their own answers to this node
	peerBrittleUntil time.Time   // the same by what peers report
	unreachable      bool        // whether this node can reach no engine of the pool
	stats            PoolStats

	// minStreamGap is the shortest gap limit of callers whose streams are delayed by long
	// prompts; 0 if there are none.
	minStreamGap time.Duration

	// totalPrefill is this node's recent prompt tokens for the pool's engines with exponential
	// decay, and streamPrefill the part that belongs to separated streams.
	totalPrefill, streamPrefill float64

	streams            int       // number of running streams that are separated
	unseenStreams      int       // number of such streams assumed at unseen nodes
	set, guard         streamSet // engines needed for such streams in an interactive pool, and guarded from long prompts
	setSize, guardSize int       // number of engines, from the first, in the set and guarded now
	slowedAt           time.Time // when an engine was last reported to be slowed
	packSize           int       // number of engines, from the first, that new streams are spread over
	bearableRate       float64   // what may be prefilled at an engine of the set in the long run, in tokens per millisecond

	coldLimit         float64 // requests a second that a cold engine may get; 0 for any number
	partialView       bool    // whether some nodes' load is still unknown
	occupancy         float64 // known share of the pool's slots in use
	usable            int     // number of engines neither limited nor in backoff
	mediansAt         time.Time
	medianPrefillRate float64 // median rate, in tokens per millisecond
	medianPace        float64 // median pace, at least 1
}

// refreshMedians recomputes the medians over the engines unless they are recent.
func (p *pool) refreshMedians(now time.Time) {
	if age := now.Sub(p.mediansAt); age >= 0 && age < mediansTTL && p.medianPrefillRate > 0 {
		return
	}
	p.mediansAt = now
	rates := make([]float64, 0, len(p.engines))
	paces := make([]float64, 0, len(p.engines))
	for _, e := range p.engines {
		if e.prefill.tokens >= minSampleTokens {
			rates = append(rates, e.prefill.tokens/e.prefill.ms)
		}
		paces = append(paces, max(1, e.pace.ratio))
	}
	p.medianPace = median(paces, 1)
	p.medianPrefillRate = median(rates, p.prefillRate())
}

// median returns the lower median, or none if there are no values.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// prefillRate returns the median prefill rate of the pool's engines, in tokens per millisecond.
func (p *pool) prefillRate() float64 {
	if p.medianPrefillRate == 0 {
		return defaultPrefillRate
	}
	return p.medianPrefillRate
}

// noteStreamGap records the gap limit of a separated stream's caller.
func (p *pool) noteStreamGap(gap time.Duration) {
	if p.minStreamGap == 0 || gap < p.minStreamGap {
		p.minStreamGap = gap
	}
}

// refreshOccupancy computes the share of the pool's slots in use and the number of engines
// reserved for separated streams: enough for the running ones and one more, and for the prompts
// that they bring. Streams are spread over these, so that nodes which do not see each other's
// latest requests do not all choose one engine. Unseen nodes are assumed to have as many streams
// as this one, and to add some when it does. The slots of throttled engines do not count.
func (p *pool) refreshOccupancy(now time.Time, unseen int, throttled func(now time.Time, e *engine) bool) {
	streams, own, requests, slots, maxStreams := 0, 1, 0, 0, maxStreamsPerEngine
	p.usable = 0
	for _, e := range p.engines {
		load := e.load(now)
		streams += load.Streams
		own += e.own.Streams
		if throttled(now, e) {
			continue
		}
		p.usable++
		if e.Slots > 0 {
			requests += load.InFlight
			slots += e.Slots
			maxStreams = min(maxStreams, max(1, int(maxStreamSlotShare*float64(e.Slots))))
		}
	}
	p.occupancy = float64(requests) / float64(max(1, slots))
	p.streams, p.unseenStreams = streams, unseenNodeWeight*unseen*own
	streams += p.unseenStreams
	p.partialView = unseen > 0
	p.streamEngines = max(1+streams/maxStreams, p.fairStreamEngines())
}

// notePrefill records the prompt tokens that an engine has to process for a request.
func (p *pool) notePrefill(tokens int, gapSensitive bool) {
	p.totalPrefill = p.totalPrefill*(1-prefillSmoothing) + float64(tokens)
	p.streamPrefill *= 1 - prefillSmoothing
	if gapSensitive {
		p.streamPrefill += float64(tokens)
	}
}

// fairStreamEngines returns how many engines separated streams need so that these process no
// more prompt tokens than the others, since streams pause while other prompts are processed.
// With 204 engines, 800 streams a second and 1,000 long prompts, streams used 21 engines on
// average when only their number counted, and streams with a gap limit of 400 ms reached 0.781
// of their maximum score; with this rule they reached 0.860.
func (p *pool) fairStreamEngines() int {
	return int(p.streamPrefill / (p.totalPrefill + prefillPrior) * float64(len(p.engines)))
}
