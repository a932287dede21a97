package feed

import (
	"sort"
	"sync"
	"time"
)

// maxTombstones limits the deleted rows that a table remembers for its peers; a
// peer that needs older ones fetches the full table.
const maxTombstones = 1000

type (
	// Consumer receives changed rows, including deleted ones, in version order.
	Consumer func(now time.Time, rows []Row)

	// Table is a local copy of one table. It is safe for concurrent use.
	Table struct {
		name    string
		consume Consumer

		mu           sync.Mutex
		rows         map[string]PeerRow
		tombstones   map[string]PeerRow
		latest       int64 // latest is the newest version among the rows, including deleted ones.
		historyStart int64 // historyStart is the version up to which deleted rows may be unknown.
		loaded       bool  // loaded is set once the full table was read.
		generation   int64 // generation counts the updates that changed rows.
		batches      batches

		bundleMu sync.Mutex // bundleMu allows one bundle to be built at a time; it is locked before mu.
		bundle   bundle     // bundle is the cached reply.
	}
)

// NewTable returns an empty table.
func NewTable(name string, consume Consumer) *Table {
	return &Table{name: name, consume: consume, rows: map[string]PeerRow{}, tombstones: map[string]PeerRow{}}
}

func (t *Table) Name() string { return t.name }

// Latest returns the newest version in the table; ok is false until it is loaded.
func (t *Table) Latest() (latest int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest, t.loaded
}

// Replace applies a full snapshot. Rows missing from it are deleted unless the
// table has a newer version of them.
func (t *Table) Replace(now time.Time, snap Snapshot) {
	t.replace(now, peerRows(snap.Rows), snap.Version, time.Time{})
}

// replace applies a full snapshot and takes ownership of rows. acceptedAfter is that of the rows which are
// new. It reports whether the table was empty before, and returns the generation after the update.
func (t *Table) replace(now time.Time, rows []PeerRow, version int64, acceptedAfter time.Time) (wasEmpty bool, generation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasEmpty = len(t.rows)+len(t.tombstones) == 0
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, r := range t.rows {
		if !present[key] && r.Version <= version {
			rows = append(rows, PeerRow{Row: Row{Table: t.name, Key: key, Version: version, Deleted: true}})
		}
	}
	t.merge(now, rows, acceptedAfter)
	t.historyStart = max(t.historyStart, version) // Earlier deletions may be of rows that this copy never had.
	t.loaded = true
	return wasEmpty, t.generation
}

// Apply applies changed rows.
func (t *Table) Apply(now time.Time, rows []Row) { t.apply(now, peerRows(rows), time.Time{}) }

// apply applies changed rows.
func (t *Table) apply(now time.Time, rows []PeerRow, acceptedAfter time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, rows, acceptedAfter)
}

// merge stores the rows that are newer than the table's and passes them to the consumer. acceptedAfter
// is that of the rows newer than all in the table; of others it is unknown.
func (t *Table) merge(now time.Time, rows []PeerRow, acceptedAfter time.Time) {
	var changed []Row
	before, latest := t.latest, int64(0)
	for _, r := range rows {
		if known := max(t.rows[r.Key].Version, t.tombstones[r.Key].Version); r.Version <= known || known == 0 && r.Version <= t.historyStart {
			continue // It is older, or was deleted before the table was read.
		}
		if r.Version <= before {
			acceptedAfter = time.Time{}
		}
		r.AcceptedAfter = acceptedAfter
		changed = append(changed, r.Row)
		t.latest, latest = max(t.latest, r.Version), max(latest, r.Version)
		if r.Deleted {
			delete(t.rows, r.Key)
			t.tombstones[r.Key] = r
			continue
		}
		delete(t.tombstones, r.Key)
		t.rows[r.Key] = r.compress()
	}
	t.trimTombstones()
	sort.SliceStable(changed, func(i, j int) bool { return changed[i].Version < changed[j].Version })
	if len(changed) > 0 {
		t.generation++
		t.batches.add(latest, acceptedAfter)
		t.consume(now, changed)
	}
}

// trimTombstones drops the older half of the deleted rows once there are too many.
func (t *Table) trimTombstones() {
	if len(t.tombstones) <= maxTombstones {
		return
	}
	list := make([]PeerRow, 0, len(t.tombstones))
	for _, r := range t.tombstones {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	for _, r := range list[:len(list)/2] {
		delete(t.tombstones, r.Key)
		t.historyStart = max(t.historyStart, r.Version)
	}
}

// Since returns the rows that changed after a version, including deleted ones. It
// returns ErrHistoryGone if the caller has to use All instead.
func (t *Table) Since(after int64) ([]PeerRow, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded || after < t.historyStart {
		return nil, ErrHistoryGone
	}
	var out []PeerRow
	for _, list := range []map[string]PeerRow{t.rows, t.tombstones} {
		for _, r := range list {
			if r.Version > after {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// All returns all rows and the newest version, deleted rows included.
func (t *Table) All() (rows []PeerRow, latest int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows = make([]PeerRow, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, t.latest, t.loaded
}
