package placement

import (
	"slices"
	"time"
)

// In an interactive pool, a draining engine serves on until shortly before it leaves, with requests that
// are expected to end by then. Those that can't be repeated or resumed must end by then: they may run
// until their deadline, whatever others took. When draining engines were dropped at once and two halls were reclaimed
// within 1.2 s, the engines in use fell from 179 to 65 while replacements took 4 s, and the share of
// answers in time fell from 0.98 to 0.62.

const (
	// leaveMargin is how long before it leaves an engine gets its last request.
	leaveMargin = 200 * time.Millisecond

	// answerMargin multiplies the expected time of an answer: callers' guesses of its length are right
	// in the median only.
	answerMargin = 1.5

	// priorEventTime is the assumed time per event, in milliseconds, before any answer was observed:
	// 5 to 7 steps of an engine.
	priorEventTime = 40.0

	// answerSmoothing is the weight of the newest answer in the moving averages.
	answerSmoothing = 0.02
)

// answerTimes are moving averages over the streams of a pool that run in its stream set, or over all
// others: an event takes several times as long beside long prompts.
type answerTimes struct {
	events float64 // events per answer; 0 before the first
	took   float64 // time from the first event to the last, in milliseconds
}

// WithStoreKnown sets the function that reports whether changes in the platform's store reach this
// node. While they do not, draining engines get no requests.
func WithStoreKnown(known func(now time.Time) bool) Option {
	return func(p *Placement) { p.storeKnown = known }
}

// NoteAnswer records that a stream had a number of events, the last of them a time after the first.
func (p *Placement) NoteAnswer(c Choice, events int, took time.Duration) {
	if events < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolState(c.Engine.Pool).answersOf(c.GapSensitive).note(float64(events), milliseconds(took))
}

// answersOf returns the averages for streams of the set or for others.
func (p *pool) answersOf(gapSensitive bool) *answerTimes {
	if gapSensitive {
		return &p.setAnswers
	}
	return &p.answers
}

// note adds an answer to the averages.
func (a *answerTimes) note(events, took float64) {
	if a.events == 0 {
		*a = answerTimes{events: events, took: took}
	}
	a.events += answerSmoothing * (events - a.events)
	a.took += answerSmoothing * (took - a.took)
}

// expected returns the expected time from the first to the last event of an answer of some events; 0
// events if unknown.
func (a *answerTimes) expected(events int) time.Duration {
	usual := *a
	if usual.events == 0 {
		usual = answerTimes{events: defaultEvents, took: defaultEvents * priorEventTime}
	}
	if events <= 0 {
		return time.Duration(usual.took * float64(time.Millisecond))
	}
	return time.Duration(float64(events) * usual.took / usual.events * float64(time.Millisecond))
}

// MaySend reports whether a request may still be sent to the engine that was chosen for it, and until
// when; zero for no limit. In an interactive pool the engine must not have been removed, and a draining
// one must still be in use. Other pools send to the engine that was chosen, unless it was draining then.
func (p *Placement) MaySend(now time.Time, c Choice, r Request) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[c.Engine.ID]
	ok = true
	switch {
	case !r.Interactive && !c.Engine.Draining:
	case e == nil || e.Incarnation != c.Engine.Incarnation:
		return time.Time{}, false
	case e.Draining:
		until, ok = e.useEnd(), p.usesLeaving(now, e) && e.servesToEnd(r)
	}
	return until, ok && p.reserveSlot(now, e)
}

// StillChosen reports whether nothing has become known of a chosen engine that rules it out: it is still the one
// that was chosen, and is not draining unless it was then.
func (p *Placement) StillChosen(c Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[c.Engine.ID]
	return e != nil && e.Incarnation == c.Engine.Incarnation && (!e.Draining || c.Engine.Draining)
}

// usesLeaving reports whether a draining engine is still used. The caller must hold the lock.
func (p *Placement) usesLeaving(now time.Time, e *engine) bool {
	return !e.LastSend.IsZero() && !p.evacuated[e.Hall] && now.Before(e.useEnd()) && p.storeKnown(now)
}

// useEnd returns until when requests may be sent to a draining engine that is in use.
func (e *engine) useEnd() time.Time {
	end := e.LeavesAt.Add(-leaveMargin)
	if e.LastSend.Before(end) {
		return e.LastSend
	}
	return end
}

// appendLeaving completes the lists of a pool. Leaving engines come after the others, so that they are
// never of the stream set.
func (p *pool) appendLeaving() {
	slices.SortFunc(p.leaving, func(a, b *engine) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for i, e := range p.leaving {
		e.poolIndex = len(p.engines) + i
	}
	p.withLeaving = p.engines
	if len(p.leaving) > 0 {
		p.withLeaving = slices.Concat(p.engines, p.leaving)
	}
}

// candidates returns the engines that may take a request.
func (p *pool) candidates(r Request) []*engine {
	if r.Interactive {
		return p.withLeaving
	}
	return p.engines
}

// counts returns the number of engines that take requests like the given one, and how many of them are
// neither limited nor in backoff. The caller must hold the lock.
func (p *Placement) counts(now time.Time, known *pool, r Request) (engines, usable int) {
	engines, usable = len(known.engines), known.usable
	if r.bound != nil {
		return r.bound.engines, r.bound.usable
	}
	if !r.Interactive {
		return engines, usable
	}
	for _, e := range known.leaving {
		if p.usesLeaving(now, e) && e.servesToEnd(r) {
			engines++
			if !p.throttled(now, e) {
				usable++
			}
		}
	}
	return engines, usable
}

// servesToEnd reports whether a draining engine serves as long as a request may run, or whether it may be
// tried elsewhere if it does not.
func (e *engine) servesToEnd(r Request) bool {
	return r.Recoverable || !r.Deadline.IsZero() && !r.Deadline.After(e.ServesUntil)
}

// takesWhileLeaving reports whether a draining engine that is in use takes a request with the given
// choice: whether the answer ends, or is expected to, before the engine leaves. Long prompts go where they would
// break the pauses of its streams only if no other engine takes them. The caller must hold the lock.
func (p *pool) takesWhileLeaving(now time.Time, e *engine, r Request, c *Choice) bool {
	if !e.servesToEnd(r) {
		return false
	}
	answer := time.Duration(answerMargin * float64(p.answersOf(r.gapSensitive).expected(r.Events)))
	if r.Recoverable && now.Add(time.Duration(c.Wait*float64(time.Millisecond))+answer).After(e.LeavesAt) {
		return false
	}
	if load := e.load(now); r.separated && !r.gapSensitive && load.Streams > 0 && p.prefillAt(now, e, load, *c) > p.setLimit(r, c.usualRate(r), c.slowdown) {
		c.class = max(c.class, classHarmful)
	}
	return true
}

// LeavingEngines returns, by pool, how many draining engines interactive pools still use.
func (p *Placement) LeavingEngines(now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for name, known := range p.pools {
		if !known.interactive {
			continue
		}
		for _, e := range p.pool(name).leaving {
			if p.usesLeaving(now, e) {
				out[name]++
			}
		}
	}
	return out
}
