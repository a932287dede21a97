// Package member maintains the list of live nodes. Each node sends heartbeats to a
// few observers. A member whose heartbeats an observer misses is suspect; it is dead
// once a majority of its observers agree. Changes spread by gossip with the
// heartbeats.
package member

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// tombstoneTTL is how long a dead member is kept, so that a late update does
	// not add it again.
	tombstoneTTL = time.Minute

	// changeRounds is for how many heartbeat intervals a change is gossiped.
	changeRounds = 5
)

type (
	// Options are the parameters of the protocol.
	Options struct {
		Heartbeat time.Duration // Heartbeat is the time between two heartbeats.
		Suspect   time.Duration // Suspect is how long an observer waits for a heartbeat.
		Observers int           // Observers is how many peers watch each member.
	}

	// entry is a member with this node's observations of it.
	entry struct {
		wire.Member
		lastChange    time.Time // lastChange is when the member's state here last changed.
		lastHeartbeat time.Time // lastHeartbeat is when a heartbeat last came, or the time a new watch counts from.
		watched       bool      // watched says that this node is one of its observers.
	}

	// Table is one node's view of all members. Its methods may be called from many
	// goroutines; methods that depend on time take the current time.
	Table struct {
		opts Options

		mu         sync.Mutex
		self       wire.Member
		entries    map[string]*entry
		changed    chan struct{}
		watchStale bool // watchStale is set when members were added or removed since the last updateWatched.
		hash       int  // hash is the cached digest of the table; 0 if it must be recomputed.
	}
)

// NewTable returns a table that contains only this node.
func NewTable(now time.Time, self wire.Member, opts Options) *Table {
	self.State = wire.MemberStateA
	t := &Table{opts: opts, self: self, entries: map[string]*entry{}, changed: make(chan struct{})}
	t.entries[self.Name] = &entry{Member: self, lastChange: now, lastHeartbeat: now}
	return t
}

// Self returns this node's own member record.
func (t *Table) Self() wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Changed returns a channel that is closed when any member changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Leave marks this node as leaving.
func (t *Table) Leave(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = wire.MemberStateL
	t.raiseRevision(now)
}

// raiseRevision stores this node's own record under a new revision.
func (t *Table) raiseRevision(now time.Time) {
	t.self.Revision++
	t.self.SuspectedBy = nil
	t.store(now, t.self)
}

// store stores a member and closes the channel that Changed returned.
func (t *Table) store(now time.Time, m wire.Member) {
	e := t.entries[m.Name]
	if e == nil {
		e = &entry{lastHeartbeat: now}
		t.entries[m.Name] = e
		t.watchStale = true
	}
	if (e.State == wire.MemberStateD) != (m.State == wire.MemberStateD) {
		e.lastHeartbeat = now
		t.watchStale = true
	}
	e.Member = m
	e.lastChange = now
	t.hash = 0
	close(t.changed)
	t.changed = make(chan struct{})
}

// Merge merges member records and reports whether any of them was new.
func (t *Table) Merge(now time.Time, members []wire.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, m := range members {
		if t.mergeOne(now, m) {
			changed = true
		}
	}
	return changed
}

// mergeOne merges the record of one member.
func (t *Table) mergeOne(now time.Time, m wire.Member) bool {
	if m.Name == t.self.Name {
		return t.mergeSelf(now, m)
	}
	e := t.entries[m.Name]
	if e == nil {
		if m.State == wire.MemberStateD {
			return false
		}
		t.store(now, m)
		return true
	}
	switch compare(m, e.Member) {
	case newer:
		t.store(now, m)
		return true
	case same:
		return t.mergeSuspicion(now, e, m)
	}
	return false
}

// mergeSelf handles a record of this node from others: it refutes a suspicion or a
// death with a higher revision, and a later incarnation with a higher incarnation.
func (t *Table) mergeSelf(now time.Time, m wire.Member) bool {
	if m.Incarnation < t.self.Incarnation {
		return false
	}
	if m.Incarnation > t.self.Incarnation {
		// An earlier process had a faster clock: choose a higher incarnation.
		t.self.Incarnation = m.Incarnation + 1
		t.raiseRevision(now)
		return true
	}
	suspected := m.State == wire.MemberStateS || m.State == wire.MemberStateD
	if suspected && m.Revision >= t.self.Revision {
		t.self.Revision = m.Revision
		t.raiseRevision(now)
		return true
	}
	return false
}

// mergeSuspicion adds the observers that suspect a member, and takes over a worse
// state.
func (t *Table) mergeSuspicion(now time.Time, e *entry, m wire.Member) bool {
	added := false
	next := e.Member
	for _, by := range m.SuspectedBy {
		if !contains(next.SuspectedBy, by) {
			next.SuspectedBy = append(append([]string(nil), next.SuspectedBy...), by)
			added = true
		}
	}
	if stateRank(m.State) > stateRank(next.State) {
		next.State = m.State
		added = true
	}
	if !added {
		return false
	}
	t.store(now, next)
	t.declareIfDead(now, t.entries[m.Name])
	return true
}

// ordering is the result of comparing two records of one member.
type ordering int

const (
	older ordering = iota
	same
	newer
)

// compare reports whether record a of a member is older or newer than b.
func compare(a, b wire.Member) ordering {
	switch {
	case a.Incarnation != b.Incarnation:
		if a.Incarnation > b.Incarnation {
			return newer
		}
		return older
	case a.Revision != b.Revision:
		if a.Revision > b.Revision {
			return newer
		}
		return older
	}
	return same
}

// stateRank orders the states within one revision; the higher one wins.
func stateRank(s wire.MemberState) int {
	switch s {
	case wire.MemberStateD:
		return 2
	case wire.MemberStateS:
		return 1
	}
	return 0
}

// RecentChanges returns the members that changed in the last changeRounds heartbeat
// intervals.
func (t *Table) RecentChanges(now time.Time) []wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.Member
	for _, e := range t.entries {
		if now.Sub(e.lastChange) < changeRounds*t.opts.Heartbeat {
			out = append(out, e.Member)
		}
	}
	return out
}

// All returns all members, including dead ones, sorted by name.
func (t *Table) All() []wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wire.Member, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Live returns the members that are not dead, sorted by name.
func (t *Table) Live() []wire.Member {
	all := t.All()
	out := all[:0]
	for _, m := range all {
		if m.State != wire.MemberStateD {
			out = append(out, m)
		}
	}
	return out
}

// Member returns a member by name, or false if it is unknown.
func (t *Table) Member(name string) (wire.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil {
		return wire.Member{}, false
	}
	return e.Member, true
}

// Hash returns a digest of the table; two nodes compare it to detect differences.
// Dead members are left out.
func (t *Table) Hash() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hash != 0 {
		return t.hash
	}
	var sum uint32
	for n, e := range t.entries {
		if e.State == wire.MemberStateD {
			continue
		}
		line := n + "/" + strconv.Itoa(e.Incarnation) + "/" + strconv.Itoa(e.Revision) + "/" + string(e.State)
		sum ^= uint32(xxhash.Sum64String(line))
	}
	t.hash = int(sum)
	return t.hash
}

// Len returns the number of known members, including dead ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
