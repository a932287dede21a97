package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
	"github.com/croftturn/croftturn/internal/sse"
)

const (
	// maxBufferedAnswer is the longest non-streamed answer that is buffered completely before it is
	// relayed, so that a failure of its engine can still be reported with a status.
	maxBufferedAnswer = 256 << 10

	// copyBufferSize is the size of the buffer used to copy answers.
	copyBufferSize = 4 << 10

	// fullRetryAfter is the retry delay for callers whose engines were full: about the time in
	// which one of their requests ends.
	fullRetryAfter = 200 * time.Millisecond

	// streamStallTimeout is how long a resumable stream waits for an event, and silentGrace how much
	// longer if its engine still accepts connections: engines may fall silent for a second or so and go
	// on, and callers leave after two seconds at the earliest.
	streamStallTimeout = time.Second
	silentGrace        = 750 * time.Millisecond

	// stallRecheck is how often such a stream looks again for an engine that takes it, if there was none.
	stallRecheck = 250 * time.Millisecond
)

// errCrashedAtEnd is the failure of an engine that had crashed when an answer without a length ended.
var errCrashedAtEnd = errors.New("engine crashed as its answer ended")

// checkedBody is the body of an answer whose end is checked.
type checkedBody struct {
	*sse.WholeReader
	io.Closer
}

// unframedBody is the body of an answer that ends with its connection. It ends in an error if its engine
// has crashed by then, since the answer was most likely broken off.
type unframedBody struct {
	io.ReadCloser
	crashed func() bool
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.crashed() {
		return n, errCrashedAtEnd
	}
	return n, err
}

// handleResponse handles the response of an engine and reports whether another should be tried.
func (x *exchange) handleResponse(ctx context.Context, cancel context.CancelCauseFunc, resp *Response) (again bool) {
	now := clock.Now()
	x.recordHead(now, resp)
	switch {
	case resp.Replaced:
		x.call.End(now, placement.Rejected)
		x.d.placement.Remove(x.choice.Engine.ID)
		return x.handleRejection(now, errors.New("engine address belongs to another engine now"))
	case resp.NotRun:
		x.call.End(now, rejectionOutcome(resp))
		x.stopLeaving(resp)
		return x.handleRejection(now, fmt.Errorf("engine rejected the request with status %d", resp.Status))
	case resp.Status >= http.StatusInternalServerError:
		x.mayHaveRun = true
		x.call.End(now, placement.Failed)
		if x.retry(now, fmt.Errorf("engine answered with status %d", resp.Status)) {
			return true
		}
	}
	success := resp.Status < http.StatusMultipleChoices
	if success && resp.Unframed {
		resp.Body = unframedBody{resp.Body, func() bool { return x.engineEnded(ctx, clock.Now()) }}
	}
	if success && x.needsEndCheck(resp) {
		resp.Body = checkedBody{sse.NewWholeReader(resp.Body), resp.Body}
	}
	if success {
		resp.Body = x.watchTrial(resp.Body)
	}
	if x.answerBegun && !success {
		x.call.End(now, placement.Failed)
		x.refuse(Refusal{Reason: EngineFailed}) // The caller already has the head of the answer of another engine.
		return false
	}
	if x.firstByte == 0 {
		x.firstByte = now.Sub(x.arrived)
		x.noteFirstEvent(now, success)
	}
	if x.route.Kind == routing.Stream && success {
		return x.relayStream(ctx, cancel, resp)
	}
	return x.relayPlain(ctx, resp)
}

// needsEndCheck reports whether only the last event of an answer shows if it is complete.
func (x *exchange) needsEndCheck(resp *Response) bool {
	if !resp.Unframed {
		return false
	}
	return header.EventStream(resp.Header) || x.route.Kind == routing.Stream && resp.Header.Get("Content-Type") == ""
}

// recordHead records what the head of an answer says.
func (x *exchange) recordHead(now time.Time, resp *Response) {
	x.status, x.unframed = resp.Status, resp.Unframed
	x.noteHeard(now)
	if !resp.Reused && x.reach != nil {
		x.reach.Connected(now)
	}
	if !resp.Replaced {
		x.recordSignals(now, resp)
	}
	// The report comes first: it says how the time to this answer is to be understood.
	if x.slowdown = resp.Slowdown; resp.Slowdown > 0 {
		x.call.ReportSlowdown(now, resp.Slowdown)
	}
	if !resp.NotRun {
		x.headReceived = true
		if resp.Status >= http.StatusInternalServerError {
			x.call.BeganWithError(now)
		} else {
			x.call.Began(now)
		}
		x.d.observer.Began(now, x.teamName())
	}
	if !resp.NotRun && x.lastByteAt.IsZero() {
		x.lastByteAt = now
	}
	if resp.HasLoad {
		x.call.Report(now, resp.Running, resp.Waiting)
	}
}

