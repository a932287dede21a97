package dispatch

import (
	"sync/atomic"
	"time"
)

// writeRecord tells when a request was last written. The goroutine that writes is another than the one that
// serves the request.
type writeRecord struct {
	at     atomic.Pointer[time.Time] // at is when its first byte was written; nil if none was
	closed atomic.Bool               // closed is set if the caller's close had reached this machine by then
}

// clear forgets the record, for another attempt.
func (r *writeRecord) clear() {
	r.at.Store(nil)
	r.closed.Store(false)
}

// time returns when the first byte was written, zero if none was.
func (r *writeRecord) time() time.Time {
	if at := r.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// beforeWrite is called right before the request is written.
func (x *exchange) beforeWrite(now time.Time) error {
	if x.written.at.CompareAndSwap(nil, &now) {
		x.written.closed.Store(x.caller.Left())
	}
	return nil
}

// sinceArrival returns the time from the request's arrival until t in milliseconds, -1 if t is zero.
func (x *exchange) sinceArrival(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(x.arrived).Milliseconds()
}
