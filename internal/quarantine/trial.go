package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// doubtfulTrialDelay is how long after the newest crash the first trial of a part is sent for which there is
	// doubtful evidence only, and rivalTrialDelay if other parts may be the cause: then other requests may show it sooner.
	doubtfulTrialDelay = time.Second
	rivalTrialDelay    = 5 * time.Second

	// trialTurn is how long after a trial is due any node may send it. Requests with a rare part may not reach the node
	// whose turn it is.
	trialTurn = 5 * time.Second

	// maxStagger bounds by how much a node sends trials later than others that may send them as well, so that few nodes do before
	// they hear of each other's.
	maxStagger = 2 * time.Second

	// trialTimeout is how long a trial by any node keeps other requests with the part waiting.
	trialTimeout = 2 * time.Second

	// maxUnexplained is at how many moments engines may have crashed under a part, without the parts that a request lacks, for the
	// request to be sent as a trial. Each trial in which an engine crashes adds one.
	maxUnexplained = 1

	// maxRivalsCompared bounds the parts that are compared with the held parts of a request, alone and in pairs.
	maxRivalsCompared = 16

	// splitTrialPause is how long after such a trial in which the engine crashed the next one is sent; it doubles each time.
	splitTrialPause = 4 * time.Second

	// SurvivalTime is for how long an engine must have answered a trial to clear its parts: engines crash as they begin to answer.
	SurvivalTime = 2 * time.Second

	// splitDelay is how long after the newest crash such a trial is sent by a request whose parts explain the crashes better than those it lacks.
	splitDelay = 2 * time.Second
)

type (
	// partTrial is the latest trial of a part.
	partTrial struct {
		at       time.Time
		failed   int  // failed is the number of other trials in which the engine failed.
		count    int  // count is the number of periodic trials since the part was last answered.
		here     bool // here is set while this node runs the trial.
		survived bool // survived is set once the part was cleared by a trial that was still being answered.
		periodic bool
		changed  time.Time
	}

	// Decision says whether a request may be sent to an engine.
	Decision struct {
		Held       *HeldPart     // Held is the reason why it must not be sent; nil if it may.
		RetryAfter time.Duration // RetryAfter is when it may have been found that the part is sound; 0 if that is unlikely.
		Trial      bool          // Trial is set if it is sent as a trial; EndTrial must be called when it has ended.
	}
)

// splits reports whether the end of a request shows which part is the cause: the parts that it lacks explain the crashes under its
// held parts about as well as these. Other suspects count, and up to two parts with fewer crashes.
func (q *Parts) splits(now time.Time, held []*suspect, ids []uint64) bool {
	var crashes []*partCrash // crashes are those under any of the held parts.
	for _, s := range held {
		crashes = append(crashes, s.crashes...)
	}
	slices.SortFunc(crashes, comparePartCrashes)
	crashes = slices.Compact(crashes)
	quiet := now.Sub(crashes[len(crashes)-1].at) - q.stagger
	if len(held) > 1 && quiet < rivalTrialDelay {
		return false // A request with fewer of them would show more.
	}
	needed, left := 0, []*partCrash(nil)
	for _, c := range crashes {
		suspected := false
		for id := range c.parts {
			if s := q.suspects[Part{c.pool, id}]; s != nil && !slices.Contains(ids, id) {
				suspected = true
				needed = max(needed, q.momentsWithout(s.part, held))
			}
		}
		if !suspected {
			left = append(left, c)
		}
	}
	shows := func(unexplained, needed int) bool {
		return unexplained <= maxUnexplained && (unexplained <= needed || quiet >= splitDelay)
	}
	if len(left) < len(crashes) && shows(moments(left, held[0].part.ID, func(*partCrash) bool { return true }), needed) {
		return true
	}
	others := q.othersBlamed(left, ids)
	for i, a := range others {
		for _, b := range others[i:] {
			unexplained := moments(left, held[0].part.ID, func(c *partCrash) bool { return !c.has(a.ID) && !c.has(b.ID) })
			if shows(unexplained, max(needed, q.momentsWithout(a, held), q.momentsWithout(b, held))) {
				return true
			}
		}
	}
	return false
}

// momentsWithout returns at how many moments engines crashed under a part without any of the held parts of a request.
func (q *Parts) momentsWithout(p Part, held []*suspect) int {
	return moments(q.index[p], p.ID, func(c *partCrash) bool {
		return !slices.ContainsFunc(held, func(s *suspect) bool { return c.has(s.part.ID) })
	})
}

// othersBlamed returns the parts other than some that are blamed for several of the crashes, those for most of them first.
func (q *Parts) othersBlamed(crashes []*partCrash, ids []uint64) []Part {
	count := map[Part]int{}
	for _, c := range crashes {
		for id := range c.parts {
			if !slices.Contains(ids, id) {
				count[Part{c.pool, id}]++
			}
		}
	}
	maps.DeleteFunc(count, func(_ Part, n int) bool { return n < 2 })
	out := slices.SortedFunc(maps.Keys(count), func(a, b Part) int { return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), maxRivalsCompared)]
}

