package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxGossipParts bounds the parts of all crashes in one message, at about 4 KB.
	maxGossipParts = 400

	// unknownAge is the age of what has not happened.
	unknownAge = -1
)

type (
	// PartGossip is what nodes tell each other of the parts under which engines crashed. Fields must keep their numbers.
	PartGossip struct {
		Crashes []PartCrashEntry `cbor:"1,keyasint,omitempty"`
		Parts   []PartEntry      `cbor:"2,keyasint,omitempty"`
	}

	// PartCrashEntry is the crash of an engine with the parts of the requests that it ran.
	PartCrashEntry struct {
		Pool     string        `cbor:"1,keyasint,omitempty"`
		Engine   string        `cbor:"2,keyasint,omitempty"`
		Version  string        `cbor:"3,keyasint,omitempty"`
		AgeMs    int64         `cbor:"4,keyasint,omitempty"`
		Parts    []uint64      `cbor:"5,keyasint,omitempty"`
		ResentMs []int64       `cbor:"7,keyasint,omitempty"` // ResentMs is how long before the crash a request with each part was sent after an earlier crash, -1 if none was.
		Run      int64         `cbor:"6,keyasint,omitempty"` // Run is the incarnation of the engine.
		Age      time.Duration `cbor:"-"`                    // Age is how long ago the sender last learned something about it; it is not sent.
	}

	// PartEntry is the latest answer to requests with a part or the latest trial of it.
	PartEntry struct {
		Pool      string        `cbor:"1,keyasint,omitempty"`
		Part      uint64        `cbor:"2,keyasint,omitempty"`
		Version   string        `cbor:"3,keyasint,omitempty"` // Version is that of the engine that answered, empty for all.
		AnswerAge int64         `cbor:"4,keyasint,omitempty"` // AnswerAge is in milliseconds, -1 for none.
		TrialAge  int64         `cbor:"5,keyasint,omitempty"` // TrialAge is in milliseconds, -1 for none.
		Trials    int           `cbor:"6,keyasint,omitempty"` // Trials is the number of periodic trials, and Failed that of others in which the engine crashed.
		Failed    int           `cbor:"7,keyasint,omitempty"`
		Survived  bool          `cbor:"8,keyasint,omitempty"` // Survived is set if a trial has cleared the part before its end.
		Age       time.Duration `cbor:"-"`                    // Age is how long ago the sender last learned something about it; it is not sent.
	}
)

// IsEmpty reports whether there is nothing to tell.
func (g PartGossip) IsEmpty() bool { return len(g.Crashes)+len(g.Parts) == 0 }

// Recent returns the entries that the sender learned within a window.
func (g PartGossip) Recent(window time.Duration) PartGossip {
	return PartGossip{
		Crashes: slices.DeleteFunc(slices.Clone(g.Crashes), func(c PartCrashEntry) bool { return c.Age > window }),
		Parts:   slices.DeleteFunc(slices.Clone(g.Parts), func(p PartEntry) bool { return p.Age > window }),
	}
}

// GossipEntries returns what peers should know, the newest first: what changed within the window, and the crashes, answers
// and trials of parts that are held or may be.
func (q *Parts) GossipEntries(now time.Time, window time.Duration) PartGossip {
	q.mu.Lock()
	defer q.mu.Unlock()
	var g PartGossip
	if len(q.crashes)+len(q.answers)+len(q.trials) == 0 {
		return g
	}
	for _, c := range q.crashes {
		age := now.Sub(c.changed)
		if ids := q.partsToTell(c, age <= window); len(ids) > 0 {
			g.Crashes = append(g.Crashes, PartCrashEntry{Pool: c.pool, Engine: c.engine.ID, Version: c.engine.Version, Run: c.engine.Incarnation, ResentMs: c.resentMs(ids), AgeMs: now.Sub(c.at).Milliseconds(), Parts: ids, Age: age})
		}
	}
	for key, a := range q.answers {
		if age := now.Sub(a.changed); age <= max(window, answeredTTL) {
			g.Parts = append(g.Parts, PartEntry{Pool: key.Pool, Part: key.ID, Version: key.version, AnswerAge: now.Sub(a.at).Milliseconds(), TrialAge: unknownAge, Age: age})
		}
	}
	for p, t := range q.trials {
		g.Parts = append(g.Parts, PartEntry{Pool: p.Pool, Part: p.ID, AnswerAge: unknownAge, TrialAge: now.Sub(t.at).Milliseconds(), Trials: t.count, Failed: t.failed, Survived: t.survived, Age: now.Sub(t.changed)})
	}
	slices.SortFunc(g.Crashes, func(a, b PartCrashEntry) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.AgeMs, b.AgeMs)) })
	slices.SortFunc(g.Parts, func(a, b PartEntry) int { return cmp.Compare(a.Age, b.Age) })
	g.Parts = g.Parts[:min(len(g.Parts), maxGossipEntries)]
	total := 0
	for i, c := range g.Crashes {
		left := max(0, maxGossipParts-total)
		g.Crashes[i].Parts, g.Crashes[i].ResentMs = c.Parts[:min(len(c.Parts), left)], c.ResentMs[:min(len(c.ResentMs), left)]
		total += len(g.Crashes[i].Parts)
		if left == 0 {
			g.Crashes = g.Crashes[:i]
			break
		}
	}
	return g
}

