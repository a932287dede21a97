package placement

// What engines are seen to do stands in place of constants of a kind of engine: the
// rate at which they read prompts, and how long their streams pause meanwhile. Mean
// worth of days with trouble, constants and learned: 0.615 and 0.632 where engines read
// 43 tokens a millisecond (four seeds), 0.397 and 0.466 where they read 26 and 0.636
// and 0.670 where they read 26 with other pauses (one seed each).

import (
	"math"
	"sort"
	"time"
)

const (
	// firstRead is how many prompt tokens an engine is taken to read in a millisecond
	// before any engine of its pool was seen to: the order of present-day engines.
	firstRead = 50.0

	// firstPiece is how many prompt tokens an engine is taken to read between two
	// tokens of its streams before that was seen: the usual setting of such engines.
	firstPiece = 3000.0

	// readMemory is how many tokens of the newest prompts an engine's rate rests on,
	// and readLife the time in which older ones count half: some ten long prompts,
	// and less than engines stay slow.
	readMemory = 30000.0
	readLife   = 5 * time.Second

	// readFloor is what a request takes besides reading: the way there and back and a
	// step or two.
	readFloor = 8 * time.Millisecond

	// readLeast is the least number of unread tokens from which a rate is learned; with
	// fewer, the way there and back is most of the time.
	readLeast = 2000

	// readAlone is the share that a prompt must have in all that its engine had to read
	// for its rate to be learned: how far an engine is with other prompts is not known.
	readAlone = 0.9

	// readBound is how far one observation may lie from what was expected, as a factor:
	// an engine that stood still must not count as one that reads slowly ever after.
	readBound = 4.0

	// pauseEvidence is how much more an engine must have had to read, during a stream, than
	// it reads in the stream's longest pause, for that pause to show how long pauses get.
	pauseEvidence = 1.5

	// pauseShare is the share of longest pauses that are no longer than the one learned.
	pauseShare = 0.85

	// pauseStep is by how much one stream moves the learned pause, as a share of it; the
	// first ones move it more, by pauseFirst over their number.
	pauseStep  = 0.06
	pauseFirst = 0.3

	// pausePrior is how many streams the pool's pause weighs in that of an engine, and
	// pauseMost how many of the engine's own count.
	pausePrior = 4
	pauseMost  = 16

	// usualLife is how long the medians over a pool's engines are used before they are
	// worked out again: learning takes some requests, which are rarer.
	usualLife = 50 * time.Millisecond
)

type (
	// reading is how fast an engine reads prompts: tokens, and the time that they took.
	reading struct {
		tokens, ms float64
		at         time.Time
	}

	// pauses follows the longest pauses of streams during which an engine had long prompts
	// to read.
	pauses struct {
		upper float64 // upper is the pause that a share of pauseShare does not exceed, in milliseconds.
		seen  int
	}

	// pool is what is known of a pool's engines together.
	pool struct {
		engines  []*engine     // engines that take new work, in the order in which streams gather on them; nil once one changed
		pauses   pauses        // pauses are of streams at all engines
		tightest time.Duration // tightest is the shortest of the pauses that callers of streams bear which are made late where the engines read long prompts; 0 if none are

		usualPause float64 // usualPause is how long streams pause where engines read long prompts all the while, in milliseconds.
		taken      float64 // taken is the share of the pool's places that is taken, as far as is known.
		usualAt    time.Time
		usualRead  float64 // usualRead is the median rate, in tokens a millisecond.
		usualPace  float64 // usualPace is the median pace, at least 1.
	}
)

// note takes the time in which an engine read some tokens, and the rate that was expected.
func (r *reading) note(now time.Time, tokens float64, took time.Duration, expected float64) {
	r.decay(now)
	ms := float64(took) / float64(time.Millisecond)
	ms = min(max(ms, tokens/expected/readBound), tokens/expected*readBound)
	r.tokens += tokens
	r.ms += ms
	if r.tokens > readMemory {
		r.ms *= readMemory / r.tokens
		r.tokens = readMemory
	}
}

// decay lets older readings weigh less. Moments may come out of order.
func (r *reading) decay(now time.Time) {
	if r.at.IsZero() {
		r.at = now
	}
	if age := now.Sub(r.at); age > 0 {
		r.at = now
		share := math.Exp2(-age.Seconds() / readLife.Seconds())
		r.tokens *= share
		r.ms *= share
	}
}

// learnUsual works out the medians over the engines, unless that was done lately.
func (p *pool) learnUsual(now time.Time) {
	if age := now.Sub(p.usualAt); age >= 0 && age < usualLife && p.usualRead > 0 {
		return
	}
	p.usualAt = now
	rates := make([]float64, 0, len(p.engines))
	paces := make([]float64, 0, len(p.engines))
	for _, e := range p.engines {
		if e.reading.tokens >= readLeast {
			rates = append(rates, e.reading.tokens/e.reading.ms)
		}
		paces = append(paces, max(1, e.pace.ratio))
	}
	p.usualPace = median(paces, 1)
	p.usualRead = median(rates, p.usual())
}

// median returns the lower median, or a value that stands in for none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// usual returns the usual rate of the pool's engines, in tokens a millisecond.
func (p *pool) usual() float64 {
	if p.usualRead == 0 {
		return firstRead
	}
	return p.usualRead
}

// note takes the longest pause of a stream, in milliseconds.
func (p *pauses) note(ms float64) {
	p.seen++
	step := max(pauseStep, pauseFirst/float64(p.seen))
	switch {
	case p.seen == 1:
		p.upper = ms
	case ms > p.upper:
		p.upper *= 1 + step*pauseShare
	case ms < p.upper:
		p.upper *= 1 - step*(1-pauseShare)
	}
}

// pause returns how long a stream pauses at an engine that reads long prompts all the
// while, in milliseconds.
func (p *pool) pause(e *engine, tokensPerEvent int) float64 {
	p.usualPause = p.pauses.upper
	if p.pauses.seen == 0 {
		p.usualPause = firstPiece * float64(max(1, tokensPerEvent)) / p.usual()
	}
	usual := p.usualPause
	weight := float64(min(e.pauses.seen, pauseMost))
	return (usual*pausePrior + e.pauses.upper*weight) / (pausePrior + weight)
}

// learnPauses takes a stream that has ended: its longest pause, in milliseconds, and the
// most tokens that its engine had to read meanwhile. Where these were enough for the
// engine to read all through a longer pause, there are none longer.
func (p *pool) learnPauses(e *engine, longest float64, unread int, read float64) {
	if longest > 0 && float64(unread) >= read*max(pauseEvidence*longest, p.usualPause) {
		p.pauses.note(longest)
		e.pauses.note(longest)
	}
}
