package feed

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/history"
)

// When the store comes back from a copy, its tables are as they were some seconds before, until what was written
// since is written again. A table then has two layers: the rows of the new era, in the order of their versions, and
// the rows and deletions of earlier eras that are kept in force in place of them, because the copy lacks them or
// has an older state. These rules hold:
//
//   - A table's era never falls, and within an era no row is replaced by one of a lower version.
//   - A kept row yields to a row that was written in the new era, unless that still holds an older state.
//   - A kept row ends after a time, so that what nobody writes again goes; a lasting one ends only by yielding.
//   - Peers tell each other what they keep. Of two kept rows the one of the later state stays. A node that is late to
//     a return prolongs no time of the others.
//
// So all nodes that hear of each other agree once the times have passed, whatever they knew before the return.

type (
	// Carry says what stays in force when the store comes back from an older copy. With the zero value, rows are
	// told apart by version alone and nothing is kept.
	Carry struct {
		// Compare compares what two rows of one key hold, written in different eras: it returns -1 if a is older
		// than b. ok is false if the rows don't tell.
		Compare func(a, b Row) (order int, ok bool)

		// Lasting reports whether a row with a key is kept until it is written again.
		Lasting func(key string) bool

		Missing time.Duration // Missing is how long a row is kept that the copy lacks.
		Older   time.Duration // Older is how long a row or deletion is kept of which the copy has an older state.
	}

	// Return describes that the store came back from an older copy.
	Return struct {
		Table  string
		Before history.Position // Before is the position of the newest row in the earlier era.
		After  history.Position // After is the position of the copy, as it was read.
		Kept   int              // Kept is how many rows and deletions of the earlier era stay in force.
		Gone   int              // Gone is how many rows of the earlier era are no longer there.
	}

	// KeptRow is a row or deletion of an earlier era that is in force, as nodes tell it to each other.
	KeptRow struct {
		PeerRow
		Era     int64    `json:"e"`
		Removed *PeerRow `json:"o,omitempty"` // Removed is the row that a deletion removed.
		LeftMs  int64    `json:"m"`           // LeftMs is for how much longer it is kept; 0 until it is written again.
	}

	// keptRow is such a row at a node.
	keptRow struct {
		PeerRow
		until time.Time // until is when it ends; zero for a lasting one.
	}
)

// yields reports whether a kept row gives way to one that was written in the new era.
func (c Carry) yields(kept, written PeerRow) bool {
	if kept.Deleted || written.Deleted {
		return true
	}
	order, ok := c.compare(kept, written)
	return !ok || order <= 0
}

// keeps reports whether a row or deletion of an earlier era stays in force in place of what the copy has, and for
// how long; 0 is for a lasting row.
func (c Carry) keeps(old, copied PeerRow) (keep bool, limit time.Duration) {
	missing := copied.Version == 0
	switch {
	case old.Deleted && missing:
		keep, limit = c.Older > 0, c.Older // The copy of a further return may have it.
	case missing:
		keep, limit = c.Missing > 0, c.Missing
	case old.Deleted:
		keep, limit = c.Older > 0 && c.wasRemoved(old, copied), c.Older
	default:
		order, ok := c.compare(old, copied)
		keep, limit = c.Older > 0 && (ok && order > 0 || !ok && old.Version > copied.Version), c.Older
	}
	if !old.Deleted && c.Lasting != nil && c.Lasting(old.Key) {
		limit = 0
	}
	return keep, limit
}

// wasRemoved reports whether the copy has a row that was deleted in an earlier era, and not one that was written since.
func (c Carry) wasRemoved(deleted, copied PeerRow) bool {
	if deleted.removed != nil {
		if order, ok := c.compare(copied, *deleted.removed); ok {
			return order <= 0
		}
	}
	return copied.Era < deleted.Era || copied.Version < deleted.Version
}

// later reports whether a row or deletion of an earlier era is of a later state than another one.
func (c Carry) later(a, b PeerRow) bool {
	switch {
	case a.Deleted && b.Deleted:
	case a.Deleted:
		return c.wasRemoved(a, b)
	case b.Deleted:
		return !c.wasRemoved(b, a)
	default:
		if order, ok := c.compare(a, b); ok && order != 0 {
			return order > 0
		}
	}
	return a.Position().After(b.Position())
}

