package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/croftturn/croftturn/internal/wire"
)

// Owner returns the member that owns a key: the first by rendezvous hashing among
// the alive members or, if there are none, among the suspect ones.
func (t *Table) Owner(key string) (wire.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var alive, suspected []string
	for n, e := range t.entries {
		switch e.State {
		case wire.MemberStateA:
			alive = append(alive, n)
		case wire.MemberStateS:
			suspected = append(suspected, n)
		}
	}
	if len(alive) == 0 {
		alive = suspected
	}
	top := TopRanked(key, alive, 1)
	if len(top) == 0 {
		return wire.Member{}, false
	}
	return t.entries[top[0]].Member, true
}

// TopRanked returns the n highest-ranked names for a key by rendezvous hashing.
func TopRanked(key string, names []string, n int) []string {
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

// contains reports whether a list includes a name.
func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
