package placement

import (
	"sort"
	"time"
)

const (
	// mediansTTL is how long the medians over a pool's engines are used before they are
	// worked out again: learning takes some requests, which are rarer.
	mediansTTL = 50 * time.Millisecond

	// prefillSmoothing is the weight of the newest request in the shares of what engines read; about
	// the last 200 count, some seconds of a node's requests.
	prefillSmoothing = 0.005

	// unseenNodeWeight is for how many streams each one counts that unheard nodes may have begun: nodes that do not see each
	// other's work choose their engines by chance, and some engines get many more than the mean. Of 48 nodes that
	// start together with two streams each, 28 streams stood at one of 112 engines of 12 places without it.
	unseenNodeWeight = 2

	// prefillPrior is how many tokens of other requests are taken for granted, so that the first
	// streams of all do not spread over all engines: what one engine reads in a second.
	prefillPrior = 50000.0
)

// pool is what is known of a pool's engines together.
type pool struct {
	engines       []*engine // engines that take new work, in the order in which streams gather on them
	streamEngines int       // gather is on how many engines, from the first, streams gather that are kept apart
	gaps          gapStats  // pauses are of streams on the other engines

	// minStreamGap is the shortest pause that callers of streams bear which engines make late
	// while they read long prompts; 0 if there are no such streams.
	minStreamGap time.Duration

	// totalPrefill is how many tokens this node's newest requests gave engines to totalPrefill, newer ones
	// weighing more, and streamPrefill the part of streams that are kept apart.
	totalPrefill, streamPrefill float64

	coldLimit         float64 // coldLimit is how many requests a cold engine bears in a second; 0 for any number.
	partialView       bool    // blind says that nodes were not heard which may have begun work.
	occupancy         float64 // taken is the share of the pool's places that is taken, as far as is known.
	usable            int     // free is how many engines are not held back by a limit or by rest.
	mediansAt         time.Time
	medianPrefillRate float64 // usualRead is the median rate, in tokens a millisecond.
	medianPace        float64 // usualPace is the median pace, at least 1.
}

// refreshMedians works out the medians over the engines, unless that was done lately.
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

// median returns the lower median, or a value that stands in for none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// prefillRate returns the prefillRate rate of the pool's engines, in tokens a millisecond.
func (p *pool) prefillRate() float64 {
	if p.medianPrefillRate == 0 {
		return defaultPrefillRate
	}
	return p.medianPrefillRate
}

// noteStreamGap takes the pause that the caller of a stream bears which is kept apart.
func (p *pool) noteStreamGap(gap time.Duration) {
	if p.minStreamGap == 0 || gap < p.minStreamGap {
		p.minStreamGap = gap
	}
}

// refreshOccupancy works out which share of the pool's places is taken, and on how many of its
// engines streams gather: enough for those that run and one more, and for the prompts that
// they bring. They are spread over these, so that nodes which do not see each other's last
// requests do not all choose one. Nodes that have not been heard are taken to have as many as this one, and to
// add to them when it does. The places of engines that are held back don't count.
func (p *pool) refreshOccupancy(now time.Time, unheard int, heldBack func(now time.Time, e *engine) bool) {
	streams, own, requests, places, most := 0, 1, 0, 0, maxStreamsPerEngine
	p.usable = 0
	for _, e := range p.engines {
		load := e.load(now)
		streams += load.Streams
		own += e.own.Streams
		if heldBack(now, e) {
			continue
		}
		p.usable++
		if e.Slots > 0 {
			requests += load.InFlight
			places += e.Slots
			most = min(most, max(1, int(maxStreamSlots*float64(e.Slots))))
		}
	}
	p.occupancy = float64(requests) / float64(max(1, places))
	streams += unseenNodeWeight * unheard * own
	p.partialView = unheard > 0
	p.streamEngines = max(1+streams/most, p.fairStreamEngines())
}

// notePrefill takes a request with the tokens that an engine has to read for it.
func (p *pool) notePrefill(tokens int, tight bool) {
	p.totalPrefill = p.totalPrefill*(1-prefillSmoothing) + float64(tokens)
	p.streamPrefill *= 1 - prefillSmoothing
	if tight {
		p.streamPrefill += float64(tokens)
	}
}

// fairStreamEngines returns on how many engines streams gather so that these read no more than
// the others, since streams pause while others' prompts are read. With 204 engines, 800
// streams a second and 1,000 long prompts they gathered by their number on 21 engines on the
// mean; the streams that bear pauses of 400 ms earned 0.781 of their worth then, and 0.860 so.
func (p *pool) fairStreamEngines() int {
	return int(p.streamPrefill / (p.totalPrefill + prefillPrior) * float64(len(p.engines)))
}
