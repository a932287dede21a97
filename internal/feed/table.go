package feed

import (
	"sort"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// maxTombstones limits the deleted rows that a table remembers for its peers; a
// peer that needs older ones fetches the full table.
const maxTombstones = 1000

type (
	// Consumer receives changed rows, including deleted ones, in the order of their positions.
	Consumer func(now time.Time, rows []Row)

	// Table is a local copy of one table. It is safe for concurrent use.
	//
	// Its rows are those of one era, in the order of their versions. A later era replaces all of them; what was in force
	// and is missing or older in it stays in force for a while (see carry.go).
	Table struct {
		name    string
		consume Consumer
		carry   Carry
		onEra   func(now time.Time, r Return)

		mu           sync.Mutex
		rows         map[string]PeerRow
		tombstones   map[string]PeerRow
		kept         map[string]keptRow // kept is in force in place of rows and tombstones.
		era          int64              // era is that of all rows but the kept ones.
		latest       int64              // latest is the newest version among the rows, including deleted ones.
		historyStart int64              // historyStart is the version up to which deleted rows may be unknown.
		eraAt        time.Time          // eraAt is when the table took the era over.
		base         int64              // base is the version of the first snapshot of the era; rows up to it may be those of the copy.
		loaded       bool               // loaded is set once the full table was read.
		ordersByEra  bool               // ordersByEra is set once rows came from the store or from a peer that tells their era, if perhaps the first one.
		generation   int64              // generation counts the updates that changed rows.
		batches      batches
		expiry       *time.Timer // expiry ends the time of kept rows; nil if none is kept for a time.

		bundleMu sync.Mutex // bundleMu allows one bundle to be built at a time; it is locked before mu.
		bundle   bundle     // bundle is the cached reply.
	}

	// TableOption configures a Table.
	TableOption func(*Table)

	// update is a set of rows at a position of the store's history.
	update struct {
		rows          []PeerRow
		at            history.Position
		base          int64     // base is as in Table, for a full table of a later era.
		acceptedAfter time.Time // acceptedAfter is that of the rows which are new.
	}
)

// WithCarry sets what stays in force when the store comes back from an older copy.
func WithCarry(c Carry) TableOption { return func(t *Table) { t.carry = c } }

// WithReturnObserver sets a function that is called after the table has taken over a later era. It must not call
// the table.
func WithReturnObserver(f func(now time.Time, r Return)) TableOption {
	return func(t *Table) { t.onEra = f }
}

// ordersByEra reports whether the source of an update tells its era. A peer of an earlier release does not, and its
// rows may be of any.
func (u update) ordersByEra() bool { return u.at.Era > 0 || u.base > 0 }

// NewTable returns an empty table.
func NewTable(name string, consume Consumer, options ...TableOption) *Table {
	t := &Table{name: name, consume: consume, rows: map[string]PeerRow{}, tombstones: map[string]PeerRow{}, kept: map[string]keptRow{}, onEra: func(time.Time, Return) {}}
	for _, option := range options {
		option(t)
	}
	return t
}

func (t *Table) Name() string { return t.name }

// Position returns the position of the newest row in the table; ok is false until it is loaded.
func (t *Table) Position() (at history.Position, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position(), t.loaded
}

// position implements Position. The caller holds the lock.
func (t *Table) position() history.Position {
	return history.Position{Era: t.era, Version: t.latest}
}

// Replace applies a full snapshot. Rows missing from it are deleted unless the
// table has a newer version of them.
func (t *Table) Replace(now time.Time, snap Snapshot) {
	t.replace(now, update{rows: peerRows(snap.Rows), at: snap.Position(), base: snap.Version})
}

// replace applies a full snapshot and takes ownership of its rows. It reports whether the table now has these rows
// and no others, and returns the generation after the update. A snapshot of an earlier era is ignored.
func (t *Table) replace(now time.Time, u update) (same bool, generation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded && u.at.Era < t.era {
		return false, t.generation
	}
	if t.loaded && u.at.Era > t.era {
		t.beginEra(now, u)
		return true, t.generation
	}
	t.ordersByEra = t.ordersByEra || u.ordersByEra()
	same = len(t.rows)+len(t.tombstones) == 0
	if !t.loaded {
		t.era, t.base, t.eraAt = u.at.Era, u.base, now
	}
	present := map[string]bool{}
	for _, r := range u.rows {
		present[r.Key] = true
	}
	for key, r := range t.rows {
		if !present[key] && r.Version <= u.at.Version {
			u.rows = append(u.rows, PeerRow{Row: Row{Table: t.name, Key: key, Version: u.at.Version, Deleted: true}})
		}
	}
	t.merge(now, u)
	t.historyStart = max(t.historyStart, u.at.Version) // Earlier deletions may be of rows that this copy never had.
	t.loaded = true
	return same, t.generation
}

// Apply applies changed rows of the table's era.
func (t *Table) Apply(now time.Time, rows []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, update{rows: peerRows(rows)})
}

// apply applies changed rows. It reports whether they are of the table's era; those of another are ignored.
func (t *Table) apply(now time.Time, u update) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.at.Era != t.era {
		return false
	}
	t.ordersByEra = t.ordersByEra || u.ordersByEra()
	t.merge(now, u)
	return true
}

// merge stores the rows of the table's era that are newer than the table's and passes them to the consumer. acceptedAfter
// is that of the rows newer than all in the table; of others it is unknown.
func (t *Table) merge(now time.Time, u update) {
	var changed []Row
	before, latest := t.latest, int64(0)
	for _, r := range u.rows {
		old, buried := t.rows[r.Key], t.tombstones[r.Key]
		if known := max(old.Version, buried.Version); r.Version <= known || known == 0 && r.Version <= t.historyStart {
			continue // It is older, or was deleted before the table was read.
		}
		if r.Version <= before {
			u.acceptedAfter = time.Time{}
		}
		r.AcceptedAfter, r.Era = u.acceptedAfter, t.era
		t.latest, latest = max(t.latest, r.Version), max(latest, r.Version)
		if kept, ok := t.kept[r.Key]; !ok || t.yields(kept.PeerRow, r) {
			if ok && !kept.Deleted {
				old = kept.PeerRow
			}
			delete(t.kept, r.Key)
			changed = append(changed, r.Row)
		}
		if r.Deleted {
			if old.Version > 0 {
				r.removed = &old
			}
			delete(t.rows, r.Key)
			t.tombstones[r.Key] = r
			continue
		}
		delete(t.tombstones, r.Key)
		t.rows[r.Key] = r.compress()
	}
	t.trimTombstones()
	if latest > 0 {
		t.generation++
		t.batches.add(latest, u.acceptedAfter)
	}
	t.emit(now, changed)
}

// emit passes changed rows to the consumer. The caller holds the lock.
func (t *Table) emit(now time.Time, changed []Row) {
	sort.SliceStable(changed, func(i, j int) bool { return changed[j].Position().After(changed[i].Position()) })
	if len(changed) > 0 {
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

// Since returns the rows that changed after a position, including deleted ones. It
// returns ErrHistoryGone if the caller has to use All instead.
func (t *Table) Since(after history.Position) ([]PeerRow, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded || after.Era != t.era || after.Version < t.historyStart {
		return nil, ErrHistoryGone
	}
	var out []PeerRow
	for _, list := range []map[string]PeerRow{t.rows, t.tombstones} {
		for _, r := range list {
			if r.Position().After(after) {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// All returns all rows and the newest position, that of deleted rows included.
func (t *Table) All() (rows []PeerRow, latest history.Position, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows = make([]PeerRow, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, t.position(), t.loaded
}
