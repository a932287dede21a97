package broker

import (
	"sort"
	"time"
)

const (
	// timePerTokenWeight is the weight of a new sample in the moving average.
	timePerTokenWeight = 0.2

	// slowFactor is how many times the median time per token an engine may take
	// before it gets fewer requests.
	slowFactor = 2.0

	// fullPause is how long an engine that reported itself full gets no requests.
	fullPause = 100 * time.Millisecond

	// downPause is how long an engine gets no requests after its first failure;
	// it doubles with each consecutive failure, up to downPauseMax.
	downPause    = 500 * time.Millisecond
	downPauseMax = 10 * time.Second
)

// Engine is the broker's state of one engine.
type Engine struct {
	Name     string
	Slots    int  // Slots is the number of concurrent requests it may run.
	KVTokens int  // KVTokens is its KV cache capacity in tokens; 0 if unknown.
	Draining bool // Draining means that it gets no new requests.

	inFlight     int
	tokens       int           // tokens that the requests in flight are expected to occupy.
	timePerToken time.Duration // timePerToken is a moving average over completed requests.
	slotFraction float64       // slotFraction is the fraction of its slots that the broker may fill, from 0 to 1.
	slowdown     float64       // slowdown is its time per token over the pool's median, at least 1.
	failures     int           // failures is the number of consecutive failures.
	pausedUntil  time.Time
	leaving      bool // leaving is taken from the engine's own load report.
}

// limit returns how many concurrent requests the engine may have now.
func (e *Engine) limit() int {
	if e.failures > 0 {
		return 1 // Probe a failed engine with a single request.
	}
	return max(1, int(float64(e.Slots)*e.slotFraction+0.5))
}

// hasRoom reports whether the engine can take one more request of a size.
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

// load ranks engines: the share of the limit in use after one more request,
// scaled up for slow engines.
func (e *Engine) load() float64 { return e.slowdown * float64(e.inFlight+1) / float64(e.limit()) }

// observe updates the engine's state from the result of a request.
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

// observeTimePerToken adds a sample to the average time per token.
func (e *Engine) observeTimePerToken(sample time.Duration) {
	if e.timePerToken == 0 {
		e.timePerToken = sample
		return
	}
	e.timePerToken += time.Duration(timePerTokenWeight * float64(sample-e.timePerToken))
}

// limitSlowEngines gives slow engines fewer requests: an engine at f times the
// median time per token gets slowFactor/f of its slots. Half of the engines are
// never slower than the median, so at least half keep all their slots.
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