// resentMs returns how long before the crash a request with each part was sent after an earlier crash.
func (c *partCrash) resentMs(ids []uint64) []int64 {
	out := make([]int64, 0, len(ids))
	for _, id := range ids {
		ms := int64(unknownAge)
		if sent := c.parts[id]; !sent.IsZero() {
			ms = max(0, c.at.Sub(sent).Milliseconds())
		}
		out = append(out, ms)
	}
	return out
}

// resentAt returns when a request with part i was sent, after an earlier crash, to the engine that crashed at a time; zero if none was.
func (e PartCrashEntry) resentAt(at time.Time, i int) time.Time {
	if i >= len(e.ResentMs) || e.ResentMs[i] < 0 {
		return time.Time{}
	}
	return at.Add(-millis(e.ResentMs[i]))
}

// partsToTell returns the parts of a crash that peers should know, those with the most crashes first: all, or only those that
// are held or may be.
func (q *Parts) partsToTell(c *partCrash, all bool) []uint64 {
	ids := slices.Collect(maps.Keys(c.parts))
	if !all {
		ids = slices.DeleteFunc(ids, func(id uint64) bool { return q.suspects[Part{c.pool, id}] == nil })
	}
	count := func(id uint64) int { return len(q.index[Part{c.pool, id}]) }
	slices.SortFunc(ids, func(a, b uint64) int { return cmp.Or(cmp.Compare(count(b), count(a)), cmp.Compare(a, b)) })
	return ids
}

// MergeGossip merges what a peer tells. What was new to this node is passed on.
func (q *Parts) MergeGossip(now time.Time, g PartGossip) {
	if g.IsEmpty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range g.Parts {
		q.mergePart(now, e)
	}
	for _, e := range g.Crashes {
		if e.AgeMs >= 0 && e.AgeMs <= rowTTL.Milliseconds() {
			c := &partCrash{pool: e.Pool, engine: EngineRun{e.Engine, e.Version, e.Run}, at: now.Add(-millis(e.AgeMs))}
			at := c.at
			q.addCrash(now, c, e.Parts, func(i int) time.Time { return e.resentAt(at, i) })
		}
	}
	q.judge(now)
}

// mergePart merges an answer or a trial that a peer tells of. Transit makes both look a little younger with each hop. An answer is passed
// on only if it clears a crash, so that it does not go round; a trial is not replaced by a report of it that looks later.
func (q *Parts) mergePart(now time.Time, e PartEntry) {
	p := Part{e.Pool, e.Part}
	if at := now.Add(-millis(e.AnswerAge)); e.AnswerAge >= 0 {
		key := answerKey{p, e.Version}
		if len(q.index[p]) > 0 {
			q.addAnswer(now, at, key)
		}
	}
	if at := now.Add(-millis(e.TrialAge)); e.TrialAge >= 0 {
		t := q.trials[p]
		if t == nil {
			t = &partTrial{}
			q.trials[p] = t
		}
		if at.Sub(t.at) > sameAnswerWindow || e.Trials > t.count || e.Failed > t.failed || e.Survived && !t.survived {
			t.count, t.failed, t.survived, t.changed = max(t.count, e.Trials), max(t.failed, e.Failed), t.survived || e.Survived, now
			if at.After(t.at) {
				t.at = at
			}
		}
	}
}
