package dispatch

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/admission"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/routing"
)

const (
	// maxUnsent is how many engines may be tried that can't be connected to; such
	// tries are no sendings.
	maxUnsent = 3
)

// walk is one request on its way.
type walk struct {
	d        *Dispatcher
	req      *Request
	route    *routing.Route
	team     *routing.Team
	answer   Answer
	arrived  time.Time
	deadline time.Time
	pool     string

	fingerprint quarantine.Fingerprint
	trial       bool // trial says that the next sending is the trial of a request that is held.

	avoid       map[string]bool // avoid holds the engines that were tried
	sent        int             // sent counts the engines that the request was sent to
	unsent      int             // unsent counts the engines that could not be connected to
	lastEventID string
	reserved    atomic.Bool // reserved says that a retry was taken from the budget and not used yet
	mayHaveRun  bool        // mayHaveRun says that an engine which got the request did not say that it did not run it
	highest     bool        // highest says that the request is of the highest tier that its pool serves
	giveWay     float64     // giveWay is the share of its tier's requests that got nothing for the sake of higher ones when it came
	headed      bool        // headed says that the head of the present engine's answer came
	begun       bool        // begun says that the caller's answer has begun
	sentAt      time.Time   // sentAt is when the request was last sent
	choice      placement.Choice
	call        *placement.Call
	refused     Refusal
	status      int
	limit       float64       // limit is the limit that the newest answer named, in requests a second; -1 for none
	held        time.Duration // held is how long the request waited at this node for a place at an engine
	permitWait  time.Duration // permitWait is how long it waited for permits
	opens       time.Duration // opens is how long it was, when it was refused, until an engine takes something again; 0 where that is not known
	first       time.Duration
	heard       time.Time     // heard is when bytes last came from the engine
	gap         time.Duration // gap is the longest time between two pieces of the answer
}

// run tries engines until one has answered, or there is no use in another.
func (w *walk) run(ctx context.Context) {
	for {
		again := w.attempt(ctx)
		if !again {
			return
		}
	}
}

// attempt sends the request to one engine and reports whether another should be tried.
func (w *walk) attempt(ctx context.Context) (again bool) {
	now, returns := clock.Now(), w.d.present.returns.Load()
	request := w.placementRequest()
	if refusal := w.choose(ctx, now, request); refusal != nil {
		w.refuse(*refusal)
		return false
	}
	if refusal := w.takePermit(ctx, request); refusal != nil {
		w.refuse(*refusal)
		return false
	}
	now = clock.Now()
	if w.d.present.returns.Load() != returns {
		return true // What was decided before an absence is decided again.
	}
	if refusal := w.refuseHeld(now); refusal != nil { // It may have waited for a place meanwhile.
		w.refuse(*refusal)
		return false
	}
	w.trial, w.headed = false, false
	w.avoid[w.choice.Engine.ID] = true
	w.sentAt = now
	w.call = w.d.placement.Start(now, w.choice, request)
	return w.send(ctx, now)
}

// choose chooses the engine of the next attempt, or returns why there is none.
func (w *walk) choose(ctx context.Context, now time.Time, request placement.Request) *Refusal {
	if refusal := w.stillAllowed(now); refusal != nil {
		return refusal
	}
	if refusal := w.refuseHeld(now); refusal != nil {
		return refusal
	}
	choice, ok := w.place(now, request)
	if !ok {
		return w.withoutEngine(now, choice)
	}
	w.choice = choice
	if w.sent > 0 || w.unsent > 0 {
		return nil
	}
	if refusal := w.awaitPlace(ctx, now, request); refusal != nil {
		return refusal
	}
	w.d.budget.Request(clock.Now(), w.pool)
	return nil
}

// send sends the request to the chosen engine and reports whether another should be tried.
func (w *walk) send(ctx context.Context, now time.Time) (again bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.watchRestart(cancel)
	watch := w.watchFirst(cancel)
	resp, err := w.d.sender.Send(ctx, w.req, w.attemptFor(now, w.choice.Engine))
	watch.Stop()
	if err != nil {
		return w.failed(ctx, err)
	}
	defer resp.Body.Close()
	w.sent++
	return w.answered(ctx, cancel, resp)
}

