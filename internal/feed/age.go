package feed

import (
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

const (
	// minLongPoll is how long a Changes call must have waited at the store for its rows to count as
	// accepted during the wait. A call that takes less may have been sent after they were accepted.
	minLongPoll = 200 * time.Millisecond

	// longPollEnd is how long before the end of its wait the answer to a call must come for the same: a
	// call that the store forgets, since it dropped its history, shows earlier changes at the end.
	longPollEnd = 50 * time.Millisecond

	// changeDelay is how long the store may take to answer a waiting call after a change. A usual store
	// takes up to 100 ms, a slow one several times as long.
	changeDelay = 400 * time.Millisecond

	// maxCallGap is how long after the last reply a call must be sent for the same. A change in a longer
	// gap, such as after failed calls, looks like one that came while the call waited if the store is slow.
	maxCallGap = 300 * time.Millisecond

	// maxBatches is how many of the newest updates a table remembers the age of: more than come
	// while peers fetch them.
	maxBatches = 64
)

type (
	// batches holds the newest updates of a table, to tell peers how old the rows of a reply may be.
	batches struct {
		list    []batch
		trimmed int64 // trimmed is the newest version of the updates that are no longer in the list.
	}

	// batch is one update.
	batch struct {
		latest        int64     // latest is the newest version of its rows.
		acceptedAfter time.Time // acceptedAfter is as in Row.
	}
)

// add records an update with rows up to a version.
func (b *batches) add(latest int64, acceptedAfter time.Time) {
	if len(b.list) >= maxBatches {
		half := b.list[:maxBatches/2]
		for _, old := range half {
			b.trimmed = max(b.trimmed, old.latest)
		}
		b.list = append(b.list[:0], b.list[len(half):]...)
	}
	b.list = append(b.list, batch{latest: latest, acceptedAfter: acceptedAfter})
}

// acceptedAfter returns a time before which the store had none of the rows newer than a version;
// zero if unknown.
func (b *batches) acceptedAfter(version int64) time.Time {
	if version < b.trimmed {
		return time.Time{}
	}
	var oldest time.Time
	for _, each := range b.list {
		switch {
		case each.latest <= version:
		case each.acceptedAfter.IsZero():
			return time.Time{}
		case oldest.IsZero() || each.acceptedAfter.Before(oldest):
			oldest = each.acceptedAfter
		}
	}
	return oldest
}

// maxAgeMs returns the most milliseconds for which the store may have had the rows after a
// position, at least 1; 0 if unknown.
func (t *Table) maxAgeMs(now time.Time, at history.Position) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := t.batches.acceptedAfter(at.Version)
	if after.IsZero() || at.Era != t.era {
		return 0
	}
	return max(now.Sub(after).Milliseconds(), 0) + 1
}

// acceptedAfter returns a time before which the store had none of the rows of a reply to a call for
// changes; zero if unknown. The store answers a waiting call as soon as there is a change; otherwise
// the rows may have come at any time since the last reply, which showed this reader's version to be the
// newest.
func (r *Reader) acceptedAfter(snap Snapshot) time.Time {
	waited, gap := snap.AsOf.Sub(snap.Sent), snap.Sent.Sub(r.currentAt)
	if snap.Sent.IsZero() || r.currentAt.IsZero() || r.failing || gap > maxCallGap || waited < minLongPoll || waited > r.Wait-longPollEnd {
		return r.currentAt
	}
	if at := snap.AsOf.Add(-changeDelay); at.After(r.currentAt) {
		return at
	}
	return r.currentAt
}

// acceptedAfter returns a time before which the store had none of the rows of a peer's reply to a
// request sent at a time; zero if unknown.
func (r *TableReply) acceptedAfter(sent time.Time) time.Time {
	if r.MaxAgeMs <= 0 {
		return time.Time{}
	}
	return sent.Add(-time.Duration(r.MaxAgeMs) * time.Millisecond)
}
