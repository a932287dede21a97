package feed

import (
	"sort"
	"sync"
	"time"
)

// keptDeleted is how many deleted rows of a table are remembered, so that peers
// learn of them; a peer that lacks older ones takes the whole table.
const keptDeleted = 1000

type (
	// Consumer takes changed rows, deleted ones among them, in the order of their versions.
	Consumer func(now time.Time, rows []Row)

	// Table is the copy of one table. Its methods may be called from many goroutines.
	Table struct {
		name    string
		consume Consumer

		mu      sync.Mutex
		rows    map[string]PeerRow
		deleted map[string]PeerRow
		last    int64 // last is the newest version among the rows, deleted ones included.
		floor   int64 // floor is the version up to which deleted rows may be unknown.
		whole   bool  // whole says that the table was read whole once.
		changes int64 // changes counts the times at which rows were taken.

		bundling sync.Mutex // bundling lets one answer be packed at a time; it is locked before mu.
		bundle   bundle     // bundle is the answer that was packed last.
	}
)

// NewTable returns an empty copy.
func NewTable(name string, consume Consumer) *Table {
	return &Table{name: name, consume: consume, rows: map[string]PeerRow{}, deleted: map[string]PeerRow{}}
}

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Last returns the newest version in the copy; ok is false before it is whole.
func (t *Table) Last() (last int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.whole
}

// Replace takes the whole table as it was at a version. Rows that it lacks were
// deleted, unless the copy has them in a newer version.
func (t *Table) Replace(now time.Time, snap Snapshot) {
	t.replace(now, peerRows(snap.Rows), snap.Version)
}

// replace takes the whole table; the rows are its own from then on. It reports whether the copy was
// empty before, and how many changes it has taken since.
func (t *Table) replace(now time.Time, rows []PeerRow, version int64) (wasEmpty bool, changes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasEmpty = len(t.rows)+len(t.deleted) == 0
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, r := range t.rows {
		if !present[key] && r.Version <= version {
			rows = append(rows, PeerRow{Row: Row{Table: t.name, Key: key, Version: version, Deleted: true}})
		}
	}
	t.take(now, rows)
	t.floor = max(t.floor, version) // Rows may have been deleted before it that the copy never had.
	t.whole = true
	return wasEmpty, t.changes
}

// Change takes changed rows.
func (t *Table) Change(now time.Time, rows []Row) { t.change(now, peerRows(rows)) }

// change takes changed rows.
func (t *Table) change(now time.Time, rows []PeerRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(now, rows)
}

// take keeps what is newer than the copy and hands it on.
func (t *Table) take(now time.Time, rows []PeerRow) {
	var news []Row
	for _, r := range rows {
		if r.Version <= max(t.rows[r.Key].Version, t.deleted[r.Key].Version) {
			continue
		}
		news = append(news, r.Row)
		t.last = max(t.last, r.Version)
		if r.Deleted {
			delete(t.rows, r.Key)
			t.deleted[r.Key] = r
			continue
		}
		delete(t.deleted, r.Key)
		t.rows[r.Key] = r.pack()
	}
	t.forgetDeleted()
	sort.SliceStable(news, func(i, j int) bool { return news[i].Version < news[j].Version })
	if len(news) > 0 {
		t.changes++
		t.consume(now, news)
	}
}

// forgetDeleted forgets the oldest deleted rows where there are too many.
func (t *Table) forgetDeleted() {
	if len(t.deleted) <= keptDeleted {
		return
	}
	list := make([]PeerRow, 0, len(t.deleted))
	for _, r := range t.deleted {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	for _, r := range list[:len(list)/2] {
		delete(t.deleted, r.Key)
		t.floor = max(t.floor, r.Version)
	}
}

// Since returns the rows that changed after a version, deleted ones among them.
// The error is ErrHistoryGone where All has to be asked for.
func (t *Table) Since(after int64) ([]PeerRow, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.whole || after < t.floor {
		return nil, ErrHistoryGone
	}
	var out []PeerRow
	for _, list := range []map[string]PeerRow{t.rows, t.deleted} {
		for _, r := range list {
			if r.Version > after {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// All returns all rows and the newest version among them and those deleted.
func (t *Table) All() (rows []PeerRow, last int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows = make([]PeerRow, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, t.last, t.whole
}
