package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
	"github.com/croftturn/croftturn/internal/sse"
)

const (
	// wholeBytes is the longest plain answer that is read whole before it is
	// passed on, so that a failure of its engine can still be told by a status.
	wholeBytes = 256 << 10

	// copyBytes is the size of the buffer that answers are copied through.
	copyBytes = 4 << 10

	// fullReturn is when a caller should come back whose engines were full: about
	// the time in which one of their requests ends.
	fullReturn = 200 * time.Millisecond

	// stalled is how long a stream that may go on elsewhere waits for an event.
	stalled = time.Second
)

// answered decides what follows on an engine's answer.
func (w *walk) answered(ctx context.Context, cancel context.CancelCauseFunc, resp *Response) (again bool) {
	now := clock.Now()
	w.noteHead(now, resp)
	switch {
	case resp.Replaced:
		w.call.End(now, placement.Rejected)
		w.d.placement.Remove(w.choice.Engine.ID)
		return w.turned(now, errors.New("another engine has the address"))
	case resp.NotRun:
		w.call.End(now, turnedAs(resp))
		return w.turned(now, fmt.Errorf("engine turned the request away with status %d", resp.Status))
	case resp.Status >= http.StatusInternalServerError:
		w.mayHaveRun = true
		w.call.End(now, placement.Failed)
		if w.retry(now, fmt.Errorf("engine answered with status %d", resp.Status)) {
			return true
		}
	}
	success := resp.Status < http.StatusMultipleChoices
	if w.begun && !success {
		w.call.End(now, placement.Failed)
		w.refuse(Refusal{Reason: Broken}) // The caller has the head of another engine's answer.
		return false
	}
	if w.first == 0 {
		w.first = now.Sub(w.arrived)
	}
	if w.route.Kind == routing.Stream && success {
		return w.relayStream(ctx, cancel, resp)
	}
	return w.relayPlain(ctx, resp)
}

// noteHead records what the head of an engine's answer tells.
func (w *walk) noteHead(now time.Time, resp *Response) {
	w.status = resp.Status
	if !resp.Replaced {
		w.noteSaid(now, resp)
	}
	if !resp.NotRun {
		w.headed = true
		w.call.Began(now)
		w.d.observer.Began(now, w.teamName())
	}
	if !resp.NotRun && w.heard.IsZero() {
		w.heard = now
	}
	if resp.Loaded {
		w.call.Report(now, resp.Running, resp.Waiting)
	}
}

// turned decides what follows where an engine did not run the request.
func (w *walk) turned(now time.Time, cause error) (again bool) {
	w.refused = Refusal{Reason: w.orMayHaveRun(Full), ComeBack: fullReturn}
	next, ok := w.place(now, w.placementRequest())
	if ok && w.sent < w.route.MaxEngines && now.Before(w.deadline) && w.useRetry(now, cause) {
		return true
	}
	if !ok {
		w.refused = *w.withoutEngine(now, next)
	}
	w.refuse(w.refused)
	return false
}

// turnedAs returns what it tells of an engine that it turned a request away.
func turnedAs(resp *Response) placement.Outcome {
	if resp.Rest > 0 {
		return placement.Throttled
	}
	return placement.Rejected
}

// relayPlain passes on an answer that is no stream; a short one is read whole first.
func (w *walk) relayPlain(ctx context.Context, resp *Response) (again bool) {
	head := make([]byte, 0, copyBytes)
	whole, err := readUpTo(resp.Body, &head, wholeBytes)
	now := clock.Now()
	if err != nil {
		return w.failedMidway(ctx, err)
	}
	w.begin(resp)
	if werr := w.answer.Write(head); werr != nil {
		w.callerGone(now)
		return false
	}
	if !whole {
		return w.copyRest(ctx, resp)
	}
	w.finish(now)
	return false
}

// begin begins the caller's answer.
func (w *walk) begin(resp *Response) {
	if !w.begun {
		w.begun = true
		w.answer.Begin(resp)
	}
}

// finish records that the answer is whole.
func (w *walk) finish(now time.Time) {
	w.refused = Refusal{}
	w.call.End(now, placement.Answered)
	w.noteAnswer(now)
}

// callerGone records that the caller left, or could not be written to.
func (w *walk) callerGone(now time.Time) {
	w.call.End(now, placement.Aborted)
	w.refused = Refusal{Reason: CallerLeft}
	w.answer.Abort()
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

// copyRest copies a body as it comes.
func (w *walk) copyRest(ctx context.Context, resp *Response) (again bool) {
	buf := make([]byte, copyBytes)
	for {
		n, err := resp.Body.Read(buf)
		now := clock.Now()
		if n > 0 {
			w.hear(now)
			if werr := w.answer.Write(buf[:n]); werr != nil {
				w.callerGone(now)
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			w.finish(now)
			return false
		}
		if err != nil {
			return w.failedMidway(ctx, fmt.Errorf("read answer: %w", err))
		}
	}
}

// relayStream passes on a stream as it comes. One that may go on at another
// engine is passed on by whole events, so that nothing is repeated there.
func (w *walk) relayStream(ctx context.Context, cancel context.CancelCauseFunc, resp *Response) (again bool) {
	if !w.route.Resumable {
		w.begin(resp)
		return w.copyRest(ctx, resp)
	}
	stall, heard := w.watchEvents(cancel)
	defer stall.Stop()
	events := sse.NewReader(resp.Body)
	for {
		event, err := events.Next()
		now := clock.Now()
		if errors.Is(err, io.EOF) {
			w.begin(resp)
			w.finish(now)
			return false
		}
		if err != nil {
			return w.failedMidway(ctx, err)
		}
		w.hear(now)
		heard()
		w.begin(resp)
		if werr := w.answer.Write(event.Raw); werr != nil {
			w.callerGone(now)
			return false
		}
		if event.ID != "" {
			w.lastEventID = event.ID
		}
	}
}

// watchEvents gives an attempt up whose engine sends no event for too long, where the
// stream may go on elsewhere. It returns its timer, and what is to be called with each event.
func (w *walk) watchEvents(cancel context.CancelCauseFunc) (stall *time.Timer, heard func()) {
	if w.sent >= w.route.MaxEngines {
		return time.NewTimer(clock.Until(w.deadline)), func() {}
	}
	stall = time.AfterFunc(stalled, w.leaveSlow(cancel))
	return stall, func() { stall.Reset(stalled) }
}

// failedMidway decides what follows where an engine broke off within its answer.
func (w *walk) failedMidway(ctx context.Context, err error) (again bool) {
	now := clock.Now()
	if w.callerLeft(ctx) {
		w.callerGone(now)
		return false
	}
	w.mayHaveRun = true
	w.call.End(now, placement.Failed)
	w.noteEnd(ctx, now, err)
	resumable := !w.begun || w.route.Resumable
	if resumable && w.retry(now, err) {
		return true
	}
	w.d.log.Warn("answer broke off", "request", w.req.ID, "engine", w.choice.Engine.ID, "error", err.Error(), "begun", w.begun)
	w.refuse(Refusal{Reason: w.lateOr(now, Broken)})
	return false
}
