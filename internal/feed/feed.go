// Package feed keeps a copy of some of the platform's tables. A few nodes read
// changes from the platform; the others take them from any node that has them.
// A row is only ever replaced by a newer one, whichever way it comes.
package feed

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrHistoryGone says that changes since a version are no longer known.
	ErrHistoryGone = errors.New("feed: history of the table is gone")

	// ErrConflict says that a row has another version; nothing was written.
	ErrConflict = errors.New("feed: a row has another version")

	// ErrUnavailable says that the store did not do what was asked.
	ErrUnavailable = errors.New("feed: store not available")

	// ErrUncertain says that a write may have taken effect, or may still do so.
	ErrUncertain = errors.New("feed: the write may have taken effect")
)

type (
	// Row is a row of a table.
	Row struct {
		Table   string `json:"t"`
		Part    string `json:"p,omitempty"`
		Key     string `json:"k"`
		Value   []byte `json:"v,omitempty"`
		Version int64  `json:"r"`           // Version comes from one counter over all tables.
		Deleted bool   `json:"d,omitempty"` // Deleted rows stand only among changes.
	}

	// Snapshot is an answer about a table.
	Snapshot struct {
		Rows    []Row
		Version int64     // Version is the newest of all tables at the time of the answer.
		AsOf    time.Time // AsOf is a local moment, on the steady clock, at which the answer was true.
	}

	// Tx is a transaction: it is written whole or not at all.
	Tx struct {
		Expect []Row // Expect names rows with the version they must have; 0 for absent.
		Put    []Row
		Delete []Row
	}

	// ConflictError names the rows that have other versions, as they are now.
	ConflictError struct {
		Rows []Row
	}
)

// Error describes the conflict.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %d rows", ErrConflict, len(e.Rows)) }

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