// compare compares what two rows hold.
func (c Carry) compare(a, b PeerRow) (order int, ok bool) {
	if c.Compare == nil {
		return 0, false
	}
	a, errA := a.decompress()
	b, errB := b.decompress()
	if errA != nil || errB != nil {
		return 0, false
	}
	return c.Compare(a.Row, b.Row)
}

// beginEra replaces all rows by those of a later era and keeps in force what the copy lacks. The caller holds the lock.
func (t *Table) beginEra(now time.Time, u update) {
	before, old := t.position(), t.inForce()
	t.rows, t.tombstones, t.kept, t.batches = map[string]PeerRow{}, map[string]PeerRow{}, map[string]keptRow{}, batches{}
	t.era, t.latest, t.historyStart, t.base, t.eraAt = u.at.Era, 0, u.at.Version, u.base, now
	for _, r := range u.rows {
		r.Era, r.AcceptedAfter = t.era, time.Time{}
		t.rows[r.Key] = r.compress()
		t.latest = max(t.latest, r.Version)
	}
	for key, r := range old {
		keep, limit := t.carry.keeps(r, t.rows[key])
		if !keep {
			continue
		}
		kept := keptRow{PeerRow: r}
		if limit > 0 {
			kept.until = now.Add(limit) // From a second return on it may take as long again to be written.
		}
		t.kept[key] = kept
	}
	t.generation++
	gone := t.emitChanges(now, old)
	t.scheduleExpiry(now)
	if t.ordersByEra {
		t.onEra(now, Return{Table: t.name, Before: before, After: u.at, Kept: t.countKept(), Gone: gone})
	}
	t.ordersByEra = true
}

// yields reports whether a kept row gives way to a row of the table's era, which may be of the copy. The caller
// holds the lock.
func (t *Table) yields(kept, r PeerRow) bool {
	if r.Version > t.base {
		return t.carry.yields(kept, r)
	}
	if r.Deleted {
		r = PeerRow{}
	}
	keep, _ := t.carry.keeps(kept, r)
	return !keep
}

// inForce returns the rows and deletions in force by key. The caller holds the lock.
func (t *Table) inForce() map[string]PeerRow {
	out := maps.Clone(t.tombstones)
	maps.Copy(out, t.rows)
	for key, r := range t.kept {
		out[key] = r.PeerRow
	}
	return out
}

// emitChanges passes on what is in force in place of what was, and returns how many rows are no longer there. The
// caller holds the lock.
func (t *Table) emitChanges(now time.Time, was map[string]PeerRow) (gone int) {
	is := t.inForce()
	var changed []Row
	for key, r := range is {
		old, known := was[key]
		if known && old.sameAs(r) || !known && r.Deleted {
			continue
		}
		if known && !old.Deleted && r.Deleted {
			gone++
		}
		if plain, err := r.decompress(); err == nil {
			changed = append(changed, plain.Row)
		}
	}
	for key, old := range was {
		if _, still := is[key]; !still && !old.Deleted {
			gone++
			changed = append(changed, Row{Table: t.name, Key: key, Era: t.era, Version: t.latest, Deleted: true})
		}
	}
	t.emit(now, changed)
	return gone
}

// sameAs reports whether two rows of a key are the same one, if perhaps of two eras.
func (s PeerRow) sameAs(other PeerRow) bool {
	return s.Version == other.Version && s.Deleted == other.Deleted && bytes.Equal(s.Value, other.Value) && bytes.Equal(s.Compressed, other.Compressed)
}

// Expire ends the time of the kept rows that have not been written again.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.inForce()
	maps.DeleteFunc(t.kept, func(_ string, r keptRow) bool { return !r.until.IsZero() && !now.Before(r.until) })
	t.emitChanges(now, was)
	t.scheduleExpiry(now)
}

