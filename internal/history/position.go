// Package history names positions in the history of the platform's store. The store may come back from an older
// copy: it then loses the newest transactions, and gives their versions out again. Each return begins a new era.
package history

import (
	"cmp"
	"math"
)

// Latest is after all positions of a store, for what is known of the present.
var Latest = Position{Era: math.MaxInt64, Version: math.MaxInt64}

// Position is a position in the store's history. The zero value is before all others.
type Position struct {
	Era     int64 // Era counts the store's returns from a copy; 0 if the store or the peer does not say.
	Version int64 // Version is the store's transaction counter, which starts again lower with an era.
}

// Compare returns -1, 0 or 1 if p is before, the same as or after other. A position of a later era is after all of
// an earlier one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// After reports whether p is after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if b.After(a) {
		return b
	}
	return a
}
