package dispatch

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/admission"
	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/overload"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/reach"
	"github.com/croftturn/croftturn/internal/relaybuf"
	"github.com/croftturn/croftturn/internal/routing"
)

const (
	// maxUnreachable is how many engines may be tried that cannot be connected to; these tries do
	// not count as sent.
	maxUnreachable = 3
)

// exchange is the state of one request while it is served.
type exchange struct {
	d        *Dispatcher
	req      *Request
	route    *routing.Route
	team     *routing.Team
	answer   AnswerWriter
	caller   *caller.Conn     // caller is the connection to the caller; nil if it is not known
	buffer   *relaybuf.Buffer // buffer holds what the caller has not read; nil if the answer is not buffered
	arrived  time.Time
	whole    time.Time // whole is when this node had read the whole request
	deadline time.Time
	pool     string
	reach    *reach.Pool // reach is the connectivity to the pool's engines; nil if it is not monitored

	left  <-chan struct{}         // left is closed when the caller leaves
	ended <-chan struct{}         // ended is closed when the request ends, at the latest at its deadline
	end   context.CancelCauseFunc // end ends the request

	bufferedSince time.Time                 // bufferedSince is since when the answer of the current engine passes through the buffer
	writing       atomic.Bool               // writing is set while a piece of the answer is written to the buffer, which may wait
	readAgainAt   atomic.Pointer[time.Time] // readAgainAt is when the engine was last read again after a wait; nil if it was read all the time

	fingerprint quarantine.Fingerprint
	trial       bool      // trial is set if the next attempt is the trial of a request held in the quarantine
	partTrial   time.Time // partTrial is when the request became the trial of held parts of its prompt; zero if it is none

	running       *quarantine.Run // running is the run at the current engine; nil if there is none
	crashedEngine bool            // crashedEngine is set once an engine has crashed under the request
	tried         map[string]bool // tried holds the engines that were tried
	sent          int             // sent counts the engines that the request was sent to
	unreachable   int             // unreachable counts the engines that could not be connected to
	lastEventID   string
	origin        origin            // origin is the software version that a resumable stream is bound to
	retryReserved atomic.Bool       // retryReserved is set if a retry was taken from the budget and not used yet
	unpaid        bool              // unpaid is set if the next attempt is a retry that no node has taken from its budget
	mayHaveRun    bool              // mayHaveRun is set if an engine got the request and did not report that it did not run it
	topTier       bool              // topTier is set if the request is of the highest tier that its pool serves
	standing      overload.Standing // standing is what the request may claim in an interactive pool
	secondChoice  bool              // secondChoice is set if the engine was chosen by the expected wait alone
	waitLimit     time.Duration     // waitLimit is the longest expected wait at which an interactive pool serves the request
	shedShare     float64           // shedShare is the share of requests of its tier refused on arrival because tiers above lack slots
	headReceived  bool              // headReceived is set once the current engine has sent the head of its answer
	answerBegun   bool              // answerBegun is set once the answer to the caller has begun
	continues     bool              // continues is set if the current engine got the request to take up an answer
	byEstimate    bool              // byEstimate is set if the deadline of the current attempt is after the end of the stop, and recent runs were shorter
	everSent      atomic.Bool       // everSent is set once the request was handed over for sending, to an engine or another node
	sentAt        time.Time         // sentAt is when the request was last handed over for sending
	written       writeRecord       // written tells when the request was last written
	choice        placement.Choice
	call          *placement.Call
	beside        *beside        // beside are the attempts beside the current one; nil if there can be none
	siblings      sync.WaitGroup // siblings counts those that have not returned
	refusal       Refusal
	via           string      // via is the node that the request was last forwarded to; empty if this node sent it
	forwardFailed bool        // forwardFailed is set if no other node took the request
	unsentByStop  bool        // unsentByStop is set if the request was not sent, or not again, because this node stops
	cutLogged     bool        // cutLogged is set once the log tells that the stop has ended the request
	writesEnded   atomic.Bool // writesEnded is set if the stop has ended what is written to the caller
	counted       bool        // counted is set if the request was counted for the budget of retries
	status        int
	unframed      bool          // unframed is set if the latest answer ends with its connection
	engineLimit   float64       // engineLimit is the rate limit in the latest answer, in requests per second; -1 for none
	sendBefore    time.Time     // sendBefore is until when the request may be sent to the current engine; zero unless the engine leaves
	leavingFor    time.Duration // leavingFor is how long before the end of its use the current engine, which leaves, got the request; 0 for others
	events        int           // events counts the pieces received from the current engine
	firstEventAt  time.Time     // firstEventAt is when the first of them was received
	slowdown      float64       // slowdown is that of the engine in the latest answer; 0 if it did not say
	linkWait      time.Duration // linkWait is how long the latest attempt waited for the link
	linkQueue     time.Duration // linkQueue is how long the link took for what was queued in it before
	queuedFor     time.Duration // queuedFor is how long the request waited at this node for a slot
	permitWait    time.Duration // permitWait is how long it waited for permits
	capacityDelay time.Duration // capacityDelay is how long after a refusal an engine accepts requests again; 0 if unknown
	firstByte     time.Duration
	lastByteAt    time.Time     // lastByteAt is when bytes were last received from the engine
	maxGap        time.Duration // maxGap is the longest time between two pieces of the answer
}