// scheduleExpiry sets the timer for the kept row that ends first. The caller holds the lock.
func (t *Table) scheduleExpiry(now time.Time) {
	if t.expiry != nil {
		t.expiry.Stop()
		t.expiry = nil
	}
	var first time.Time
	for _, r := range t.kept {
		if !r.until.IsZero() && (first.IsZero() || r.until.Before(first)) {
			first = r.until
		}
	}
	if !first.IsZero() {
		t.expiry = time.AfterFunc(first.Sub(now), func() { t.Expire(clock.Now()) })
	}
}

// Close stops the timer of the kept rows.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expiry != nil {
		t.expiry.Stop()
	}
}

// keptForPeers returns the rows that are kept, and the version of the first snapshot of the era.
func (t *Table) keptForPeers(now time.Time) (rows []KeptRow, base int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.kept {
		if !t.differs(r) {
			continue
		}
		out := KeptRow{PeerRow: r.PeerRow, Era: r.Era, Removed: r.removed}
		if !r.until.IsZero() {
			out.LeftMs = max(1, r.until.Sub(now).Milliseconds())
		}
		rows = append(rows, out)
	}
	return rows, t.base
}

// Kept returns how many rows and deletions of earlier eras are in force in place of what the store has.
func (t *Table) Kept() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countKept()
}

// countKept implements Kept. The caller holds the lock.
func (t *Table) countKept() (n int) {
	for _, r := range t.kept {
		if t.differs(r) {
			n++
		}
	}
	return n
}

// differs reports whether a kept row is in force in place of another state, and does not only serve for a further
// return. The caller holds the lock.
func (t *Table) differs(r keptRow) bool {
	_, stored := t.rows[r.Key]
	return stored || !r.Deleted
}

// mergeKept takes over what a peer in the same era keeps. A row that was written in this era is not replaced.
func (t *Table) mergeKept(now time.Time, era int64, list []KeptRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era != t.era || len(list) == 0 {
		return
	}
	was := t.inForce()
	for _, r := range list {
		r.PeerRow.Era, r.PeerRow.removed = r.Era, r.Removed
		end, ended := t.keptUntil(now, r)
		if mine, ok := t.kept[r.Key]; ended || r.Era >= t.era || ok && !t.carry.later(r.PeerRow, mine.PeerRow) {
			continue
		}
		delete(t.kept, r.Key) // It is older than the peer's, which may be older than what the store has.
		if !t.takesKept(r.PeerRow) {
			continue
		}
		t.kept[r.Key] = keptRow{PeerRow: r.PeerRow, until: end}
	}
	t.emitChanges(now, was)
	t.scheduleExpiry(now)
}

// keptUntil returns until when a row that a peer keeps may stay in force here, zero for a lasting one, and whether that
// is over: the peer may have taken the era over later than this table. The caller holds the lock.
func (t *Table) keptUntil(now time.Time, r KeptRow) (end time.Time, ended bool) {
	if r.LeftMs <= 0 {
		return time.Time{}, false
	}
	end = now.Add(time.Duration(r.LeftMs) * time.Millisecond)
	limit := t.carry.Older
	if t.rows[r.Key].Version == 0 && !r.Deleted {
		limit = t.carry.Missing
	}
	if longest := t.eraAt.Add(limit); longest.Before(end) {
		end = longest
	}
	return end, !now.Before(end)
}

// takesKept reports whether a row that a peer keeps stays in force in place of what this table has of its era. The
// caller holds the lock.
func (t *Table) takesKept(r PeerRow) bool {
	current, buried := t.rows[r.Key], t.tombstones[r.Key]
	if buried.Version > 0 && (buried.Version > t.base || t.carry.later(buried, r)) {
		return false
	}
	return !t.yields(r, current)
}

// keptDigest returns a hash of what is kept, 0 if nothing is. Nodes that keep the same have the same hash.
func (t *Table) keptDigest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []byte
	for _, key := range slices.SortedFunc(maps.Keys(t.kept), strings.Compare) {
		r := t.kept[key]
		if !t.differs(r) {
			continue
		}
		out = append(out, key...)
		out = binary.BigEndian.AppendUint64(out, uint64(r.Era))
		out = binary.BigEndian.AppendUint64(out, uint64(r.Version))
	}
	if out == nil {
		return 0
	}
	return max(1, xxhash.Sum64(out))
}
