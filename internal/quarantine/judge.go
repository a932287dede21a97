package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// heldMoments is at how many moments engines must have crashed under a part, without an answer to a request with it
	// in between, before it is held.
	heldMoments = 3
)

type (
	// suspect is a part that is held or may be.
	suspect struct {
		part     Part
		crashes  []*partCrash // crashes are those that the part is blamed for, the oldest first.
		held     bool
		doubtful bool // doubtful is set if the crashes may have had another cause.
	}

	// HeldPart is a part that is not sent to engines, and the reason.
	HeldPart struct {
		Part
		Crashes []Crash   // Crashes are the crashes of engines that ran requests with it, the oldest first.
		TrialAt time.Time // TrialAt is when a request with it may be sent to an engine again as a trial.
		Rivals  int       // Rivals is the number of other parts that may be the cause of the crashes instead.
	}
)

// String returns the part's ID in hexadecimal, as in log lines and row keys.
func (p Part) String() string { return fmt.Sprintf("%016x", p.ID) }

// moments returns how many pieces of evidence against a part some of the crashes under it, sorted by time, are.
func moments(crashes []*partCrash, id uint64, counts func(c *partCrash) bool) int {
	var m momentCounter
	for _, c := range crashes {
		if counts(c) {
			m.add(c.at, c.parts[id], false)
		}
	}
	return m.n
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
			q.forgetTrials(p)
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
