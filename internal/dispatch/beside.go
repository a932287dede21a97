package dispatch

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// A repeatable request whose engine is silent for long may be run by another one beside it: whichever answers first is used,
// and the other is ended. The first is not ended before, since it may be about to answer, and a request that runs long would
// run as long at the other.

var (
	// errAnsweredBeside ends an attempt since another one beside it was answered.
	errAnsweredBeside = errors.New("dispatch: another engine answered first")

	// errRunsLong is the reason for another attempt beside one that runs long at an engine that responds.
	errRunsLong = errors.New("dispatch: request runs long")
)

type (
	// beside holds the attempts beside the one that the exchange itself waits for. A nil one holds none.
	beside struct {
		mu      sync.Mutex
		changed chan struct{}     // changed is signalled once an attempt has ended; it has room for one.
		open    map[*sibling]bool // open holds those that were not answered yet.
		won     *sibling          // won is the first one that was answered; nil if none was.
		last    bool              // last is set once the exchange's own attempt has failed.
		closed  bool              // closed is set once none may begin or be used any more.
		sent    map[string]bool   // sent holds the engines of those that the exchange has not counted yet.
	}

	// sibling is one attempt beside another.
	sibling struct {
		ctx    context.Context
		cancel context.CancelCauseFunc
		choice placement.Choice
		call   *placement.Call
		sentAt time.Time
		aside  time.Duration // aside is the time set aside for it in the allowance.
		resp   *Response
	}

	// slowWatch watches an attempt, and those that begin beside it, until an answer comes.
	slowWatch struct {
		x        *exchange
		b        *beside
		ctx      context.Context // ctx is that of the request; the one of the attempt may end before.
		cancel   context.CancelCauseFunc
		abandon  func(mustFit, begun bool) (decided bool)
		request  placement.Request
		template Attempt
		begun    bool // begun is set if the caller has a part of the answer.
		apart    bool // apart is set if no two engines may run the request at once.
		sent     int  // sent is how many engines had the request before the attempt.

		call   *placement.Call // call is that of the newest attempt.
		engine placement.Engine
		at     time.Time // at is when the newest attempt was sent.
	}
)

// watchFirstByte watches an attempt whose engine may send nothing for too long, if another engine may be tried. The context
// is that of the request; cancel ends the attempt.
func (x *exchange) watchFirstByte(ctx context.Context, cancel context.CancelCauseFunc) *time.Timer {
	x.beside = nil
	if !x.mayTryNext() || x.route.Target <= 0 {
		return time.NewTimer(clock.Until(x.deadline))
	}
	x.beside = &beside{changed: make(chan struct{}, 1), open: map[*sibling]bool{}, sent: map[string]bool{}}
	pool := x.d.Table().Pool(x.pool)
	w := &slowWatch{
		x: x, b: x.beside, ctx: ctx, cancel: cancel, request: x.placementRequest(), template: x.attemptFor(x.choice), begun: x.answerBegun,
		apart: x.answerBegun || x.trial || !x.partTrial.IsZero() || pool != nil && pool.Model != nil, sent: x.sent,
		call: x.call, engine: x.choice.Engine, at: x.sentAt,
	}
	w.request.Avoid = maps.Clone(x.tried)
	w.abandon = x.abandonSlow(cancel, x.canMove(func() bool { return false }))
	return time.AfterFunc(firstByteTargets*x.route.Target-w.askTime(), w.run)
}

// askTime returns how long an engine is given to answer when it is asked whether it responds.
func (w *slowWatch) askTime() time.Duration { return min(w.x.route.Target, maxAskTime) }

// lookInterval returns the time between two looks at an engine.
func (w *slowWatch) lookInterval() time.Duration {
	return max(w.x.route.Target/looksPerTarget, minLookInterval)
}

// run looks at the newest attempt until an answer has come or nothing is left to try.
func (w *slowWatch) run() {
	for !w.over() {
		now := clock.Now()
		if early := firstByteTargets*w.x.route.Target - w.askTime() - now.Sub(w.at); early > 0 {
			pause.For(w.ctx, early)
			continue
		}
		responds := w.responds(now)
		now = clock.Now()
		slow := slowRun{ran: now.Sub(w.at), left: w.x.deadline.Sub(now), target: w.x.route.Target, responds: responds, apart: w.apart}
		slow.usual = w.x.d.runs.usual(runsOf(w.x.route, false))
		switch action, after := slow.next(); action {
		case giveUp:
			return
		case waitOn:
			pause.For(w.ctx, after)
		default:
			readUnread(w.ctx)
			if w.over() || w.try(clock.Now(), action, slow) {
				return
			}
			pause.For(w.ctx, w.lookInterval())
		}
	}
}

// over reports whether nothing more is to be done for the attempt.
func (w *slowWatch) over() bool {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.closed || w.b.won != nil || w.ctx.Err() != nil
}

