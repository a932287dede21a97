// Package member keeps the list of nodes that live, by heartbeats to a few
// observers each. A member that its observers miss is suspect; it is dead when
// most of them agree. What is known spreads with the heartbeats.
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
	// tombstoneTTL is how long a dead member is remembered, so that late news
	// of it does not bring it back.
	tombstoneTTL = time.Minute

	// changeRounds is how many heartbeats a change rides on.
	changeRounds = 5
)

type (
	// Options are the times and numbers of the protocol.
	Options struct {
		Heartbeat time.Duration // Heartbeat is the time between two heartbeats.
		Suspect   time.Duration // Suspect is how long an observer waits for one.
		Observers int           // Observers is how many peers watch each member.
	}

	// entry is one member with what this node observed of it.
	entry struct {
		wire.Member
		lastChange time.Time // changed is when this node last learned something new.
		lastHeartbeat   time.Time // heard is when a heartbeat last came, or when watching began.
		watched bool      // watched says that this node is one of its observers.
	}

	// Table is what one node knows of all members. Its methods may be called
	// from many goroutines; all that decide take the present time.
	Table struct {
		opts Options

		mu      sync.Mutex
		self    wire.Member
		entries map[string]*entry
		changed chan struct{}
		watchStale   bool // moved says that members came or went since rewatch.
		hash    int  // hash is the digest of the table; 0 where it is to be worked out.
	}
)

// NewTable returns a table that knows only this node itself.
func NewTable(now time.Time, self wire.Member, opts Options) *Table {
	self.State = wire.MemberStateA
	t := &Table{opts: opts, self: self, entries: map[string]*entry{}, changed: make(chan struct{})}
	t.entries[self.Name] = &entry{Member: self, lastChange: now, lastHeartbeat: now}
	return t
}

// Self returns what this node says of itself.
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

// raiseRevision raises the revision of what this node says of itself.
func (t *Table) raiseRevision(now time.Time) {
	t.self.Revision++
	t.self.SuspectedBy = nil
	t.store(now, t.self)
}

// store stores a member and tells those who wait for changes.
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

// Merge takes news of members and returns whether any of it was new.
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

// mergeOne takes news of one member.
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

// mergeSelf answers what others say of this node: a suspicion or a death is
// contradicted, and a later incarnation of the same name is not taken over.
func (t *Table) mergeSelf(now time.Time, m wire.Member) bool {
	if m.Incarnation < t.self.Incarnation {
		return false
	}
	if m.Incarnation > t.self.Incarnation {
		// An earlier process with a faster clock: speak above it.
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

// mergeSuspicion joins the observers that miss a member.
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

// ordering is the result of comparing two states of one member.
type ordering int

const (
	older ordering = iota
	same
	newer
)

// compare tells whether news a of a member is newer than b.
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

// stateRank orders states within one revision.
func stateRank(s wire.MemberState) int {
	switch s {
	case wire.MemberStateD:
		return 2
	case wire.MemberStateS:
		return 1
	}
	return 0
}

// RecentChanges returns the members that changed lately.
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

// All returns all members, dead ones included, in the order of their names.
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

// Live returns the members that are not dead, in the order of their names.
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

// Member returns one member, or false where it is not known.
func (t *Table) Member(name string) (wire.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil {
		return wire.Member{}, false
	}
	return e.Member, true
}

// Hash returns a digest of the table, by which two nodes see that they differ.
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

// Len returns how many members are known, dead ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
