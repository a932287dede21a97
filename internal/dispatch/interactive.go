package dispatch

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/overload"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// lateSlotShare is how long a request that is late in any case waits for a slot, as a share of its
// target: one that is held and then not served is worse off than one that is refused at once.
const lateSlotShare = 0.5

type (
	// OverloadObserver records metrics about the refusals and second choices of interactive pools.
	OverloadObserver interface {
		// SecondChoice counts a request that would be refused by its first choice alone.
		SecondChoice(pool string)

		// Overloaded counts a refused request. The reason is "team", "returning", "late", "wait"
		// or "no_slot".
		Overloaded(pool, reason string)
	}

	// overloads holds the overload controllers of the interactive pools.
	overloads struct {
		mu    sync.Mutex
		pools map[string]*overload.Controller
	}
)

// WithInteractiveTarget makes the pools none of whose streams has a longer target interactive.
func WithInteractiveTarget(longest time.Duration) Option {
	return func(d *Dispatcher) { d.interactiveTarget = longest }
}

// WithOverloadObserver counts the refusals of interactive pools.
func WithOverloadObserver(o OverloadObserver) Option {
	return func(d *Dispatcher) { d.overloadObserver = o }
}

// interactive reports whether the pool of the request is interactive.
func (x *exchange) interactive() bool { return x.d.Table().Interactive(x.pool, x.d.interactiveTarget) }

// of returns the controller of a pool.
func (o *overloads) of(pool string) *overload.Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pools == nil {
		o.pools = map[string]*overload.Controller{}
	}
	if o.pools[pool] == nil {
		o.pools[pool] = overload.New()
	}
	return o.pools[pool]
}

// SetPeerTeamWork stores the work of teams that a peer reported.
func (d *Dispatcher) SetPeerTeamWork(now time.Time, peer string, pools map[string][]overload.TeamWork) {
	d.overloads.mu.Lock()
	defer d.overloads.mu.Unlock()
	for pool, c := range d.overloads.pools {
		c.SetPeerTeams(now, peer, pools[pool])
	}
}

// TeamWork returns the recent work of the teams at this node, by interactive pool that refuses
// callers.
func (d *Dispatcher) TeamWork(now time.Time) map[string][]overload.TeamWork {
	d.overloads.mu.Lock()
	defer d.overloads.mu.Unlock()
	var out map[string][]overload.TeamWork
	for pool, c := range d.overloads.pools {
		if teams := c.Teams(now); len(teams) > 0 {
			if out == nil {
				out = map[string][]overload.TeamWork{}
			}
			out[pool] = teams
		}
	}
	return out
}

// SetPeerLowerAdmitted stores the pools in which a peer reported that it admits requests below the
// highest tier.
func (d *Dispatcher) SetPeerLowerAdmitted(now time.Time, peer string, pools map[string]bool) {
	d.overloads.mu.Lock()
	defer d.overloads.mu.Unlock()
	for pool, c := range d.overloads.pools {
		c.SetPeerLower(now, peer, pools[pool])
	}
}

// LowerAdmitted returns the interactive pools in which this node has admitted a request below the
// highest tier within the last second.
func (d *Dispatcher) LowerAdmitted(now time.Time) map[string]bool {
	d.overloads.mu.Lock()
	defer d.overloads.mu.Unlock()
	var out map[string]bool
	for pool, c := range d.overloads.pools {
		if c.AdmitsLower(now) {
			if out == nil {
				out = map[string]bool{}
			}
			out[pool] = true
		}
	}
	return out
}

// awaitInteractive decides whether an interactive pool serves the request and waits, within its
// target, for a slot.
func (x *exchange) awaitInteractive(ctx context.Context, now time.Time, q *queue, request placement.Request) *Refusal {
	c := x.d.overloads.of(x.pool)
	r := x.overloadRequest(now)
	x.standing, x.topTier = c.Arrive(now, r), r.Tier <= 0 || q.highestInUse(now, x.route.Tier)
	allowed := x.withinLimit(now, request)
	slotWait := x.slotWaitLimit(now, r)
	placed := allowed && x.mayUseSlot(x.choice) && q.noneAhead(x.tier(), x.boundVersion())
	if allowed && !placed {
		placed = x.waitInQueue(ctx, now, q, slotWait, request)
		now = clock.Now()
		allowed = !placed || x.withinLimit(now, request)
		placed = placed && allowed
	}
	now = clock.Now()
	if x.callerLeft(ctx) {
		return &Refusal{Reason: x.unlessMayHaveRun(CallerLeft)}
	}
	q.countOutcome(now, x.route.Tier, placed, x.queuedFor <= slotWait)
	if placed {
		c.Admit(now, r)
		return nil
	}
	return x.refuseOverload(now, r, allowed)
}

// refuseOverload returns the refusal of a request, for lack of a slot if its engine is within the limit.
func (x *exchange) refuseOverload(now time.Time, r overload.Request, allowed bool) *Refusal {
	if o := x.d.overloadObserver; o != nil {
		o.Overloaded(x.pool, x.overloadReason(allowed))
	}
	r.Remaining = x.deadline.Sub(now)
	return &Refusal{Reason: Busy, RetryAfter: x.d.overloads.of(x.pool).Refuse(now, r, x.standing)}
}

