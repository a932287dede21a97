package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// heldMoments is at how many moments engines must have crashed under a part, without an answer to a request with it
	// in between, before it is held.
	heldMoments = 3

	// crashMoment is how close crashes lie that may have one cause other than their requests, such as a machine without power.
	crashMoment = 60 * time.Millisecond

	// doubtfulTrialDelay is how long after the newest crash the first trial of a part is sent for which there is
	// doubtful evidence only, and rivalTrialDelay if other parts may be the cause: then other requests may show it sooner.
	doubtfulTrialDelay = time.Second
	rivalTrialDelay    = 5 * time.Second

	// trialTurn is how long after a trial is due any node may send it. Requests with a rare part may not reach the node
	// whose turn it is.
	trialTurn = 5 * time.Second

	// trialTimeout is how long a trial by any node keeps other requests with the part waiting.
	trialTimeout = 2 * time.Second

	// maxUnexplained is at how many moments engines may have crashed under a part, without the parts that a request lacks, for the
	// request to be sent as a trial. Each trial in which an engine crashes adds one.
	maxUnexplained = 1

	// maxRivalsCompared bounds the parts that are compared with the held parts of a request, alone and in pairs.
	maxRivalsCompared = 16

	// splitTrialPause is how long after such a trial in which the engine crashed the next one is sent; it doubles each time.
	splitTrialPause = 4 * time.Second

	// splitDelay is how long after the newest crash such a trial is sent by a request whose parts explain the crashes better than those it lacks.
	splitDelay = 2 * time.Second
)

type (
	// suspect is a part that is held or may be.
	suspect struct {
		part     Part
		crashes  []*partCrash // crashes are those that the part is blamed for, the oldest first.
		held     bool
		doubtful bool // doubtful is set if the crashes may have had another cause.
	}

	// partTrial is the latest trial of a part.
	partTrial struct {
		at       time.Time
		failed   int  // failed is the number of other trials in which the engine failed.
		count    int  // count is the number of periodic trials since the part was last answered.
		here     bool // here is set while this node runs the trial.
		periodic bool
		changed  time.Time
	}

	// HeldPart is a part that is not sent to engines, and the reason.
	HeldPart struct {
		Part
		Crashes []Crash   // Crashes are the crashes of engines that ran requests with it, the oldest first.
		TrialAt time.Time // TrialAt is when a request with it may be sent to an engine again as a trial.
		Rivals  int       // Rivals is the number of other parts that may be the cause of the crashes instead.
	}

	// Decision says whether a request may be sent to an engine.
	Decision struct {
		Held       *HeldPart     // Held is the reason why it must not be sent; nil if it may.
		RetryAfter time.Duration // RetryAfter is when it may have been found that the part is sound; 0 if that is unlikely.
		Trial      bool          // Trial is set if it is sent as a trial; EndTrial must be called when it has ended.
	}
)

// String returns the part's ID in hexadecimal, as in log lines and row keys.
func (p Part) String() string { return fmt.Sprintf("%016x", p.ID) }

// moments returns at how many different moments some of the crashes under a part, sorted by time, occurred. Crashes that lie close
// together are told apart by a request with the part that was sent again after the first of two.
func moments(crashes []*partCrash, id uint64, counts func(c *partCrash) bool) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if !counts(c) {
			continue
		}
		if n == 0 || c.at.Sub(last) > crashMoment || c.parts[id].After(last) {
			n++
		}
		last = c.at
	}
	return n
}

// judge finds the suspects, under which engines crashed at enough moments without an answer between, and which of them are held.
// A suspect that alone explains enough crashes is held, and explains all of its crashes: another one is held only if enough others are
// left for it. Suspects that can't be told apart are held together. A held part stays so until its crashes are cleared. The caller
// holds the lock.
func (q *Parts) judge(now time.Time) {
	if q.judged {
		return
	}
	q.judged = true
	before := q.suspects
	q.suspects = map[Part]*suspect{}
	var list []*suspect
	for p := range q.repeated {
		crashes := q.index[p]
		if moments(crashes, p.ID, func(*partCrash) bool { return true }) >= heldMoments {
			s := &suspect{part: p, crashes: crashes}
			q.suspects[p], list = s, append(list, s)
		}
	}
	explained := map[*partCrash]bool{}
	for _, s := range list {
		if moments(s.crashes, s.part.ID, func(c *partCrash) bool { return !q.hasOtherSuspect(c, s.part) }) >= heldMoments {
			for _, c := range s.crashes {
				explained[c] = true
			}
		}
	}
	for _, s := range list {
		old := before[s.part]
		s.held = old != nil && old.held || moments(s.crashes, s.part.ID, func(c *partCrash) bool { return !explained[c] || !q.hasOtherSuspect(c, s.part) }) >= heldMoments
	}
	held := 0
	for _, s := range list {
		if s.held {
			held++
			s.doubtful = q.isDoubtful(s)
		}
	}
	q.held.Store(int64(held))
	q.suspected.Store(int64(len(list)))
	q.noteChanges(now, before)
}

