package cachewatch

import (
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// minPause is the least time between two calls, so that events come in batches, and maxPause the
	// longest time, with many engines or after failures.
	minPause = 300 * time.Millisecond
	maxPause = 5 * time.Second

	// gapUnused is how long a part must not have been used to be forgotten when events are missing:
	// engines evict the least recently used parts first, under load after about 7 s. Forgetting
	// everything used before the gap would leave nothing where events are missing all the time.
	gapUnused = 7 * time.Second

	// gapInterval is the least time between two such steps for an engine, each of which goes through
	// all parts that the node knows: 4.6 ms with 24,000 parts.
	gapInterval = 5 * time.Second
)

type (
	// position is how far the events of an engine have been read. The zero value is the position of
	// a node that starts to watch.
	position struct {
		begun    bool
		epoch    string
		next     int64
		pause    time.Duration // pause is the least time until the next call.
		failures int           // failures counts failed calls in a row.
		gap      bool          // gap means that events are missing, which has not been acted on.
		gapAt    time.Time     // gapAt is when parts were last forgotten for a gap.
	}

	// change is what follows from an answer.
	change struct {
		restarted bool             // restarted means that nothing is cached apart from what is held.
		gap       bool             // gap means that parts not used for gapUnused may have been evicted.
		gone      []uint64         // gone are the parts that were evicted, oldest event first.
		held      []placement.Part // held are the parts in the cache with the tokens held.
	}
)

// advance records an answer and returns what follows from it. The first answer only sets the
// position: its events may be of any age. Of several events of a part the last one counts.
func (p *position) advance(now time.Time, a Answer) change {
	first := !p.begun
	restarted := a.Epoch != "" && p.epoch != "" && a.Epoch != p.epoch
	p.begun, p.next, p.pause, p.failures = true, a.Next, minPause, 0
	if a.Epoch != "" {
		p.epoch = a.Epoch
	}
	if first {
		return change{}
	}
	c := change{restarted: restarted}
	p.gap = (p.gap || a.Lost) && !restarted
	if p.gap && now.Sub(p.gapAt) >= gapInterval {
		p.gap, p.gapAt, c.gap = false, now, true
	}
	last := make(map[uint64]int, len(a.Events))
	for i, e := range a.Events {
		last[e.Part] = i
	}
	for i, e := range a.Events {
		switch {
		case last[e.Part] != i:
		case e.Kept <= 0:
			c.gone = append(c.gone, e.Part)
		default:
			c.held = append(c.held, placement.Part{ID: e.Part, Tokens: e.Kept})
		}
	}
	return c
}

// fail records a failed call: the pause doubles, and the position stays.
func (p *position) fail() {
	p.failures++
	p.pause = min(max(2*p.pause, 2*minPause), maxPause)
}

// apply changes what is known of the engine's cache. It returns the forgotten parts, oldest first.
func (c change) apply(now time.Time, cache Cache, engine string) []placement.Use {
	var forgotten []placement.Use
	switch {
	case c.restarted:
		forgotten = cache.EvictUnused(now, engine, 0)
	case c.gap:
		forgotten = cache.EvictUnused(now, engine, gapUnused)
	}
	if len(c.gone) > 0 {
		uses := make([]placement.Use, 0, len(c.gone))
		for _, part := range c.gone {
			uses = append(uses, placement.Use{Engine: engine, Part: part})
		}
		forgotten = append(forgotten, cache.Evict(now, uses)...)
	}
	if len(c.held) > 0 {
		forgotten = append(forgotten, cache.Confirm(now, engine, c.held)...)
	}
	return forgotten
}