// handleRejection handles an engine that did not run the request.
func (x *exchange) handleRejection(now time.Time, cause error) (again bool) {
	x.refusal = Refusal{Reason: x.unlessMayHaveRun(EnginesFull), RetryAfter: fullRetryAfter}
	if !x.beside.none() && now.Before(x.deadline) {
		return true // Another engine has it already.
	}
	next, ok := x.pickEngine(now, x.placementRequest())
	if ok && !next.Full && x.sent < x.route.MaxEngines && now.Before(x.deadline) && x.useRetry(now, cause) {
		return true
	}
	if !ok {
		x.refusal = *x.refuseNoEngine(now, next)
	}
	x.refuse(x.refusal)
	return false
}

// rejectionOutcome returns the outcome that placement records for a rejection.
func rejectionOutcome(resp *Response) placement.Outcome {
	if resp.BackOff > 0 {
		return placement.Throttled
	}
	return placement.Rejected
}

// relayPlain relays a non-streamed answer; a short one is buffered completely first.
func (x *exchange) relayPlain(ctx context.Context, resp *Response) (again bool) {
	head := make([]byte, 0, copyBufferSize)
	whole, err := readUpTo(resp.Body, &head, maxBufferedAnswer)
	now := clock.Now()
	if err != nil {
		return x.handleBodyError(ctx, err)
	}
	if !whole {
		x.d.runs.addLarge(now, runsOf(x.route, x.via != ""))
		if x.byEstimate {
			x.endCutOff(true) // The stop would break off an answer that has begun.
			return false
		}
	}
	x.beginAnswer(resp)
	ended := x.ended
	if whole {
		ended = nil // A complete answer is delivered for as long as its caller reads.
	}
	buffered := x.startBuffer(ctx, ended)
	if whole && buffered {
		x.finishAnswer(now) // The engine has ended, however slowly the caller reads.
	}
	release := x.hold(len(head))
	writeErr := x.write(head)
	release()
	switch {
	case writeErr != nil:
		x.abortAnswer(now)
		return false
	case !whole:
		return x.copyRest(ctx, resp)
	case !buffered:
		x.finishAnswer(now)
	}
	return false
}

// beginAnswer starts the answer to the caller, unless it has started.
func (x *exchange) beginAnswer(resp *Response) {
	if !x.answerBegun {
		x.answerBegun = true
		resp.Engine, resp.Pool, resp.Version, resp.Tries = x.choice.Engine.ID, x.choice.Engine.Pool, x.choice.Engine.Version, x.sent
		x.answer.Begin(resp)
	}
}

// finishAnswer records that the answer is complete.
func (x *exchange) finishAnswer(now time.Time) {
	x.refusal = Refusal{}
	x.call.End(now, placement.Answered)
	if took, runs := now.Sub(x.sentAt), runsOf(x.route, x.via != ""); x.continues || x.status >= http.StatusMultipleChoices {
		x.d.runs.addPart(now, runs, took)
	} else {
		x.d.runs.add(now, runs, sizeOf(x.req), took)
	}
	if x.via != "" {
		return // The other node has recorded the rest.
	}
	if x.route.Repeatable() {
		x.d.allowance.Answered(x.pool, now.Sub(x.sentAt))
	}
	if x.route.Kind == routing.Stream && x.interactive() {
		x.d.placement.NoteAnswer(x.choice, x.events, now.Sub(x.firstEventAt))
	}
	x.recordAnswer(now)
}

// abortAnswer aborts the answer of a caller that left, was cut off or could not be written to.
func (x *exchange) abortAnswer(now time.Time) {
	x.call.End(now, placement.Aborted)
	x.refusal = Refusal{Reason: CallerLeft}
	x.answer.Abort()
}

// readUpTo reads a body until its end or a limit, and reports whether it ended.
func readUpTo(r io.Reader, into *[]byte, limit int) (whole bool, err error) {
	for len(*into) < limit {
		if len(*into) == cap(*into) {
			*into = append(*into, 0)[:len(*into)]
		}
		n, err := r.Read((*into)[len(*into):cap(*into)])
		*into = (*into)[:len(*into)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, fmt.Errorf("read answer: %w", err)
		}
	}
	return false, nil
}

