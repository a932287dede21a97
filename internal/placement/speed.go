package placement

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is the assumed prefill rate of an engine, in tokens per millisecond,
	// before any rate of its pool was observed: the order of magnitude of current engines.
	defaultPrefillRate = 50.0

	// prefillWindowTokens is how many tokens of the newest prompts an engine's rate is based on,
	// and prefillHalfLife the half-life of older ones: about ten long prompts, and less time
	// than engines stay slow.
	prefillWindowTokens = 30000.0
	prefillHalfLife     = 5 * time.Second

	// prefillOverhead is the time of a request apart from prompt processing: the network round
	// trip and a step or two.
	prefillOverhead = 8 * time.Millisecond

	// minSampleTokens is the minimum number of tokens in a sample; with fewer, the network round
	// trip dominates.
	minSampleTokens = 2000

	// minSampleShare is the minimum share of a prompt in its engine's queue for a sample,
	// because the progress of an engine with other prompts is unknown.
	minSampleShare = 0.9

	// maxSampleDeviation limits a sample's deviation from the expected rate, as a factor: an
	// engine that stalled once must not count as slow from then on.
	maxSampleDeviation = 4.0
)

// Prefill rates and stream gaps are learned per engine instead of being constants for a kind of
// engine. Mean score of days with failures, with constants and learned: 0.615 and 0.632 where
// engines process 43 tokens a millisecond (four seeds), 0.397 and 0.466 where they process 26,
// and 0.636 and 0.670 where they process 26 with other gaps (one seed each).
type (
	// prefillSpeed is an engine's observed prefill rate: tokens, and the time that they took.
	prefillSpeed struct {
		tokens, ms float64
		at         time.Time
	}
)

// note records the time in which an engine processed some tokens, and the expected rate.
func (r *prefillSpeed) note(now time.Time, tokens float64, took time.Duration, expected float64) {
	r.decay(now)
	ms := min(max(milliseconds(took), tokens/expected/maxSampleDeviation), tokens/expected*maxSampleDeviation)
	r.tokens += tokens
	r.ms += ms
	if r.tokens > prefillWindowTokens {
		r.ms *= prefillWindowTokens / r.tokens
		r.tokens = prefillWindowTokens
	}
}

// decay reduces the weight of older samples. Timestamps may arrive out of order.
func (r *prefillSpeed) decay(now time.Time) {
	if r.at.IsZero() {
		r.at = now
	}
	if age := now.Sub(r.at); age > 0 {
		r.at = now
		share := math.Exp2(-age.Seconds() / prefillHalfLife.Seconds())
		r.tokens *= share
		r.ms *= share
	}
}