// run tries engines until one has answered or no other should be tried.
func (x *exchange) run(ctx context.Context) {
	if refusal := x.findOrigin(ctx); refusal != nil {
		x.refuse(*refusal)
		return
	}
	defer x.siblings.Wait()
	defer func() { x.beside.end() }()
	for {
		again := x.attempt(ctx)
		if !again {
			return
		}
	}
}

// attempt sends the request to one engine and reports whether another should be tried.
func (x *exchange) attempt(ctx context.Context) (again bool) {
	if cutOff(ctx) {
		x.refuse(*x.refuseStopping())
		return false
	}
	if !clock.Now().Before(x.deadline) {
		x.refuseExpired()
		return false
	}
	if !x.beside.none() {
		return x.awaitBeside(ctx)
	}
	if refusal := x.awaitLink(ctx); refusal != nil {
		x.refuse(x.unlessStopping(ctx, clock.Now(), *refusal))
		return false
	}
	if x.mustForward() {
		if handled, again := x.forward(ctx); handled {
			return again
		}
	}
	now, resumes := clock.Now(), x.d.exchanges.resumes.Load()
	if x.unreachable >= maxUnreachable {
		x.refuse(Refusal{Reason: x.unlessMayHaveRun(NoEngine), RetryAfter: shortRetryAfter})
		return false
	}
	request := x.placementRequest()
	if refusal := x.selectEngine(ctx, now, request); refusal != nil {
		if x.mustForward() {
			return true // The engines became unreachable while the request waited.
		}
		x.refuse(x.unlessStopping(ctx, clock.Now(), *refusal))
		return false
	}
	if refusal := x.acquirePermit(ctx, request); refusal != nil {
		x.refuse(x.unlessStopping(ctx, clock.Now(), *refusal))
		return false
	}
	now = clock.Now()
	if x.d.exchanges.resumes.Load() != resumes {
		return true // A decision made before a suspension is made again.
	}
	if refusal := x.recheckSending(now); refusal != nil {
		x.refuse(*refusal)
		return false
	}
	until, ok := x.d.placement.MaySend(now, x.choice, request)
	if !ok {
		return true // The engine left, or is about to, since it was chosen.
	}
	if !x.payRetry(now) {
		x.refuse(Refusal{Reason: x.unlessMayHaveRun(NoEngine), RetryAfter: shortRetryAfter})
		return false
	}
	x.noteLeaving(now, until)
	x.trial, x.headReceived, x.unframed = false, false, false
	x.tried[x.choice.Engine.ID] = true
	x.everSent.Store(true)
	x.sentAt, x.bufferedSince, x.continues = now, now, x.lastEventID != ""
	x.written.clear()
	x.via = ""
	x.call = x.d.placement.Start(now, x.choice, request)
	if !x.call.HasTransfer() {
		x.choice.TransferFrom, x.choice.TransferTokens = "", 0 // The source is gone since the choice.
	}
	x.noteContinuation("sent")
	x.beginRun(now)
	defer x.endRun()
	defer x.endTrial() // Its end has shown what the parts do; another attempt is decided on anew.
	return x.send(ctx, now)
}

// selectEngine selects the engine for the next attempt, or returns a refusal.
func (x *exchange) selectEngine(ctx context.Context, now time.Time, request placement.Request) *Refusal {
	if refusal := x.stillAllowed(now); refusal != nil {
		return refusal
	}
	if refusal := x.refuseHeld(now); refusal != nil {
		return refusal
	}
	choice, ok := x.pickEngine(now, request)
	if !ok {
		return x.refuseNoEngine(now, choice)
	}
	x.choice = choice
	if x.sent > 0 || x.unreachable > 0 {
		if choice.Full {
			return &Refusal{Reason: x.unlessMayHaveRun(EnginesFull), RetryAfter: fullRetryAfter}
		}
		return nil
	}
	if refusal := x.awaitSlot(ctx, now, request); refusal != nil {
		return refusal
	}
	if !x.counted {
		x.counted = true
		x.d.budget.Request(clock.Now(), x.pool)
	}
	return nil
}

