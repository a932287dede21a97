package feed

import "github.com/croftturn/croftturn/internal/history"

// Announcement is what a node tells its peers of its tables, by table.
type Announcement struct {
	Versions map[string]int64  // Versions are the newest versions of the tables that are loaded.
	Eras     map[string]int64  // Eras are the eras of these versions; absent for 0, and at older releases.
	Kept     map[string]uint64 // Kept are the digests of what is kept of earlier eras; absent if nothing is.
}

// Announcement returns what peers are told of the tables that are loaded.
func (f *Follower) Announcement() Announcement {
	out := Announcement{Versions: map[string]int64{}}
	for name, t := range f.tables {
		at, ok := t.Position()
		if !ok {
			continue
		}
		out.Versions[name] = at.Version
		if at.Era > 0 {
			out.Eras = set(out.Eras, name, at.Era)
		}
		if digest := t.keptDigest(); digest != 0 {
			out.Kept = set(out.Kept, name, digest)
		}
	}
	return out
}

// set sets an entry of a map, which may be nil.
func set[V any](m map[string]V, key string, value V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	m[key] = value
	return m
}

// Position returns the announced position of a table.
func (a Announcement) Position(table string) history.Position {
	return history.Position{Era: a.Eras[table], Version: a.Versions[table]}
}