// responds reports whether the engine of the newest attempt has sent something to this node lately, or answers when asked.
func (w *slowWatch) responds(now time.Time) bool {
	if w.call.HeardSince(now.Add(-w.lookInterval())) {
		return true
	}
	return w.x.reach != nil && w.x.reach.Answers(w.ctx, now, w.engine.Address, w.askTime())
}

// try uses another engine and reports whether nothing more is to be done.
func (w *slowWatch) try(now time.Time, action slowAction, slow slowRun) (decided bool) {
	x := w.x
	if w.apart {
		return w.abandon(true, w.begun)
	}
	if x.d.link != nil {
		if !x.d.link.Await(w.ctx, now, x.tier(), x.sendBytes(), slow.left/linkWaitPart) || w.over() {
			return false // What waits for a full link can't be withheld once its caller has left.
		}
		now = clock.Now()
	}
	if x.team != nil && (!x.d.proof.Fresh(now) || !x.keyValid()) || !x.mayMove(now, false) || x.mayCrash(now) {
		return true // The request may not be sent to another engine.
	}
	choice, ok := x.d.pickEngine(now, w.request, x.origin.bound)
	if !ok {
		// Another node may reach the engines if this one does not.
		return action == runElse && w.b.none() && x.mayForward() && x.reach.Unreachable() && w.abandon(true, false)
	}
	if choice.Full || choice.AvailableAt.After(now) || !w.permitted(now, choice) {
		return false
	}
	aside, cause := time.Duration(0), errEngineSilent
	if action == runBeside {
		aside, cause = slow.left, errRunsLong
		if !x.d.budget.Spare(now, x.pool) || !x.d.allowance.Take(x.pool, aside) {
			return false // The retries that are left are for engines that fail.
		}
	}
	if !x.takeRetry(now, w.engine.ID, w.sent, cause) || !w.start(now, choice, aside) {
		x.d.allowance.Settle(x.pool, aside, 0)
		return true
	}
	w.sent++
	return w.sent+1 >= x.route.MaxEngines
}

// permitted reports whether a request may be sent to an engine now, as far as its limit goes.
func (w *slowWatch) permitted(now time.Time, c placement.Choice) bool {
	if !c.Limited || w.x.d.permits == nil {
		return true
	}
	permit := w.x.d.permits.Take(w.ctx, now, c.Engine.Hall, c.Engine.ID, 0)
	return permit.Issued && permit.Wait <= 0
}

// start sends the request to another engine beside the attempts under way, and reports whether it did.
func (w *slowWatch) start(now time.Time, choice placement.Choice, aside time.Duration) bool {
	x, b := w.x, w.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.won != nil || w.ctx.Err() != nil {
		return false
	}
	until, ok := x.d.placement.MaySend(now, choice, w.request)
	if !ok || !until.IsZero() {
		return false
	}
	choice.TransferFrom, choice.TransferTokens = "", 0
	s := &sibling{choice: choice, call: x.d.placement.Start(now, choice, w.request), sentAt: now, aside: aside}
	s.ctx, s.cancel = context.WithCancelCause(w.ctx)
	x.watchRestart(s.ctx, s.cancel, s.call)
	w.call, w.engine, w.at = s.call, choice.Engine, now
	w.request.Avoid[choice.Engine.ID] = true
	b.open[s], b.sent[choice.Engine.ID] = true, true
	attempt := w.template
	attempt.Engine, attempt.SendBefore, attempt.TransferFrom, attempt.Urgency = choice.Engine, time.Time{}, "", x.urgencyAt(choice)
	attempt.Hooks = x.hooks(x.mayWriteTo(choice))
	x.siblings.Go(func() {
		resp, err := x.d.sender.Send(s.ctx, x.req, attempt)
		if b.answer(s, resp, err) {
			w.cancel(errAnsweredBeside)
		} else {
			x.endSibling(s, resp, err)
			s.cancel(nil)
		}
		b.signal()
	})
	return true
}

// mayCrash reports whether engines may crash under the request, so that no other one gets it beside the first.
func (x *exchange) mayCrash(now time.Time) bool {
	d := x.d
	if d.parts != nil {
		if decision := d.parts.Admit(now, time.Time{}, x.pool, x.req.Prompt.SharedIDs()); decision.Held != nil || decision.Trial {
			return true
		}
	}
	if d.quarantine == nil {
		return false
	}
	held, trial := d.quarantine.Admit(now, x.fingerprint)
	return held != nil || trial
}

// answers reports whether an engine has run the request and answered it.
func answers(resp *Response, err error) bool {
	return err == nil && !resp.NotRun && !resp.Replaced && resp.Status < http.StatusInternalServerError
}

