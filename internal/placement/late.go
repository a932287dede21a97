package placement

import "time"

const (
	// maxLateGaps is how many pauses beyond what its caller bears a stream may be expected to
	// have on engines which read long prompts; one with more is kept apart. Answers of an event
	// or two are rarely late there, and gathering them with the long ones brings their prompts
	// to just these engines. Mean worth of six days with 15 engines where all that an engine
	// could make late by reading all the while were gathered, and with 0.03, 0.1, 0.2 and 0.3:
	// 0.663, 0.680, 0.706, 0.719, 0.721; long answers earned 0.88 of theirs before and 0.94
	// with 0.2.
	maxLateGaps = 0.2

	// priorLateShare is the share of pauses that is taken to be too long, before any was seen, where
	// an engine that reads all the while would make them so, and firstSeen how many pauses that
	// weighs. On a day of bursts 78 of 1,145 answers of four events or so had a pause of
	// over 400 ms.
	priorLateShare = 0.02
	priorGaps      = 50

	// shortPromptShare is the share of the longest pause that a stream's caller bears in which an
	// engine reads a short prompt; streams with longer ones make others late themselves.
	shortPromptShare = 0.5

	// sensitiveGapShare is the share of the longest pause that a stream's caller bears from which
	// an engine that reads long prompts all the while is taken to make some late.
	sensitiveGapShare = 0.8

	// prefillChunk is how many prompt tokens an engine is taken to read between two tokens of
	// its streams: the usual setting of such engines.
	prefillChunk = 3000.0

	// gapWindow is how many of the newest pauses count: what a node sees in ten seconds or
	// more.
	gapWindow = 4000

	// minGap is the least time between two pieces of an answer that counts as a pause: a
	// shorter one lies within an event that came in two pieces.
	minGap = time.Millisecond

	// maxBounds is how many different longest pauses are told apart in a pool; routes have
	// a few.
	maxBounds = 16

	// defaultEvents is how many events an answer is taken to have where its caller does not say.
	defaultEvents = 20
)

type (
	// gapStats counts, for the gapStats that callers bear, how many were longer, of all between
	// two events of streams on engines that read long prompts.
	gapStats map[time.Duration]*tail

	// tail is the share of pauses beyond a bound, newer ones weighing more.
	tail struct{ over, seen float64 }
)

// note takes a pause.
func (p gapStats) note(pause time.Duration) {
	for bound, t := range p {
		t.seen *= 1 - 1.0/gapWindow
		t.over *= 1 - 1.0/gapWindow
		t.seen++
		if pause > bound {
			t.over++
		}
	}
}

// of returns what is known of a bound.
func (p gapStats) of(bound time.Duration) tail {
	known := p[bound]
	if known == nil && len(p) < maxBounds {
		known = &tail{}
		p[bound] = known
	}
	if known == nil {
		return tail{}
	}
	return *known
}

// share returns the share of pauses beyond the bound; first is what it is taken to be before
// any was seen.
func (t tail) share(first float64) float64 {
	return (t.over + first*priorGaps) / (t.seen + priorGaps)
}

// gapSensitive reports whether a request is a stream that would be late too often on engines which
// read long prompts, and has a short prompt itself.
func (p *pool) gapSensitive(r Request) bool {
	if r.MaxGap <= 0 {
		return false
	}
	gap := milliseconds(r.MaxGap)
	first := 0.0
	if prefillChunk*float64(max(1, r.TokensPerEvent))/p.prefillRate() > sensitiveGapShare*gap {
		first = priorLateShare
	}
	events := float64(r.Events)
	if events <= 0 {
		events = defaultEvents
	}
	return events*p.gaps.of(r.MaxGap).share(first) > maxLateGaps && float64(r.Prompt.Tokens) <= shortPromptShare*gap*p.prefillRate()
}

// noteGap takes a pause between two pieces of a stream at an engine, unless that is one of
// those on which streams are kept apart.
func (p *pool) noteGap(e *engine, pause time.Duration) {
	apart := e.poolIndex <= p.streamEngines && p.streamEngines+1 < len(p.engines)
	if !apart && pause >= minGap {
		p.gaps.note(pause)
	}
}
