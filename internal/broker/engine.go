package broker

import (
	"sort"
	"time"
)

const (
	// timePerTokenWeight is the weight of a new measurement of an engine's pace.
	timePerTokenWeight = 0.2

	// slowFactor is how many times the median pace an engine may take before it
	// gets less work.
	slowFactor = 2.0

	// fullPause is how long an engine that refused as full gets nothing.
	fullPause = 100 * time.Millisecond

	// downPause is how long an engine that failed gets nothing, the first time;
	// it doubles with each failure in a row, up to downPauseMax.
	downPause    = 500 * time.Millisecond
	downPauseMax = 10 * time.Second
)

// Engine is one engine as its pool's broker sees it.
type Engine struct {
	Name     string
	Slots    int  // Slots is how many requests it may have at once.
	KVTokens int  // KVTokens is its room for tokens; 0 for unknown.
	Draining bool // Draining says that it gets no new work.

	inFlight     int
	tokens       int           // tokens that those in flight are expected to occupy.
	timePerToken time.Duration // pace is the time for one token, from what completed.
	slotFraction float64       // degree is the part of its slots that it gets, from 0 to 1.
	slowdown     float64       // slowness is its pace over the median of its pool, 1 at least.
	failures     int           // failures in a row.
	pausedUntil  time.Time
	leaving      bool // leaving is what its own load report says.
}

// limit returns how many requests an engine may have at once now.
func (e *Engine) limit() int {
	if e.failures > 0 {
		return 1 // An engine that failed is tried with one request.
	}
	return max(1, int(float64(e.Slots)*e.slotFraction+0.5))
}

// hasRoom reports whether an engine may take one more request of a size.
func (e *Engine) hasRoom(now time.Time, tokens int) bool {
	switch {
	case e.Draining || e.leaving || now.Before(e.pausedUntil):
		return false
	case e.inFlight >= e.limit():
		return false
	case e.KVTokens > 0 && e.inFlight > 0 && e.tokens+tokens > e.KVTokens:
		return false
	}
	return true
}

// load orders engines: the share of its limit in use after one more request,
// and more for one that is slow.
func (e *Engine) load() float64 { return e.slowdown * float64(e.inFlight+1) / float64(e.limit()) }

// observe takes what a request showed of the engine.
func (e *Engine) observe(now time.Time, status string, outputTokens int, duration, firstToken time.Duration) {
	switch status {
	case StatusOK:
		e.failures = 0
		if outputTokens > 1 && duration > firstToken {
			e.observeTimePerToken((duration - firstToken) / time.Duration(outputTokens-1))
		}
	case StatusFull:
		e.pausedUntil = now.Add(fullPause)
	case StatusFailed:
		e.failures++
		pause := downPause << min(e.failures-1, 8)
		e.pausedUntil = now.Add(min(pause, downPauseMax))
	}
}

// observeTimePerToken takes one measurement of the time for a token.
func (e *Engine) observeTimePerToken(pace time.Duration) {
	if e.timePerToken == 0 {
		e.timePerToken = pace
		return
	}
	e.timePerToken += time.Duration(timePerTokenWeight * float64(pace-e.timePerToken))
}

// limitSlowEngines gives slow engines less work: an engine at f times the median pace
// gets slowFactor/f of its slots. Half of the engines are never slower than the
// median, so that at least half keep all their slots.
func limitSlowEngines(engines map[string]*Engine) {
	var paces []time.Duration
	for _, e := range engines {
		if e.timePerToken > 0 {
			paces = append(paces, e.timePerToken)
		}
	}
	if len(paces) == 0 {
		return
	}
	sort.Slice(paces, func(i, j int) bool { return paces[i] < paces[j] })
	median := paces[(len(paces)-1)/2]
	for _, e := range engines {
		e.slotFraction, e.slowdown = 1, 1
		if e.timePerToken > time.Duration(slowFactor*float64(median)) {
			e.slowdown = float64(e.timePerToken) / float64(median)
			e.slotFraction = slowFactor / e.slowdown
		}
	}
}