// send sends the request to the chosen engine and reports whether another should be tried.
func (x *exchange) send(whole context.Context, now time.Time) (again bool) {
	ctx, cancel := context.WithCancelCause(whole)
	defer cancel(nil)
	x.watchRestart(ctx, cancel, x.call)
	watch, silence := x.watchFirstByte(whole, cancel), x.watchSilence(now)
	resp, err := x.d.sender.Send(ctx, x.req, x.attemptFor(x.choice))
	watch.Stop()
	silence.Stop()
	if s := x.countBeside(answers(resp, err)); s != nil && (answers(resp, err) || errors.Is(context.Cause(ctx), errAnsweredBeside)) {
		x.loseTo(s, resp, err)
		return x.adopt(s)
	}
	if err != nil {
		return x.handleSendError(ctx, err)
	}
	defer resp.Body.Close()
	x.sent++
	return x.handleResponse(ctx, cancel, resp)
}

// stillAllowed checks before each attempt that the configuration is proven and still contains the
// key, which may have been revoked since the request arrived.
func (x *exchange) stillAllowed(now time.Time) *Refusal {
	if x.team == nil {
		return nil
	}
	if !x.d.proof.Fresh(now) {
		return &Refusal{Reason: x.unlessMayHaveRun(Stale), RetryAfter: x.d.proofRetryAfter(now)}
	}
	if !x.keyValid() {
		return &Refusal{Reason: x.unlessMayHaveRun(UnknownKey)}
	}
	return nil
}

// recheckSending checks again what may have changed while the request waited for a slot: its key may have been
// revoked, the request may have become held, and it may no longer fit before the node stops.
func (x *exchange) recheckSending(now time.Time) *Refusal {
	if refusal := x.stillAllowed(now); refusal != nil {
		return refusal
	}
	if x.mustLeave(now) {
		return x.refuseResend(now)
	}
	x.byEstimate = x.route.Kind == routing.Safe && !x.d.endsBeforeStop(x.deadline)
	return x.refuseHeld(now)
}

// keyValid reports whether the key of the request still belongs to its team.
func (x *exchange) keyValid() bool {
	team := x.d.Table().Team(x.req.Key)
	return team != nil && team.Name == x.team.Name
}

// unlessMayHaveRun returns the reason, or EngineFailed if the request may have run.
func (x *exchange) unlessMayHaveRun(r Reason) Reason {
	if x.mayHaveRun {
		return EngineFailed
	}
	return r
}

// refuseNoEngine returns the refusal of a request for which placement found no engine. If engines
// accept requests again after a time, the caller should retry after it.
func (x *exchange) refuseNoEngine(now time.Time, none placement.Choice) *Refusal {
	if gone := x.refuseGone(now); gone != nil {
		return gone
	}
	reason := x.noEngineReason()
	left := none.AvailableAt.Sub(now)
	if left <= 0 {
		return &Refusal{Reason: reason, RetryAfter: shortRetryAfter}
	}
	x.capacityDelay = left
	if reason == NoEngine {
		reason = EnginesFull
	}
	return &Refusal{Reason: reason, RetryAfter: x.retryAfterAtLeast(left)}
}

// noEngineReason returns why no engine is left.
func (x *exchange) noEngineReason() Reason {
	if x.refusal.Reason != "" {
		return x.unlessMayHaveRun(x.refusal.Reason) // It may be of an engine before the last one.
	}
	return x.unlessMayHaveRun(NoEngine)
}

// placementRequest returns the input of placement.
func (x *exchange) placementRequest() placement.Request {
	r := placement.Request{Pool: x.pool, Prompt: x.req.Prompt, Avoid: x.tried, LowestTier: x.route.Tier >= x.d.Table().LowestTier(x.pool)}
	regions, everywhere := routing.Regions(x.route, x.team)
	r.Regions, r.RegionBound = regions, !everywhere
	x.restrictVersion(&r)
	r.Reserved = x.d.queues.reservedVersions(x.pool, x.tier())
	r.Recoverable, r.Deadline = x.mayTryNext(), x.deadline
	pool := x.d.Table().Pool(x.pool)
	if x.route.Kind == routing.Stream && pool != nil && pool.Model != nil {
		r.MaxGap, r.TokensPerEvent = x.route.MaxGap, pool.Model.TokensPerEvent
		r.Events = x.req.ExpectedTokens / max(1, pool.Model.TokensPerEvent)
	}
	if r.Interactive = x.interactive(); r.Interactive {
		r.TransferRate, r.Target = pool.Model.TransferRate(), x.route.Target
	}
	return r
}