// answer records what an attempt has brought, and reports whether it is the answer that is used.
func (b *beside) answer(s *sibling, resp *Response, err error) (won bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, s)
	failure := b.last && len(b.open) == 0 && err == nil && !resp.NotRun && !resp.Replaced // It is passed on if there is nothing better.
	if b.closed || b.won != nil || !answers(resp, err) && !failure {
		return false
	}
	b.won, s.resp = s, resp
	return true
}

// signal tells the exchange that an attempt has ended.
func (b *beside) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// none reports whether no attempt runs or was answered, of those that may be used.
func (b *beside) none() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.won == nil && (b.closed || len(b.open) == 0)
}

// end ends all attempts but the one that was answered, if there is one.
func (b *beside) end() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for s := range b.open {
		s.cancel(errAnsweredBeside)
	}
}

// countBeside counts the engines of attempts beside the one that has ended, and returns the attempt that was answered before,
// or nil. The others end if that one is used or the one that has ended was answered; none begins any more if none runs.
func (x *exchange) countBeside(answered bool) *sibling {
	b := x.beside
	if b == nil {
		return nil
	}
	b.mu.Lock()
	x.sent += len(b.sent)
	maps.Copy(x.tried, b.sent)
	clear(b.sent)
	won := b.won
	none := won == nil && len(b.open) == 0
	b.closed = b.closed || answered && won == nil || none
	b.last = b.last || !answered
	b.mu.Unlock()
	if won != nil || answered {
		b.end()
	}
	return won
}

// endSibling records the end of an attempt whose answer is not used.
func (x *exchange) endSibling(s *sibling, resp *Response, err error) {
	now, outcome := clock.Now(), placement.Failed
	switch {
	case err != nil && context.Cause(s.ctx) != nil && !errors.Is(context.Cause(s.ctx), errEngineRestarted) || answers(resp, err) || errors.Is(err, ErrWithheld):
		outcome = placement.Aborted
	case err != nil:
		if !errors.Is(err, ErrMismatchedResponse) {
			s.call.ConnectionLost(now)
		}
	case resp.Replaced:
		outcome = placement.Rejected
		x.d.placement.Remove(s.choice.Engine.ID)
	case resp.NotRun:
		outcome = rejectionOutcome(resp)
	}
	if err == nil {
		resp.Body.Close()
	}
	s.call.End(now, outcome)
	took := now.Sub(s.sentAt)
	if errors.Is(err, ErrNotSent) {
		took = 0
	}
	x.d.allowance.Settle(x.pool, s.aside, took)
}

// loseTo records that another attempt was answered before this one, which brought what is given.
func (x *exchange) loseTo(s *sibling, resp *Response, err error) {
	now, outcome := clock.Now(), placement.Failed
	if resp != nil {
		resp.Body.Close()
		outcome = placement.Aborted
	}
	if resp != nil || s.aside > 0 || x.call.HeardSince(x.sentAt) {
		x.d.allowance.Settle(x.pool, 0, now.Sub(x.sentAt)) // Its engine works, and most likely ran the request.
	}
	if errors.Is(err, ErrNotSent) {
		x.unreachable++
	} else {
		x.sent, x.mayHaveRun = x.sent+1, true
	}
	x.call.End(now, outcome)
}

// awaitBeside waits for the attempts beside one that has failed, and reports whether another should be tried.
func (x *exchange) awaitBeside(ctx context.Context) (again bool) {
	for {
		if s := x.countBeside(false); s != nil {
			return x.adopt(s)
		}
		if x.beside.none() {
			break
		}
		select {
		case <-x.beside.changed:
			continue
		case <-ctx.Done():
		}
		now := clock.Now()
		switch {
		case x.callerLeft(ctx):
			x.abortAnswer(now)
		case cutOff(ctx):
			x.endCutOff(true)
		default:
			x.refuse(Refusal{Reason: x.unlessTimedOut(now, EngineFailed)})
		}
		return false
	}
	x.mayHaveRun = true
	now := clock.Now()
	if x.retry(now, errEngineSilent) {
		return true
	}
	x.refuse(Refusal{Reason: x.unlessTimedOut(now, EngineFailed)})
	return false
}

// adopt makes an attempt that was answered the one of the exchange, and handles its answer.
func (x *exchange) adopt(s *sibling) (again bool) {
	x.beside.mu.Lock()
	x.beside.won = nil
	x.beside.mu.Unlock()
	x.d.allowance.Settle(x.pool, s.aside, 0)
	x.choice, x.call, x.sentAt, x.bufferedSince = s.choice, s.call, s.sentAt, s.sentAt
	x.beginRun(s.sentAt)
	x.noteLeaving(s.sentAt, time.Time{})
	x.headReceived, x.unframed = false, false
	x.byEstimate = x.route.Kind == routing.Safe && !x.d.endsBeforeStop(x.deadline)
	defer s.cancel(nil)
	defer s.resp.Body.Close()
	return x.handleResponse(s.ctx, s.cancel, s.resp)
}