// stillAllowed checks before each sending that the configuration is proven and
// still holds the key: it may have been taken away since the request came.
func (w *walk) stillAllowed(now time.Time) *Refusal {
	if w.team == nil {
		return nil
	}
	if !w.d.proof.Fresh(now) {
		return &Refusal{Reason: w.orMayHaveRun(Stale), ComeBack: shortReturn}
	}
	if team := w.d.Table().Team(w.req.Key); team == nil || team.Name != w.team.Name {
		return &Refusal{Reason: w.orMayHaveRun(UnknownKey)}
	}
	return nil
}

// orMayHaveRun returns the reason, or Broken where the request may have run.
func (w *walk) orMayHaveRun(r Reason) Reason {
	if w.mayHaveRun {
		return Broken
	}
	return r
}

// withoutEngine returns the refusal of a request for which there is no engine now, by what placement returned: where some are
// there that take nothing for a time, its caller should come back after it.
func (w *walk) withoutEngine(now time.Time, none placement.Choice) *Refusal {
	reason := w.without()
	left := none.AvailableAt.Sub(now)
	if left <= 0 {
		return &Refusal{Reason: reason, ComeBack: shortReturn}
	}
	w.opens = left
	if reason == NoEngine {
		reason = Full
	}
	return &Refusal{Reason: reason, ComeBack: w.comeBackAfter(left)}
}

// without says why no engine is left.
func (w *walk) without() Reason {
	if w.refused.Reason != "" {
		return w.refused.Reason
	}
	return w.orMayHaveRun(NoEngine)
}

// placementRequest returns what placement weighs.
func (w *walk) placementRequest() placement.Request {
	r := placement.Request{Pool: w.pool, Prompt: w.req.Prompt, Avoid: w.avoid, LowestTier: w.route.Tier >= w.d.Table().LowestTier(w.pool)}
	regions, everywhere := routing.Regions(w.route, w.team)
	r.Regions, r.RegionBound = regions, !everywhere
	pool := w.d.Table().Pool(w.pool)
	if w.route.Kind == routing.Stream && pool != nil && pool.Model != nil {
		r.MaxGap, r.TokensPerEvent = w.route.MaxGap, pool.Model.TokensPerEvent
		r.Events = w.req.ExpectedTokens / max(1, pool.Model.TokensPerEvent)
	}
	return r
}

// tier returns the tier by which the request is taken or refused: the higher one of its
// team and its route, so that neither is refused in favour of what is below the other.
func (w *walk) tier() int { return max(0, min(routing.Tier(w.route, w.team), w.route.Tier)) }

// admit asks admission whether the request can be served on time.
func (w *walk) admit(now time.Time, c placement.Choice) (comeBack time.Duration, ok bool) {
	wait := time.Duration(c.Wait * float64(time.Millisecond))
	l := w.d.lines.of(now, w.pool)
	r := admission.Request{
		Tier: w.tier(), Target: w.route.Target, Timeout: w.route.Timeout, Remaining: w.deadline.Sub(now), Wait: wait,
		Pressure: l.pressure.Observe(now, wait, w.route.Target),
	}
	if limit, bounded := r.Limit(); bounded {
		r.LimitCap = l.bears(routing.Urgency(w.route, w.team), limit)
	}
	return admission.Decide(r)
}

// attemptFor returns what is sent to an engine.
func (w *walk) attemptFor(now time.Time, e placement.Engine) Attempt {
	return Attempt{Engine: e, Team: w.teamName(), Urgency: w.urgency(), Left: w.deadline.Sub(now), LastEventID: w.lastEventID}
}

// urgency returns the place among the requests at the chosen engine. Where places are
// few, all have the last one of their pool: an engine whose places are all taken puts back
// what it runs for what is more urgent, which makes the former's streams late and has their
// prompts read again; who gets a place this node has decided.
func (w *walk) urgency() int {
	if w.choice.SlotsScarce {
		return w.d.Table().LastUrgency(w.pool)
	}
	return routing.Urgency(w.route, w.team)
}