// copyRest copies the rest of a body as it arrives.
func (x *exchange) copyRest(ctx context.Context, resp *Response) (again bool) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		now := clock.Now()
		if n > 0 {
			x.recordBytes(now)
			if writeErr := x.write(buf[:n]); writeErr != nil {
				x.abortAnswer(now)
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			x.finishAnswer(now)
			return false
		}
		if err != nil {
			return x.handleBodyError(ctx, fmt.Errorf("read answer: %w", err))
		}
	}
}

// relayStream relays a stream as it arrives. A resumable stream is relayed in whole events, so that
// nothing is repeated if it resumes at another engine.
func (x *exchange) relayStream(ctx context.Context, cancel context.CancelCauseFunc, resp *Response) (again bool) {
	x.startBuffer(ctx, x.ended)
	if !x.route.Resumable {
		x.beginAnswer(resp)
		return x.copyRest(ctx, resp)
	}
	stall, onEvent := x.watchEvents(ctx, cancel)
	defer stall.Stop()
	events := sse.NewReader(resp.Body)
	for {
		event, err := events.Next()
		now := clock.Now()
		if errors.Is(err, io.EOF) {
			x.beginAnswer(resp)
			x.finishAnswer(now)
			return false
		}
		if err != nil {
			return x.handleBodyError(ctx, err)
		}
		x.recordBytes(now)
		onEvent()
		x.notePassedOn(ctx, now)
		x.beginAnswer(resp)
		if x.buffer != nil {
			stall.Stop() // While the caller lags the engine may be ahead.
		}
		if writeErr := x.write(event.Raw); writeErr != nil {
			x.abortAnswer(now)
			return false
		}
		if event.ID != "" {
			x.lastEventID = event.ID
		}
		if x.buffer != nil {
			onEvent()
		}
	}
}

// watchEvents abandons an attempt whose engine sends no event for too long, if the stream can
// resume elsewhere. It returns the timer and a function to call on each event.
func (x *exchange) watchEvents(ctx context.Context, cancel context.CancelCauseFunc) (stall *time.Timer, onEvent func()) {
	if x.via != "" || x.sent >= x.route.MaxEngines { // Another node watches its engines itself.
		return time.NewTimer(clock.Until(x.deadline)), func() {}
	}
	var events atomic.Int64
	begun := x.answerBegun
	passedOn := func() bool { return events.Load() > 0 }
	abandon, address, call := x.abandonSlow(cancel, x.canMove(passedOn)), x.choice.Engine.Address, x.call
	// Before its first event a stream may be as silent as its prompt is long, at any engine.
	works := func(now time.Time) bool {
		return call.HeardSince(now.Add(-streamStallTimeout)) || x.reach != nil && x.reach.Answers(ctx, now, address, maxAskTime)
	}
	stall = time.AfterFunc(streamStallTimeout, func() {
		now, before := clock.Now(), events.Load()
		accepts := x.reach != nil && x.reach.Accepts(ctx, address)
		if accepts {
			pause.For(ctx, silentGrace-clock.Since(now))
		}
		readUnread(ctx)
		hasPart := begun || before > 0
		mustFit := accepts || !hasPart // An engine that is gone ends no answer that has begun.
		for ctx.Err() == nil && events.Load() == before && (!hasPart && works(clock.Now()) || !abandon(mustFit, hasPart)) {
			pause.For(ctx, stallRecheck)
		}
	})
	return stall, func() {
		events.Add(1)
		stall.Reset(streamStallTimeout)
	}
}

// handleBodyError handles an engine that failed in the middle of its answer.
func (x *exchange) handleBodyError(ctx context.Context, err error) (again bool) {
	now := clock.Now()
	if x.callerLeft(ctx) {
		x.abortAnswer(now)
		return false
	}
	if cutOff(ctx) {
		x.endCutOff(true)
		return false
	}
	x.mayHaveRun = true
	x.call.End(now, x.bodyErrorOutcome(now))
	if x.via == "" && !x.gaveUp(now) {
		x.noteConnectionLost(ctx, now)
		x.noteLinkFailure(ctx, now, true)
		x.leftEarly(ctx, false)
	}
	if x.via == "" {
		x.recordFailure(ctx, now, err)
	}
	resumable := !x.answerBegun || x.route.Resumable
	if resumable && x.retry(now, err) {
		return true
	}
	x.d.log.Warn("engine failed while sending its answer", "request", x.req.ID, "engine", x.choice.Engine.ID, "error", err.Error(), "begun", x.answerBegun)
	x.refuseBodyError(now)
	return false
}

// bodyErrorOutcome returns the outcome that placement records for an engine that failed in the middle
// of its answer.
func (x *exchange) bodyErrorOutcome(now time.Time) placement.Outcome {
	if x.gaveUp(now) {
		return placement.Aborted
	}
	return placement.Failed
}
