package placement

import "time"

const (
	// maxLateGaps is how many gaps beyond the caller's limit a stream may be expected to have on
	// engines that process long prompts; a stream with more is separated from them. Answers of
	// one or two events are rarely late there, and concentrating them with the long answers
	// would bring their prompts to the same engines. Mean score of six days with 15 engines:
	// 0.663 when every stream was separated that an engine could delay by processing prompts
	// continuously; 0.680, 0.706, 0.719 and 0.721 with limits of 0.03, 0.1, 0.2 and 0.3. Long
	// answers scored 0.88 of their maximum before and 0.94 with 0.2.
	maxLateGaps = 0.2

	// priorLateShare is the assumed share of late gaps, before any was observed, where an engine
	// that processes prompts continuously would cause them, and priorGaps the weight of that
	// prior in gaps. On a day of bursts 78 of 1,145 answers of about four events had a gap of
	// over 400 ms.
	priorLateShare = 0.02
	priorGaps      = 50

	// shortPromptShare is the share of the caller's maximum gap within which an engine processes
	// a short prompt; streams with longer prompts delay others themselves.
	shortPromptShare = 0.5

	// sensitiveGapShare is the share of the caller's maximum gap from which an engine that
	// continuously processes long prompts is assumed to make some gaps late.
	sensitiveGapShare = 0.8

	// prefillChunk is how many prompt tokens an engine is assumed to process between two tokens
	// of its streams: the usual setting of such engines.
	prefillChunk = 3000.0

	// gapWindow is how many of the newest gaps count: what a node sees in ten seconds or more.
	gapWindow = 4000

	// minGap is the shortest time between two chunks that counts as a gap: a shorter one lies
	// within a single event that arrived in two chunks.
	minGap = time.Millisecond

	// maxBounds is how many different gap limits are tracked per pool; routes have only a few.
	maxBounds = 16

	// defaultEvents is the assumed number of events of an answer if the caller does not specify
	// it.
	defaultEvents = 20
)

type (
	// gapStats tracks, for each gap limit of callers, the share of longer gaps among all gaps
	// between two events of streams on engines that process long prompts.
	gapStats map[time.Duration]*tail

	// tail is the share of gaps beyond a limit with exponential decay.
	tail struct{ over, seen float64 }
)

// note records a gap.
func (p gapStats) note(gap time.Duration) {
	for bound, t := range p {
		t.seen *= 1 - 1.0/gapWindow
		t.over *= 1 - 1.0/gapWindow
		t.seen++
		if gap > bound {
			t.over++
		}
	}
}

// of returns the statistics for a gap limit.
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

// share returns the share of gaps beyond the limit; prior is the share assumed before any was
// observed.
func (t tail) share(prior float64) float64 {
	return (t.over + prior*priorGaps) / (t.seen + priorGaps)
}

// gapSensitive reports whether a request is a stream with a short prompt that would be late too
// often on engines that process long prompts.
func (p *pool) gapSensitive(r Request) bool {
	if r.MaxGap <= 0 {
		return false
	}
	gap := milliseconds(r.MaxGap)
	prior := 0.0
	if prefillChunk*float64(max(1, r.TokensPerEvent))/p.prefillRate() > sensitiveGapShare*gap {
		prior = priorLateShare
	}
	events := float64(r.Events)
	if events <= 0 {
		events = defaultEvents
	}
	return events*p.gaps.of(r.MaxGap).share(prior) > maxLateGaps && float64(r.Prompt.Tokens) <= shortPromptShare*gap*p.prefillRate()
}

// noteGap records a gap between two chunks of a stream, unless the engine is one of those
// reserved for separated streams.
func (p *pool) noteGap(e *engine, gap time.Duration) {
	separated := e.poolIndex <= p.streamEngines && p.streamEngines+1 < len(p.engines)
	if !separated && gap >= minGap {
		p.gaps.note(gap)
	}
}