// teamName returns the name of the caller's team, or nothing where the route needs no key.
func (w *walk) teamName() string {
	if w.team == nil {
		return ""
	}
	return w.team.Name
}

// failed decides what follows where an engine gave no answer.
func (w *walk) failed(ctx context.Context, err error) (again bool) {
	now := clock.Now()
	if w.callerLeft(ctx) {
		w.callerGone(now)
		return false
	}
	w.call.End(now, placement.Failed)
	if errors.Is(err, ErrNotSent) {
		w.unsent++
		w.d.log.Warn("engine not reached", "request", w.req.ID, "engine", w.choice.Engine.ID, "error", err.Error(), "tries", w.unsent)
		if w.unsent < maxUnsent && now.Before(w.deadline) {
			return true
		}
		w.refuse(Refusal{Reason: w.orMayHaveRun(NoEngine), ComeBack: shortReturn})
		return false
	}
	w.sent++
	w.mayHaveRun = true
	w.noteEnd(ctx, now, err)
	if w.retry(now, err) {
		return true
	}
	w.refuse(Refusal{Reason: w.lateOr(now, Broken)})
	return false
}

// lateOr returns TimedOut where the deadline has passed, else the reason.
func (w *walk) lateOr(now time.Time, r Reason) Reason {
	if !now.Before(w.deadline) {
		return TimedOut
	}
	return r
}

// callerLeft reports whether the caller closed its connection.
func (w *walk) callerLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

// refuse gives the caller its final answer where no engine did. An answer that
// has begun can only be broken off.
func (w *walk) refuse(r Refusal) {
	w.refused = r
	if w.begun {
		w.answer.Abort()
		return
	}
	w.answer.Refuse(r)
}

// hear records that a piece of the answer came.
func (w *walk) hear(now time.Time) {
	if !w.heard.IsZero() {
		w.gap = max(w.gap, now.Sub(w.heard))
	}
	w.heard = now
	w.call.Received(now)
}

// end records how the request ended.
func (w *walk) end(now time.Time) {
	outcome := w.outcome()
	w.d.log.Info("request ended", "request", w.req.ID, "route", w.route.Name, "team", w.teamName(), "urgency", routing.Urgency(w.route, w.team), "pool", w.pool,
		"outcome", outcome, "status", w.status, "engine", w.choice.Engine.ID, "sent", w.sent, "unsent", w.unsent,
		"cost_ms", int(w.choice.Cost), "wait_ms", int(w.choice.Wait), "held_ms", w.held.Milliseconds(), "give_way", math.Round(100*w.giveWay)/100, "prompt_tokens", w.req.Prompt.Tokens, "session", w.req.Prompt.Session(), "unread_tokens", w.choice.PrefillTokens,
		"ahead_tokens", w.choice.QueuedTokens, "read_rate", math.Round(10*w.choice.PrefillRate)/10, "tight", w.choice.GapSensitive,
		"first_ms", w.first.Milliseconds(), "gap_ms", w.gap.Milliseconds(), "total_ms", now.Sub(w.arrived).Milliseconds(), "patience_ms", w.deadline.Sub(w.arrived).Milliseconds(),
		"engine_limit", w.limit, "permit_ms", w.permitWait.Milliseconds(), "opens_ms", w.opens.Milliseconds(), "target_ms", w.route.Target.Milliseconds(), "longest_gap_ms", w.route.MaxGap.Milliseconds(),
		"come_back_ms", w.refused.ComeBack.Milliseconds(), "config_version", w.d.Version(), "proof_age_ms", w.d.proof.AgeMs(now))
	w.d.observer.Ended(w.route.Name, outcome, w.first, now.Sub(w.arrived))
}

// outcome names how the request ended, for the log and the counters.
func (w *walk) outcome() string {
	if w.refused.Reason != "" {
		return string(w.refused.Reason)
	}
	return "answered"
}
