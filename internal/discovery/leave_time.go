package discovery

import (
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// maxEntryAge is the most time that the store may have had an entry with "draining" when it was
	// read for its engine to get further requests. It is 300 ms for the way over peers and 400 ms for
	// the delay that feed assumes at the store. An older entry comes from a node that had lost the store.
	maxEntryAge = 700 * time.Millisecond

	// sendMargin is how long before the end of that time the last request is sent: it may take a new
	// connection and a lost packet to arrive.
	sendMargin = 500 * time.Millisecond
)

// Option configures a Discovery.
type Option func(*Discovery)

// WithSpotNotice sets how long a draining spot engine serves if its entry does not say; 0 if unknown.
func WithSpotNotice(notice time.Duration) Option {
	return func(d *Discovery) { d.spotNotice = notice }
}

// leaveTimes returns when an engine leaves whose first entry with "draining" is read now, and until when
// it may get requests. Both are zero if either is unknown.
func (d *Discovery) leaveTimes(now time.Time, r feed.Row, e placement.Engine) (leavesAt, lastSend time.Time) {
	leavesAt = e.LeavesAt
	switch {
	case !leavesAt.IsZero():
	case e.Spot && d.spotNotice <= 0:
		return time.Time{}, time.Time{}
	case e.Spot:
		leavesAt = now.Add(d.spotNotice)
	default:
		leavesAt = now.Add(d.drain)
	}
	if r.AcceptedAfter.IsZero() || now.Sub(r.AcceptedAfter) > maxEntryAge {
		return time.Time{}, time.Time{}
	}
	return leavesAt, r.AcceptedAfter.Add(d.drain - sendMargin)
}

// servesUntil returns until when an engine serves at least which leaves at a time that counts from the reading of its entry: the
// entry was written before. It is zero if either is unknown.
func servesUntil(now time.Time, r feed.Row, leavesAt time.Time) time.Time {
	if leavesAt.IsZero() || r.AcceptedAfter.IsZero() {
		return time.Time{}
	}
	return leavesAt.Add(-now.Sub(r.AcceptedAfter))
}

// noteDraining records that an engine has an entry with "draining". The times of the first one hold; a
// later one may only bring the end forward.
func (d *Discovery) noteDraining(now time.Time, r feed.Row, e placement.Engine, known *incarnation) {
	if !known.draining {
		known.draining = true
		known.leavesAt, known.lastSend = d.leaveTimes(now, r, e)
		known.servesUntil = servesUntil(now, r, known.leavesAt)
	}
	if !e.LeavesAt.IsZero() && e.LeavesAt.Before(known.leavesAt) {
		known.leavesAt = e.LeavesAt
	}
	if end := servesUntil(now, r, e.LeavesAt); !e.LeavesAt.IsZero() && end.Before(known.servesUntil) {
		known.servesUntil = end
	}
}