// trialAt returns when the next periodic trial of a held part is due.
func (q *Parts) trialAt(s *suspect) time.Time {
	from, count := s.newest(), 0
	if t := q.trials[s.part]; t != nil {
		count = t.count
		if t.at.After(from) {
			from = t.at
		}
	}
	switch {
	case s.doubtful && count == 0 && q.rivals(s) == 0:
		return from.Add(doubtfulTrialDelay)
	case s.doubtful && count == 0:
		return from.Add(rivalTrialDelay)
	}
	return from.Add(firstTrialDelay << min(count, maxTrialDoublings))
}

// Admit decides whether a request with the given shared parts may be sent to an engine. trialSince is when it became a trial,
// zero if it is none. A request that lacks a part which may be the cause instead shows by its end which of them is, and is sent
// as a trial while no other one runs; so is one whose part is due for a trial.
func (q *Parts) Admit(now, trialSince time.Time, pool string, ids []uint64) Decision {
	if q.held.Load() == 0 {
		return Decision{}
	}
	ids = limitParts(ids)
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []*suspect
	for _, id := range ids {
		if s := q.suspects[Part{pool, id}]; s != nil && s.held {
			held = append(held, s)
		}
	}
	if len(held) == 0 || !trialSince.IsZero() && !slices.ContainsFunc(held, func(s *suspect) bool { return s.newest().After(trialSince) }) {
		return Decision{}
	}
	splits, runs := q.splits(now, held, ids), q.trialRuns(now, pool)
	mayTry, open, due := true, true, time.Time{}
	for _, s := range held {
		at := q.trialAt(s)
		isDue := !now.Before(at) && (now.Sub(at) >= trialTurn+q.stagger || q.maySendTrial(now, s.part.String()))
		mayTry = mayTry && (splits && q.pauseOver(now, s.part) || isDue) && !runs
		open = open && (splits || s.doubtful && q.trialCount(s.part) == 0)
		if at.After(due) {
			due = at
		}
	}
	if mayTry && trialSince.IsZero() {
		q.startTrial(now, held, !splits)
		return Decision{Trial: true}
	}
	d := Decision{Held: q.describe(held[0])}
	if open {
		d.RetryAfter = max(min(due.Sub(now), trialTimeout), doubtfulTrialDelay)
	}
	return d
}

// pauseOver reports whether the pause after the latest failed trial of a part is over.
func (q *Parts) pauseOver(now time.Time, p Part) bool {
	t := q.trials[p]
	return t == nil || t.failed == 0 || now.Sub(t.at) >= splitTrialPause<<(t.failed-1)+q.stagger
}

// trialCount returns the number of periodic trials of a part since it was last answered.
func (q *Parts) trialCount(p Part) int {
	if t := q.trials[p]; t != nil {
		return t.count
	}
	return 0
}

// trialRuns reports whether a node may be running a trial of a part of a pool. Two trials at one engine would end under each other.
func (q *Parts) trialRuns(now time.Time, pool string) bool {
	for p, t := range q.trials {
		s := q.suspects[p]
		if p.Pool == pool && s != nil && s.held && !s.newest().After(t.at) && (t.here || now.Sub(t.at) < trialTimeout) {
			return true
		}
	}
	return false
}

// startTrial records that a request with held parts is sent as a trial, periodic or not. The caller holds the lock.
func (q *Parts) startTrial(now time.Time, held []*suspect, periodic bool) {
	for _, s := range held {
		t := q.trials[s.part]
		if t == nil {
			t = &partTrial{}
			q.trials[s.part] = t
		}
		t.at, t.changed, t.here, t.periodic = now, now, true, periodic
		if periodic {
			t.count++
		}
		q.log.Warn("trial of a held prompt part", "part", s.part.String(), "pool", s.part.Pool, "engines", s.engineIDs(), "rivals", q.rivals(s), "doubtful", s.doubtful, "periodic", periodic, "trials", t.count)
	}
}

// forgetTrials removes what is known of the trials of a part, but for whether one has cleared it before its end.
func (q *Parts) forgetTrials(p Part) {
	if t := q.trials[p]; t != nil && t.survived {
		q.trials[p] = &partTrial{at: t.at, here: t.here, survived: true, changed: t.changed}
		return
	}
	delete(q.trials, p)
}

// TrialSurvives records that an engine has been answering a trial for SurvivalTime. It clears the parts as a complete answer does, so that
// other requests don't wait for the end of a long answer, but only once: a part under which engines crash again needs a complete answer.
func (q *Parts) TrialSurvives(now time.Time, pool string, ids []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range limitParts(ids) {
		p := Part{pool, id}
		if t := q.trials[p]; t != nil && t.here && !t.survived {
			t.survived, t.changed = true, now
			q.addAnswer(now, now, answerKey{Part: p})
		}
	}
	q.judge(now)
}

// EndTrial records that a trial has ended. failed is set if its engine failed, though it may not be known to have crashed. A
// trial that ended otherwise without an answer does not count.
func (q *Parts) EndTrial(now time.Time, pool string, ids []uint64, failed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range limitParts(ids) {
		p := Part{pool, id}
		t := q.trials[p]
		if t == nil || !t.here {
			continue
		}
		t.here, t.changed = false, now
		failed := failed || q.suspects[p] != nil && q.suspects[p].newest().After(t.at)
		switch {
		case t.periodic && !failed:
			t.count--
		case !t.periodic && failed:
			t.failed++
		}
	}
}
