package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/placement"
)

// A process that is behind learns late that a caller has closed its connection, and reads requests late whose time
// is over. What decides is asked of the kernel and the clock right before the request is written, and again if the
// process stood still since: no request is written once its caller's close has reached this machine or its deadline
// has passed, but for a standstill between the last answer and the write.

var (
	// ErrWithheld means that a request was not written because nobody waits for its answer any more, or because
	// its engine should not get it.
	ErrWithheld = errors.New("dispatch: request withheld")

	// ErrCallerLeft means that a request was not written because its caller had left.
	ErrCallerLeft = fmt.Errorf("%w: its caller has left", ErrWithheld)

	// ErrExpired means that a request was not written because its deadline had passed.
	ErrExpired = fmt.Errorf("%w: its deadline has passed", ErrWithheld)

	// ErrTooLate means that a request was not written because its engine was about to leave by then.
	ErrTooLate = fmt.Errorf("%w: its engine leaves", ErrWithheld)
)

// writeRecord tells how a request was last written. The goroutine that writes is another than the one that
// serves the request.
type writeRecord struct {
	at   atomic.Pointer[time.Time]  // at is when its first byte was about to be written; nil if none was
	took atomic.Int64               // took is the longest time from then, or from a later write, until that write returned, in ns
	held atomic.Pointer[dial.Queue] // held is what the kernel held when its connection was closed; nil if it was not
}

// clear forgets the record, for another attempt.
func (r *writeRecord) clear() {
	r.at.Store(nil)
	r.took.Store(0)
	r.held.Store(nil)
}

// wrote records how long a write took.
func (r *writeRecord) wrote(took time.Duration) {
	for old := r.took.Load(); int64(took) > old && !r.took.CompareAndSwap(old, int64(took)); old = r.took.Load() {
	}
}

// closing records what the kernel holds of a request when its connection is closed.
func (r *writeRecord) closing(q dial.Queue) { r.held.Store(&q) }

// longest returns how long the longest write took.
func (r *writeRecord) longest() time.Duration { return time.Duration(r.took.Load()) }

// queue returns what the kernel held of the request when its connection was closed.
func (r *writeRecord) queue() dial.Queue {
	if q := r.held.Load(); q != nil {
		return *q
	}
	return dial.Queue{}
}

// time returns when the first byte was written, zero if none was.
func (r *writeRecord) time() time.Time {
	if at := r.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// hooks returns what is called for the connection on which the request is sent.
func (x *exchange) hooks(mayWrite func(now time.Time, first bool) error) dial.Hooks {
	return dial.Hooks{MayWrite: mayWrite, Wrote: x.written.wrote, Closing: x.written.closing}
}

// mayWrite is asked right before each write of the request. It may run in another goroutine than the exchange.
func (x *exchange) mayWrite(now time.Time, first bool) error {
	err := x.withhold(now)
	switch {
	case err == nil:
		x.written.at.CompareAndSwap(nil, &now)
	case first:
		x.written.at.Store(nil) // It was allowed before the process stood still.
	}
	return err
}

// withhold returns why the request must not be written any more, or nil.
func (x *exchange) withhold(now time.Time) error {
	switch {
	case !now.Before(x.deadline):
		return ErrExpired
	case x.caller.Left():
		return ErrCallerLeft
	}
	return nil
}

// mayWriteTo returns what is asked before each write of the request to an engine. Once the first part is written
// the engine has it, whatever becomes known of the engine.
func (x *exchange) mayWriteTo(c placement.Choice) func(now time.Time, first bool) error {
	return func(now time.Time, first bool) error {
		if first && !x.d.placement.StillChosen(c) {
			return ErrTooLate
		}
		return x.mayWrite(now, first)
	}
}

// callerLeft reports whether the caller closed its connection or was cut off.
func (x *exchange) callerLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled) || x.buffer != nil && x.buffer.Err() != nil || x.caller.Left()
}

// readLeft reports whether the end of the caller's connection has been read.
func (x *exchange) readLeft() bool {
	select {
	case <-x.left:
		return true
	default:
		return false
	}
}

// refuseExpired ends a request whose deadline has passed before it was sent to an engine, or to another one.
func (x *exchange) refuseExpired() {
	reason := Expired
	if x.mayHaveRun {
		reason = TimedOut
	}
	x.refuse(Refusal{Reason: reason})
}

// handleExpired ends an attempt that was withheld because the deadline had passed.
func (x *exchange) handleExpired(now time.Time, err error) {
	x.call.End(now, placement.Aborted)
	x.mayHaveRun = x.mayHaveRun || !errors.Is(err, ErrNotSent)
	x.refuseExpired()
}

// sinceArrival returns the time from the request's arrival until t in milliseconds, -1 if t is zero.
func (x *exchange) sinceArrival(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(x.arrived).Milliseconds()
}