// hasOtherSuspect reports whether another part than a given one may be the cause of a crash.
func (q *Parts) hasOtherSuspect(c *partCrash, p Part) bool {
	for id := range c.parts {
		if id != p.ID && q.suspects[Part{c.pool, id}] != nil {
			return true
		}
	}
	return false
}

// isDoubtful reports whether the crashes of a held part may have another cause: engines crashed together, or others did at the
// same time without a held part.
func (q *Parts) isDoubtful(s *suspect) bool {
	first, last := s.crashes[0].at, s.crashes[len(s.crashes)-1].at
	for i := 1; i < len(s.crashes); i++ {
		if before := s.crashes[i-1]; s.crashes[i].at.Sub(before.at) <= crashMoment && !s.crashes[i].parts[s.part.ID].After(before.at) {
			return true
		}
	}
	return slices.ContainsFunc(q.crashes, func(c *partCrash) bool {
		return c.pool == s.part.Pool && !c.at.Before(first) && !c.at.After(last) && !c.has(s.part.ID) && !q.hasOtherSuspect(c, s.part)
	})
}

// noteChanges logs which parts have become held or are no longer, and marks their rows.
func (q *Parts) noteChanges(now time.Time, before map[Part]*suspect) {
	for p, s := range q.suspects {
		if old := before[p]; s.held && (old == nil || !old.held || len(old.crashes) != len(s.crashes)) {
			q.log.Warn("prompt part held", "part", p.String(), "pool", p.Pool, "engines", s.engineIDs(), "since_ms", now.Sub(s.crashes[0].at).Milliseconds(),
				"newest_ms", now.Sub(s.newest()).Milliseconds(), "rivals", q.rivals(s), "doubtful", s.doubtful)
			q.markUnsaved(p)
		}
	}
	for p, old := range before {
		if s := q.suspects[p]; old.held && (s == nil || !s.held) {
			q.log.Warn("prompt part no longer held", "part", p.String(), "pool", p.Pool, "engines", old.engineIDs(), "answered", len(q.index[p]) == 0)
			delete(q.trials, p)
			q.markUnsaved(p)
		}
	}
}

// engineIDs returns the engines that crashed under the part.
func (s *suspect) engineIDs() []string {
	out := make([]string, 0, len(s.crashes))
	for _, c := range s.crashes {
		out = append(out, c.engine.ID)
	}
	return out
}

// newest returns the time of the latest crash under the part.
func (s *suspect) newest() time.Time { return s.crashes[len(s.crashes)-1].at }

// couldBe reports whether another part may be the cause of the crashes under this one: too few are left that it doesn't explain.
func (s *suspect) couldBe(other *suspect) bool {
	return other != s && other.part.Pool == s.part.Pool && moments(s.crashes, s.part.ID, func(c *partCrash) bool { return !c.has(other.part.ID) }) < heldMoments
}

// rivals returns how many other parts may be the cause of the crashes under a part.
func (q *Parts) rivals(s *suspect) int {
	n := 0
	for _, other := range q.suspects {
		if s.couldBe(other) {
			n++
		}
	}
	return n
}

// splits reports whether the end of a request shows which part is the cause: the parts that it lacks explain the crashes under its
// held parts about as well as these. Other suspects count, and up to two parts with fewer crashes.
func (q *Parts) splits(now time.Time, held []*suspect, ids []uint64) bool {
	var crashes []*partCrash // crashes are those under any of the held parts.
	for _, s := range held {
		crashes = append(crashes, s.crashes...)
	}
	slices.SortFunc(crashes, comparePartCrashes)
	crashes = slices.Compact(crashes)
	quiet := now.Sub(crashes[len(crashes)-1].at)
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
		isDue := !now.Before(at) && (now.Sub(at) >= trialTurn || q.maySendTrial(now, s.part.String()))
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
	return t == nil || t.failed == 0 || now.Sub(t.at) >= splitTrialPause<<(t.failed-1)
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

// describe returns the description of a held part.
func (q *Parts) describe(s *suspect) *HeldPart {
	h := &HeldPart{Part: s.part, TrialAt: q.trialAt(s), Rivals: q.rivals(s)}
	for _, c := range s.crashes {
		h.Crashes = append(h.Crashes, Crash{Engine: c.engine.ID, At: c.at})
	}
	return h
}

// List returns the held parts.
func (q *Parts) List() []*HeldPart {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []*HeldPart
	for _, s := range q.suspects {
		if s.held {
			out = append(out, q.describe(s))
		}
	}
	return out
}

// Engines returns the engines that crashed while running requests with the part.
func (h *HeldPart) Engines() []string { return engineIDs(h.Crashes) }
