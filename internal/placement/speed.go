package placement

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is how many prompt tokens an engine is taken to read in a millisecond
	// before any engine of its pool was seen to: the order of present-day engines.
	defaultPrefillRate = 50.0

	// prefillWindowTokens is how many tokens of the newest prompts an engine's rate rests on,
	// and readLife the time in which older ones count half: some ten long prompts,
	// and less than engines stay slow.
	prefillWindowTokens = 30000.0
	prefillHalfLife     = 5 * time.Second

	// prefillOverhead is what a request takes besides reading: the way there and back and a
	// step or two.
	prefillOverhead = 8 * time.Millisecond

	// minSampleTokens is the least number of unread tokens from which a rate is learned; with
	// fewer, the way there and back is most of the time.
	minSampleTokens = 2000

	// minSampleShare is the share that a prompt must have in all that its engine had to read
	// for its rate to be learned: how far an engine is with other prompts is not known.
	minSampleShare = 0.9

	// maxSampleDeviation is how far one observation may lie from what was expected, as a factor:
	// an engine that stood still must not count as one that reads slowly ever after.
	maxSampleDeviation = 4.0
)

// What engines are seen to do stands in place of constants of a kind of engine: the
// rate at which they read prompts, and how long their streams pause meanwhile. Mean
// worth of days with trouble, constants and learned: 0.615 and 0.632 where engines read
// 43 tokens a millisecond (four seeds), 0.397 and 0.466 where they read 26 and 0.636
// and 0.670 where they read 26 with other pauses (one seed each).
type (
	// prefillSpeed is how fast an engine reads prompts: tokens, and the time that they took.
	prefillSpeed struct {
		tokens, ms float64
		at         time.Time
	}
)

// note takes the time in which an engine read some tokens, and the rate that was expected.
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

// decay lets older readings weigh less. Moments may come out of order.
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