// withinLimit reports whether the request may go to the chosen engine or to a second one, which it then
// chooses.
func (x *exchange) withinLimit(now time.Time, request placement.Request) bool {
	overhead, own, ahead := timesAt(x.choice)
	x.waitLimit, x.secondChoice = overhead+own+x.standing.Ahead(overhead, own), false
	return x.standing.Allows(overhead, own, ahead) || x.chooseSecond(now, request)
}

// recheckLimit checks the limit again for the engine for which the request has waited for a permit.
func (x *exchange) recheckLimit(now time.Time, request placement.Request) *Refusal {
	if !request.Interactive || x.sent > 0 || x.unreachable > 0 || x.standing == (overload.Standing{}) {
		return nil // Only the first engine has a limit.
	}
	current, ok := x.d.placement.Reevaluate(now, request, x.choice)
	if !ok {
		return nil // Sending to it fails, and the request goes to another.
	}
	x.choice = current
	if x.withinLimit(now, request) {
		return nil
	}
	return x.refuseOverload(now, x.overloadRequest(now), false)
}

// noteFirstEvent tells the overload control when the first event of a stream came, if its first engine
// sent it.
func (x *exchange) noteFirstEvent(now time.Time, success bool) {
	if success && x.route.Kind == routing.Stream && x.sent == 1 && x.unreachable == 0 && x.standing != (overload.Standing{}) {
		x.d.overloads.of(x.pool).Began(x.standing, x.route.Target, expectedWait(x.choice), now.Sub(x.sentAt))
	}
}

// OverloadMargins returns the learned margins of the interactive pools, in percent of the target.
func (d *Dispatcher) OverloadMargins() map[string]int {
	d.overloads.mu.Lock()
	defer d.overloads.mu.Unlock()
	out := map[string]int{}
	for pool, c := range d.overloads.pools {
		out[pool] = int(math.Round(100 * c.Margin()))
	}
	return out
}

// overloadRequest returns the input of the overload decision.
func (x *exchange) overloadRequest(now time.Time) overload.Request {
	overhead, own, _ := timesAt(x.choice)
	return overload.Request{
		Tier: x.tier(), Team: x.teamName(), Target: x.route.Target, Timeout: x.route.Timeout, Remaining: x.deadline.Sub(now),
		Overhead: overhead, Own: own, Engines: x.choice.Usable,
	}
}

// expectedWait returns the expected time until the prompt is processed.
func expectedWait(c placement.Choice) time.Duration {
	return time.Duration(c.Wait * float64(time.Millisecond))
}

// timesAt returns the parts of the expected time to the first event at an engine: a fixed part, the
// prefill of the prompt, and what is queued before it.
func timesAt(c placement.Choice) (overhead, own, ahead time.Duration) {
	own = prefillTime(c)
	if c.PrefillRate > 0 {
		ahead = time.Duration(float64(c.QueuedTokens-c.PrefillTokens) / c.PrefillRate * float64(time.Millisecond))
	}
	return max(0, expectedWait(c)-ahead-own), own, ahead
}

// chooseSecond places a request whose chosen engine exceeds its limit once more, by the expected wait
// alone, and reports whether it may go to that engine. A second engine that needs a permit is not
// used, since it has no capacity at once.
func (x *exchange) chooseSecond(now time.Time, request placement.Request) bool {
	request.Fastest, request.ExcludeLimited = true, true
	second, ok := x.d.placement.Choose(now, request)
	overhead, own, ahead := timesAt(second)
	if !ok || !x.mayUseSlot(second) || !x.standing.AllowsSecond(overhead, own, ahead, second.PrefillTokens > x.choice.PrefillTokens) {
		return false
	}
	x.choice, x.secondChoice = second, true
	if o := x.d.overloadObserver; o != nil {
		o.SecondChoice(x.pool)
	}
	return true
}

// slotWaitLimit returns how long the request may wait for a slot: the time that is left to its
// target after the prefill.
func (x *exchange) slotWaitLimit(now time.Time, r overload.Request) time.Duration {
	if x.standing.Late || x.standing.Returning {
		return time.Duration(lateSlotShare * float64(r.Target))
	}
	return max(0, r.Target-now.Sub(x.arrived)-expectedWait(x.choice))
}

// overloadReason returns why a request is refused, for the metrics: as the standing says, or "no_slot".
func (x *exchange) overloadReason(allowed bool) string {
	if allowed {
		return "no_slot"
	}
	return x.standing.Reason()
}

// overloadLog returns the log with the inputs of the overload decision, if there was one.
func (x *exchange) overloadLog() *slog.Logger {
	if x.standing == (overload.Standing{}) {
		return x.d.log
	}
	return x.d.log.With("limit_ms", x.waitLimit.Milliseconds(), "team_share", math.Round(100*x.standing.TeamShare)/100, "returning", x.standing.Returning, "second_choice", x.secondChoice, "lower_admitted", x.standing.BesideLower)
}
