package member

import (
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

// RecordHeartbeat notes that a heartbeat of a member came.
func (t *Table) RecordHeartbeat(now time.Time, name string, incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	e.lastHeartbeat = now
}

// DetectFailures looks for members that this node watches and misses, and forgets old
// tombstones. It returns whether anything changed.
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

// updateWatched finds out which members this node watches, after some came or went. A
// member that it has only now begun to watch gets two thirds of its time: long
// enough for two heartbeats, and not so long that a member whose observers all
// died with it is missed late.
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

// recordMiss notes that no heartbeat of a member came for too long.
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

// declareIfDead declares a suspect dead when most of its observers miss it. Observers
// that are suspect themselves have no vote.
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

// observers returns the names of those that watch a member.
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
