package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/relaybuf"
)

// enginePatience is how long the answer of an engine may stay unread without a break until a failure of
// the connection is no longer counted as the engine's: engines cut off answers that stay unread for some
// seconds.
const enginePatience = time.Second

// errCallerTooSlow ends a request whose caller was cut off because it did not read its answer.
var errCallerTooSlow = errors.New("dispatch: caller does not read its answer")

type (
	// Interrupter is an AnswerWriter whose blocked writes can be ended. Its methods may be called
	// while Write runs.
	Interrupter interface {
		// Interrupt makes a blocked Write and all later ones fail at once.
		Interrupt()

		// Extend gives a blocked Write the write timeout again.
		Extend()
	}

	// relayBuffers are what buffers the answers of interactive pools.
	relayBuffers struct {
		budget *relaybuf.Budget // budget is nil if no answers are buffered.
		onCut  func(pool string, r relaybuf.Reason)
	}
)

// WithRelayBuffers makes a dispatcher read the answers of interactive pools as their engines send
// them, into buffers of a budget. onCut is called for each caller that was cut off.
func WithRelayBuffers(b *relaybuf.Budget, onCut func(pool string, r relaybuf.Reason)) Option {
	return func(d *Dispatcher) { d.relay = relayBuffers{b, onCut} }
}

// hold counts bytes held for a request other than in its buffer, until release is called.
func (x *exchange) hold(n int) (release func()) {
	b := x.d.relay.budget
	if b == nil {
		return func() {}
	}
	b.AddBody(clock.Now(), n)
	return func() { b.AddBody(clock.Now(), -n) }
}

// startBuffer makes the rest of the answer pass through a buffer if the pool is interactive, and
// reports whether it does. The context is that of an attempt; once ended is closed, nothing waits for
// room in the buffer.
func (x *exchange) startBuffer(ctx context.Context, ended <-chan struct{}) bool {
	x.bufferedSince = clock.Now()
	if x.buffer != nil {
		return true
	}
	if x.d.relay.budget == nil || !x.interactive() {
		return false
	}
	caller := relaybuf.Caller{Write: x.answer.Write, Interrupt: func() {}, Extend: func() {}, Left: x.left}
	if x.caller != nil {
		caller.Unread = x.caller.Unread
	}
	if i, ok := x.answer.(Interrupter); ok {
		caller.Interrupt, caller.Extend = i.Interrupt, i.Extend
	}
	x.buffer = relaybuf.New(x.d.relay.budget, caller, ended, relaybuf.Hooks{Failed: func(err error) { x.end(causeOf(err)) }, Waited: x.recordWait})
	return true
}

// closeBuffer releases the buffer, if there is one, also when relaying has panicked.
func (x *exchange) closeBuffer() {
	if x.buffer != nil {
		x.buffer.Close()
	}
}

// recordWait records that the engine was not read until now, so that the time without data does not
// count as a pause of the engine.
func (x *exchange) recordWait() {
	now := clock.Now()
	x.lastByteAt = now
	x.readAgainAt.Store(&now)
	x.call.NotRead(now)
}

// causeOf returns the cause with which a request ends whose answer cannot be delivered.
func causeOf(err error) error {
	if cut := (*relaybuf.CutError)(nil); errors.As(err, &cut) {
		return errCallerTooSlow
	}
	return context.Canceled
}

// write writes a piece of the answer, through the buffer if there is one.
func (x *exchange) write(p []byte) error {
	if x.buffer == nil {
		return x.answer.Write(p)
	}
	x.writing.Store(true)
	defer x.writing.Store(false)
	return x.buffer.Write(p)
}

// deliver waits until the caller has got all that is buffered of its answer. An answer that is
// complete at this node is delivered for as long as its caller reads, also after its deadline.
func (x *exchange) deliver(ctx context.Context) {
	if x.buffer == nil {
		return
	}
	err := x.buffer.Close()
	cut := (*relaybuf.CutError)(nil)
	switch {
	case errors.As(err, &cut):
		x.answer.Abort()
		if x.refusal.Reason != CallerTooSlow && !x.endedByStop(ctx) { // Otherwise it is counted already, or the stop is.
			x.d.relay.onCut(x.pool, cut.Reason)
		}
		x.refusal = Refusal{Reason: CallerTooSlow}
	case err != nil:
		x.answer.Abort()
		if x.refusal.Reason == "" {
			x.refusal = Refusal{Reason: CallerLeft}
		}
	}
	x.logLag(clock.Now(), cut)
}

// logLag logs that the engine was not read for some time, or that the caller was cut off; cut is nil
// if it was not.
func (x *exchange) logLag(now time.Time, cut *relaybuf.CutError) {
	peak, paused := x.buffer.Lag(now)
	if paused == 0 && cut == nil {
		return
	}
	reason := relaybuf.Reason("")
	if cut != nil {
		reason = cut.Reason
	}
	x.d.log.Info("caller reads slowly", "request", x.req.ID, "route", x.route.Name, "team", x.teamName(), "pool", x.pool,
		"buffered_bytes", peak, "paused_ms", paused.Milliseconds(), "cut_off", reason)
}

// gaveUp reports whether an engine whose connection failed may have given up, because its answer was
// not read for so long just before. The failure is then the caller's. Earlier and shorter pauses do not
// count: the engine went on after them.
func (x *exchange) gaveUp(now time.Time) bool {
	return x.buffer != nil && x.buffer.LastPause(now, x.bufferedSince) >= enginePatience
}

// refuseBodyError ends a request whose engine failed in the middle of its answer.
func (x *exchange) refuseBodyError(now time.Time) {
	reason := x.unlessTimedOut(now, EngineFailed)
	if reason == EngineFailed && x.gaveUp(now) {
		reason = CallerTooSlow
		x.d.relay.onCut(x.pool, relaybuf.EngineGaveUp)
	}
	x.refuse(Refusal{Reason: reason})
}