// tier returns the tier that decides whether the request is admitted: the higher one of its team
// and its route, so that neither is refused in favor of requests below the other.
func (x *exchange) tier() int { return max(0, min(routing.Tier(x.route, x.team), x.route.Tier)) }

// admit asks admission control whether the request can be served on time.
func (x *exchange) admit(now time.Time, c placement.Choice) (retryAfter time.Duration, ok bool) {
	wait := time.Duration(c.Wait * float64(time.Millisecond))
	q := x.d.queues.of(now, x.pool)
	r := admission.Request{
		Tier: x.tier(), Target: x.route.Target, Timeout: x.route.Timeout, Remaining: x.deadline.Sub(now), Wait: wait,
		Pressure: q.pressure.Observe(now, wait, x.route.Target),
	}
	if limit, bounded := r.Limit(); bounded {
		r.LimitCap = q.admissionLimit(routing.Urgency(x.route, x.team), limit)
	}
	return admission.Decide(r)
}

// attemptFor returns what is sent to an engine.
func (x *exchange) attemptFor(c placement.Choice) Attempt {
	return Attempt{Engine: c.Engine, SendBefore: x.sendBefore, Team: x.teamName(), TransferFrom: c.TransferFrom, Urgency: x.urgencyAt(c), Deadline: x.deadline, LastEventID: x.lastEventID, Hooks: x.hooks(x.mayWriteTo(c)),
		OpenOnly: x.mayForward() && x.reach.Unconnectable()}
}

// urgencyAt returns the urgency of the request at a chosen engine. If slots are scarce, all
// requests have the lowest urgency of their pool: an engine without free slots preempts running
// requests for more urgent ones, which delays the streams of the preempted and repeats their
// prefill. Which request gets a slot has been decided by this node.
func (x *exchange) urgencyAt(c placement.Choice) int {
	if c.SlotsScarce {
		return x.d.Table().LastUrgency(x.pool)
	}
	return routing.Urgency(x.route, x.team)
}

// teamName returns the name of the caller's team, or an empty string if the route needs no key.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// handleSendError handles an engine that gave no answer.
func (x *exchange) handleSendError(ctx context.Context, err error) (again bool) {
	now := clock.Now()
	if x.callerLeft(ctx) {
		x.abortAnswer(now)
		return false
	}
	if cutOff(ctx) {
		x.endCutOff(!errors.Is(err, ErrNotSent))
		return false
	}
	if errors.Is(err, ErrExpired) {
		x.handleExpired(now, err)
		return false
	}
	if errors.Is(err, ErrTooLate) {
		x.call.End(now, placement.Aborted)
		x.d.placement.DrainIncarnation(x.choice.Engine)
		return true
	}
	if errors.Is(err, ErrNoConnection) {
		x.call.End(now, placement.Aborted)
		return x.tryNextUnsent(now)
	}
	x.call.End(now, placement.Failed)
	if !errors.Is(err, ErrMismatchedResponse) {
		x.noteConnectionLost(ctx, now)
	}
	if errors.Is(err, syscall.ECONNREFUSED) && (x.reach == nil || !x.reach.Unreachable() && !x.reach.Unconnectable()) {
		x.call.EngineDown(now)
	}
	x.leftEarly(ctx, errors.Is(err, ErrNotSent))
	if !errors.Is(err, ErrMismatchedResponse) {
		x.noteLinkFailure(ctx, now, !errors.Is(err, ErrNotSent))
	}
	if errors.Is(err, ErrNotSent) {
		x.d.log.Warn("engine unreachable", "request", x.req.ID, "engine", x.choice.Engine.ID, "error", err.Error(), "tries", x.unreachable+1)
		return x.tryNextUnsent(now)
	}
	x.sent++
	x.mayHaveRun = true
	x.recordFailure(ctx, now, err)
	if x.retry(now, err) {
		return true
	}
	x.refuse(Refusal{Reason: x.unlessTimedOut(now, EngineFailed)})
	return false
}

