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
	// tombstoneLife is how long a dead member is remembered, so that late news
	// of it does not bring it back.
	tombstoneLife = time.Minute

	// newsLife is how many heartbeats a change rides on.
	newsLife = 5
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
		changed time.Time // changed is when this node last learned something new.
		heard   time.Time // heard is when a heartbeat last came, or when watching began.
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
		moved   bool // moved says that members came or went since rewatch.
		hash    int  // hash is the digest of the table; 0 where it is to be worked out.
	}
)

// NewTable returns a table that knows only this node itself.
func NewTable(now time.Time, self wire.Member, opts Options) *Table {
	self.State = wire.MemberStateA
	t := &Table{opts: opts, self: self, entries: map[string]*entry{}, changed: make(chan struct{})}
	t.entries[self.Name] = &entry{Member: self, changed: now, heard: now}
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
	t.speak(now)
}

// speak raises the revision of what this node says of itself.
func (t *Table) speak(now time.Time) {
	t.self.Revision++
	t.self.SuspectedBy = nil
	t.set(now, t.self)
}

// set stores a member and tells those who wait for changes.
func (t *Table) set(now time.Time, m wire.Member) {
	e := t.entries[m.Name]
	if e == nil {
		e = &entry{heard: now}
		t.entries[m.Name] = e
		t.moved = true
	}
	if (e.State == wire.MemberStateD) != (m.State == wire.MemberStateD) {
		e.heard = now
		t.moved = true
	}
	e.Member = m
	e.changed = now
	t.hash = 0
	close(t.changed)
	t.changed = make(chan struct{})
}

// Merge takes news of members and returns whether any of it was new.
func (t *Table) Merge(now time.Time, news []wire.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := false
	for _, m := range news {
		if t.mergeOne(now, m) {
			fresh = true
		}
	}
	return fresh
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
		t.set(now, m)
		return true
	}
	switch compare(m, e.Member) {
	case newer:
		t.set(now, m)
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
		t.speak(now)
		return true
	}
	doubted := m.State == wire.MemberStateS || m.State == wire.MemberStateD
	if doubted && m.Revision >= t.self.Revision {
		t.self.Revision = m.Revision
		t.speak(now)
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
	if rank(m.State) > rank(next.State) {
		next.State = m.State
		added = true
	}
	if !added {
		return false
	}
	t.set(now, next)
	t.decide(now, t.entries[m.Name])
	return true
}

// order is the result of comparing two states of one member.
type order int

const (
	older order = iota
	same
	newer
)

// compare tells whether news a of a member is newer than b.
func compare(a, b wire.Member) order {
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

// rank orders states within one revision.
func rank(s wire.MemberState) int {
	switch s {
	case wire.MemberStateD:
		return 2
	case wire.MemberStateS:
		return 1
	}
	return 0
}

// Heard notes that a heartbeat of a member came.
func (t *Table) Heard(now time.Time, name string, incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	e.heard = now
}

// Observe looks for members that this node watches and misses, and forgets old
// tombstones. It returns whether anything changed.
func (t *Table) Observe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.changed
	if t.moved {
		t.rewatch(now)
	}
	for name, e := range t.entries {
		switch {
		case name == t.self.Name:
		case e.State == wire.MemberStateD:
			if now.Sub(e.changed) > tombstoneLife {
				delete(t.entries, name)
				t.hash = 0
			}
		case e.watched && now.Sub(e.heard) > t.opts.Suspect:
			t.miss(now, e)
		}
	}
	return t.changed != before
}

// rewatch finds out which members this node watches, after some came or went. A
// member that it has only now begun to watch gets its time.
func (t *Table) rewatch(now time.Time) {
	t.moved = false
	for name, e := range t.entries {
		watching := name != t.self.Name && contains(t.observers(name), t.self.Name)
		if watching && !e.watched {
			e.heard = now
		}
		e.watched = watching
	}
}

// miss notes that no heartbeat of a member came for too long.
func (t *Table) miss(now time.Time, e *entry) {
	if !contains(e.SuspectedBy, t.self.Name) {
		next := e.Member
		if next.State == wire.MemberStateA || next.State == wire.MemberStateL {
			next.State = wire.MemberStateS
		}
		next.SuspectedBy = append(append([]string(nil), e.SuspectedBy...), t.self.Name)
		t.set(now, next)
	}
	t.decide(now, e)
}

// decide declares a suspect dead when most of its observers miss it. Observers
// that are suspect themselves have no vote.
func (t *Table) decide(now time.Time, e *entry) {
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
		t.set(now, next)
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
	return Top(name, candidates, t.opts.Observers)
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

// News returns the members that changed lately.
func (t *Table) News(now time.Time) []wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.Member
	for _, e := range t.entries {
		if now.Sub(e.changed) < newsLife*t.opts.Heartbeat {
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

// Owner returns the member that a key belongs to: the first by rendezvous
// hashing among those that are alive, or where there is none, among the suspect.
func (t *Table) Owner(key string) (wire.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var alive, doubted []string
	for n, e := range t.entries {
		switch e.State {
		case wire.MemberStateA:
			alive = append(alive, n)
		case wire.MemberStateS:
			doubted = append(doubted, n)
		}
	}
	if len(alive) == 0 {
		alive = doubted
	}
	top := Top(key, alive, 1)
	if len(top) == 0 {
		return wire.Member{}, false
	}
	return t.entries[top[0]].Member, true
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

// Top returns the n names that rank first for a key by rendezvous hashing.
func Top(key string, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, 0, len(names))
	for _, name := range names {
		list = append(list, scored{name, xxhash.Sum64String(key + "\x00" + name)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].name < list[j].name
	})
	out := make([]string, 0, n)
	for i := 0; i < n && i < len(list); i++ {
		out = append(out, list[i].name)
	}
	return out
}

// contains reports whether a name is in a short list.
func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
