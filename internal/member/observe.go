package member

import (
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

// RecordHeartbeat records the receipt of a heartbeat. It is ignored if it comes
// from another incarnation of the member.
func (t *Table) RecordHeartbeat(now time.Time, name string, incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	e.lastHeartbeat = now
}

// DetectFailures checks the watched members for missing heartbeats and deletes
// expired tombstones. It reports whether a member changed.
func (t *Table) DetectFailures(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.changed
	if t.watchStale {
		t.updateWatched(now)
	}
	for name, e := range t.entries {
		switch {
		case name == t.self.Name:
		case e.State == wire.MemberStateD:
			if now.Sub(e.lastChange) > tombstoneTTL {
				delete(t.entries, name)
				t.hash = 0
			}
		case e.watched && now.Sub(e.lastHeartbeat) > t.opts.Suspect:
			t.recordMiss(now, e)
		}
	}
	return t.changed != before
}

// updateWatched recomputes which members this node watches after members were added
// or removed. A newly watched member gets two thirds of the suspect timeout: long
// enough for two heartbeats, and short enough that the failure of a member is not
// detected late if all its observers died with it.
func (t *Table) updateWatched(now time.Time) {
	t.watchStale = false
	for name, e := range t.entries {
		watching := name != t.self.Name && contains(t.observers(name), t.self.Name)
		if watching && !e.watched {
			e.lastHeartbeat = now.Add(-t.opts.Suspect / 3)
		}
		e.watched = watching
	}
}

// recordMiss marks a member as suspected by this node.
func (t *Table) recordMiss(now time.Time, e *entry) {
	if !contains(e.SuspectedBy, t.self.Name) {
		next := e.Member
		if next.State == wire.MemberStateA || next.State == wire.MemberStateL {
			next.State = wire.MemberStateS
		}
		next.SuspectedBy = append(append([]string(nil), e.SuspectedBy...), t.self.Name)
		t.store(now, next)
	}
	t.declareIfDead(now, e)
}

// declareIfDead declares a suspect member dead if a majority of its observers
// suspect it. Observers that are suspect themselves have no vote.
func (t *Table) declareIfDead(now time.Time, e *entry) {
	if e.State != wire.MemberStateS {
		return
	}
	votes, voters := 0, 0
	for _, name := range t.observers(e.Name) {
		o := t.entries[name]
		if o.State == wire.MemberStateS {
			continue
		}
		voters++
		if contains(e.SuspectedBy, name) {
			votes++
		}
	}
	if voters > 0 && votes > voters/2 {
		next := e.Member
		next.State = wire.MemberStateD
		t.store(now, next)
	}
}

// observers returns the names of the members that watch a member.
func (t *Table) observers(name string) []string {
	candidates := make([]string, 0, len(t.entries))
	for n, e := range t.entries {
		if n != name && e.State != wire.MemberStateD {
			candidates = append(candidates, n)
		}
	}
	return TopRanked(name, candidates, t.opts.Observers)
}

// Targets returns the members to which this node sends heartbeats.
func (t *Table) Targets() []wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := t.observers(t.self.Name)
	out := make([]wire.Member, 0, len(names))
	for _, n := range names {
		out = append(out, t.entries[n].Member)
	}
	return out
}