// tryNextUnsent counts an engine that the request could not be sent to, and reports whether it goes to
// another one or by way of another node.
func (x *exchange) tryNextUnsent(now time.Time) (again bool) {
	x.unreachable++
	if now.Before(x.deadline) && (!x.beside.none() || x.unreachable < maxUnreachable || x.mustForward()) {
		return true
	}
	x.refuse(Refusal{Reason: x.unlessMayHaveRun(NoEngine), RetryAfter: shortRetryAfter})
	return false
}

// unlessTimedOut returns the reason, or TimedOut if the deadline has passed.
func (x *exchange) unlessTimedOut(now time.Time, r Reason) Reason {
	if !now.Before(x.deadline) {
		return TimedOut
	}
	return r
}

// refuse sends the caller its final answer if no engine did. An answer that has begun can only be
// aborted.
func (x *exchange) refuse(r Refusal) {
	x.refusal = r
	x.noteContinuation(string(r.Reason))
	if x.answerBegun {
		x.answer.Abort()
		return
	}
	x.answer.Refuse(r)
}

// recordBytes records that a piece of the answer was received.
func (x *exchange) recordBytes(now time.Time) {
	if !x.lastByteAt.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(x.lastByteAt))
	}
	x.lastByteAt = now
	if x.events++; x.events == 1 {
		x.firstEventAt = now
	}
	x.call.Received(now)
	if x.via == "" {
		x.noteHeard(now)
	}
}

// recordEnd records how the request ended.
func (x *exchange) recordEnd(now time.Time) {
	outcome := x.outcome()
	if x.refusal.Reason != "" && x.mayHaveRun && x.via == "" {
		x.d.runs.addPart(now, x.route.Name, now.Sub(x.sentAt))
	}
	x.overloadLog().Info("request ended", "request", x.req.ID, "route", x.route.Name, "team", x.teamName(), "urgency", routing.Urgency(x.route, x.team), "pool", x.pool,
		"outcome", outcome, "via", x.via, "forwarded_by", x.forwardedBy(), "status", x.status, "unframed", x.unframed, "engine", x.choice.Engine.ID, "engine_version", x.choice.Engine.Version, "sent", x.sent, "unsent", x.unreachable,
		"cost_ms", int(x.choice.Cost), "wait_ms", int(x.choice.Wait), "held_ms", x.queuedFor.Milliseconds(), "give_way", math.Round(100*x.shedShare)/100, "prompt_tokens", x.req.Prompt.Tokens, "session", x.req.Prompt.Session(), "unread_tokens", x.choice.PrefillTokens,
		"ahead_tokens", x.choice.QueuedTokens, "read_rate", math.Round(10*x.choice.PrefillRate)/10, "tight", x.choice.GapSensitive, "slowdown", math.Round(100*x.slowdown)/100, "leaving_ms", x.leavingFor.Milliseconds(), "transfer_tokens", x.choice.TransferTokens, "transfer_from", x.choice.TransferFrom,
		"first_ms", x.firstByte.Milliseconds(), "gap_ms", x.maxGap.Milliseconds(), "total_ms", now.Sub(x.arrived).Milliseconds(), "patience_ms", x.deadline.Sub(x.arrived).Milliseconds(),
		"link_ms", x.linkWait.Milliseconds(), "link_queue_ms", x.linkQueue.Milliseconds(), "unread_ms", x.req.Unread.Milliseconds(), "decided_ms", x.sinceArrival(x.sentAt), "written_ms", x.sinceArrival(x.written.time()), "write_ms", x.written.longest().Milliseconds(),
		"unacked_bytes", x.written.queue().Unacked, "unsent_bytes", x.written.queue().Unsent, "left_read", x.readLeft(), "left_kernel", x.caller.Left(),
		"engine_limit", x.engineLimit, "permit_ms", x.permitWait.Milliseconds(), "opens_ms", x.capacityDelay.Milliseconds(), "target_ms", x.route.Target.Milliseconds(), "longest_gap_ms", x.route.MaxGap.Milliseconds(),
		"come_back_ms", x.refusal.RetryAfter.Milliseconds(), "config_version", x.d.Version(), "proof_age_ms", x.d.proof.AgeMs(now))
	x.d.observer.Ended(x.route.Name, outcome, x.firstByte, now.Sub(x.arrived))
}

// outcome returns the outcome of the request for the log and the metrics.
func (x *exchange) outcome() string {
	if x.refusal.Reason != "" {
		return string(x.refusal.Reason)
	}
	return "answered"
}
