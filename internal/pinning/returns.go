package pinning

import "github.com/croftturn/croftturn/internal/history"

// Position returns the position of the row in the store's history.
func (v PoolVersion) Position() history.Position {
	return history.Position{Era: v.Era, Version: v.Revision}
}

// copied reports whether the row may be older than what was known before the store came back from a copy.
func (v PoolVersion) copied() bool { return v.Written < v.Era }

// combine returns what is known of a pool by a known row and another one. Where one is of a copy, streams may also
// have begun at the versions of the other.
func combine(known, row PoolVersion) PoolVersion {
	earlier, later := known, row
	if !row.Position().After(known.Position()) {
		earlier, later = row, known
	}
	if earlier.Era < later.Era && earlier.Revision > 0 && later.copied() {
		later.merge(earlier)
	}
	return later
}

// merge adds what was known before the store came back from a copy.
func (v *PoolVersion) merge(earlier PoolVersion) {
	switch {
	case v.Revision == 0:
		v.Version, v.Several, v.SinceMs = earlier.Version, earlier.Several, earlier.SinceMs
	case earlier.Several || earlier.Version != v.Version:
		v.Version, v.Several = "", true
	}
}

// Eras returns the eras of rows, by pool: that of the revision and that in which it was written. Pools without any
// are left out.
func Eras(list []PoolVersion) map[string][2]int64 {
	out := map[string][2]int64{}
	for _, row := range list {
		if row.Era > 0 {
			out[row.Pool] = [2]int64{row.Era, row.Written}
		}
	}
	return out
}

// StoreReturned records that the store has come back from a copy: the rows are read again.
func (h *History) StoreReturned() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.known {
		s.verify = s.row.Revision > 0
	}
	h.Wake()
}
