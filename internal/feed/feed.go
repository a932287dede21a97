// Package feed replicates some of the platform's tables to every node. A few
// nodes read changes from the platform; the others fetch them from any peer that
// has them. A row is only ever replaced by one of a later position in the store's
// history, whatever its source.
package feed

import (
	"errors"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

var (
	// ErrHistoryGone reports that the changes since a version are no longer available.
	ErrHistoryGone = errors.New("feed: history of the table is gone")

	// ErrStale reports a reply of an earlier era than one that is known.
	ErrStale = errors.New("feed: the reply is of an earlier era of the store")

	// ErrConflict reports that a row does not have the expected version; nothing was written.
	ErrConflict = errors.New("feed: a row has another version")

	// ErrUnavailable reports that the store did not carry out a request.
	ErrUnavailable = errors.New("feed: store not available")

	// ErrUncertain reports that a write may have taken effect, or may still do so.
	ErrUncertain = errors.New("feed: the write may have taken effect")
)

type (
	// Row is a row of a table.
	Row struct {
		Table   string `json:"t"`
		Part    string `json:"p,omitempty"`
		Key     string `json:"k"`
		Value   []byte `json:"v,omitempty"`
		Version int64  `json:"r"`           // Version comes from one counter over all tables, which starts again lower with an era.
		Era     int64  `json:"-"`           // Era is that in which the row was read, as in history.Position.
		Deleted bool   `json:"d,omitempty"` // Deleted marks a deletion; only changes contain deleted rows.

		// AcceptedAfter is a local monotonic time before which the store did not have this version of
		// the row; zero if unknown.
		AcceptedAfter time.Time `json:"-"`
	}

	// Snapshot is the store's reply to a List or Changes call.
	Snapshot struct {
		Rows    []Row
		Era     int64     // Era is that of the reply, as in history.Position.
		Version int64     // Version is the newest version of all tables at the time of the reply; every change up to it is in Rows, and none after it.
		AsOf    time.Time // AsOf is a local monotonic time at which the reply was current.
		Sent    time.Time // Sent is when the call was sent; zero if unknown.
		Calls   Calls     // Calls are those of which a List is made.
		NowMs   int64     // NowMs is the time of the reply on the store's monotonic clock, in milliseconds.

		LastKey    string // LastKey is the key of the last row, readable or not; empty if it is not known.
		Unreadable int    // Unreadable is how many rows were left out because they can't be read.
	}

	// Calls counts the calls of which a list is made.
	Calls struct {
		Pages   int  // Pages counts the calls for rows, of all reads.
		Changes int  // Changes counts the calls for what changed between the pages.
		Mixed   bool // Mixed is set if the history was forgotten, so that some rows are of a later state.
	}

	// Tx is an atomic transaction.
	Tx struct {
		Expect []Row // Expect lists rows with their required versions; 0 means absent.
		Put    []Row
		Delete []Row
	}

	// ConflictError holds the current state of the rows whose versions did not match.
	ConflictError struct {
		Rows []Row
	}
)

// Position returns the row's position in the store's history.
func (r Row) Position() history.Position { return history.Position{Era: r.Era, Version: r.Version} }

// Position returns the position of the reply in the store's history.
func (s Snapshot) Position() history.Position {
	return history.Position{Era: s.Era, Version: s.Version}
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %d rows", ErrConflict, len(e.Rows)) }

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
