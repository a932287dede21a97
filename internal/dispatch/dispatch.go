// Package dispatch handles a request from arrival to end: it checks the route and the key, applies
// admission control and placement, sends the request to an engine and relays the answer. A request
// that may run at most once is sent to a single engine, unless that engine reports that it did not
// run it.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/reach"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

const (
	// defaultPatience is how long a caller is assumed to wait if it does not say.
	defaultPatience = 30 * time.Second

	// shortRetryAfter is the retry delay for callers that another node can serve at once.
	shortRetryAfter = 50 * time.Millisecond
)

type (
	// Observer records metrics about requests.
	Observer interface {
		Ended(route string, outcome string, first, total time.Duration)
		Retried(pool string)

		// Began counts a request of a team that an engine started to run.
		Began(now time.Time, team string)

		// EngineCrashed counts a request whose engine crashed while running it.
		EngineCrashed(pool string)
	}

	// Dispatcher serves requests. It is safe for concurrent use.
	Dispatcher struct {
		table         atomic.Pointer[routing.Table]
		stop          atomic.Pointer[stop] // stop is nil until the process stops.
		cutAnswers    atomic.Int64         // cutAnswers counts the answers that had begun and were ended by the stop.
		cutRequests   atomic.Int64         // cutRequests counts the other requests that engines had then.
		active        atomic.Int64
		rate          rateMeter
		runs          runTimes
		started       atomic.Bool // started is set once this node has been able to serve.
		proof         *freshness.Proof
		placement     *placement.Placement
		budget        *retry.Budget
		allowance     retry.Allowance
		queues        queues
		overloads     overloads
		crashes       crashDetector
		exchanges     activeExchanges
		quarantine    *quarantine.Quarantine // quarantine is nil if requests that crash engines are not tracked.
		parts         *quarantine.Parts      // parts is nil if prompt parts that crash engines are not tracked.
		leaveObserver LeaveObserver          // leaveObserver is nil if engines do not announce that they leave.
		relay         relayBuffers
		link          Link           // link is nil if this machine's link is not known.
		permits       Permits        // permits is nil if engines declare no rate limits.
		reach         *reach.Monitor // reach is nil if connectivity to engines is not monitored.
		nodes         Nodes          // nodes is nil if other nodes are not known.
		forwarder     Forwarder      // forwarder is nil if no requests are forwarded to other nodes.
		node          string         // node is the name of this node.
		origins       Origins        // origins is nil if the origins of streams are not recorded; then versions and continuations are, too.
		versions      VersionHistory
		continuations ContinuationObserver

		overloadObserver OverloadObserver // overloadObserver is nil if refusals for overload are not counted.
		leavingObserver  LeavingObserver  // leavingObserver is nil if requests to leaving engines are not counted.

		interactiveTarget time.Duration // interactiveTarget is the longest stream target of interactive pools; 0 for none.

		sender   Sender
		observer Observer
		log      *slog.Logger
	}
)

// New returns a dispatcher without a configuration.
func New(proof *freshness.Proof, p *placement.Placement, b *retry.Budget, s Sender, o Observer, log *slog.Logger, options ...Option) *Dispatcher {
	d := &Dispatcher{proof: proof, placement: p, budget: b, sender: s, observer: o, log: log, crashes: crashDetector{probes: map[string]*probe{}, unconfirmed: map[string][]failedRun{}}, exchanges: activeExchanges{cancels: map[*exchange]context.CancelCauseFunc{}}}
	for _, option := range options {
		option(d)
	}
	return d
}

// Table returns the configuration in force, or nil.
func (d *Dispatcher) Table() *routing.Table { return d.table.Load() }

// SetTable activates a version of the configuration and reports whether it did. A version that is
// not newer is ignored.
func (d *Dispatcher) SetTable(t *routing.Table) bool {
	for {
		old := d.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if d.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Active returns the number of requests in progress.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Rate returns the rate of served requests per second.
func (d *Dispatcher) Rate(now time.Time) float64 { return d.rate.at(now) }

// Ready returns the reason why the node cannot serve callers, or an empty reason if it can.
func (d *Dispatcher) Ready(now time.Time) Reason {
	switch {
	case d.table.Load() == nil:
		return NotReady
	case d.Stopping():
		return Stopping
	case !d.proof.Fresh(now):
		return Stale
	}
	return ""
}

// Check decides from the head of a request whether it is served. It returns the route and the team,
// or a refusal.
func (d *Dispatcher) Check(now time.Time, r *Request) (*routing.Route, *routing.Team, *Refusal) {
	t := d.table.Load()
	if t == nil {
		return nil, nil, &Refusal{Reason: NotReady, RetryAfter: shortRetryAfter}
	}
	route := t.Route(r.Host, r.Path)
	if !d.proof.Fresh(now) && (route == nil || !route.Public) {
		return nil, nil, &Refusal{Reason: Stale, RetryAfter: d.proofRetryAfter(now)}
	}
	if route == nil {
		return nil, nil, &Refusal{Reason: NoRoute}
	}
	var team *routing.Team
	if t.RequiresKey() && !route.Public {
		if team = t.Team(r.Key); team == nil {
			return nil, nil, &Refusal{Reason: UnknownKey}
		}
	}
	if !d.fitsBeforeStop(now, r.deadline(now, route), r, route) {
		return nil, nil, d.notRunAtStop(now)
	}
	return route, team, nil
}

// proofRetryAfter returns the retry delay while the configuration is not proven: another node may have a proof, unless
// none is accepted for a time. Then callers are spread over a quarter of it.
func (d *Dispatcher) proofRetryAfter(now time.Time) time.Duration {
	wait := d.proof.Wait(now)
	return wait + shortRetryAfter + rand.N(wait/4+1)
}

// MaxBody returns the maximum length of a request body, in bytes.
func (d *Dispatcher) MaxBody() int64 {
	if t := d.table.Load(); t != nil {
		return t.Limits.MaxBodyBytes
	}
	return 0
}

// Serve serves a request that passed Check and whose body has been read.
func (d *Dispatcher) Serve(ctx context.Context, arrived time.Time, r *Request, route *routing.Route, team *routing.Team, a AnswerWriter) {
	d.active.Add(1)
	d.rate.add(arrived)
	defer d.active.Add(-1)
	x := &exchange{
		d: d, req: r, route: route, team: team, answer: a, arrived: arrived, whole: clock.Now(), deadline: arrived.Add(patience(r, route)),
		caller: caller.ConnOf(ctx), pool: route.ChoosePool(r.ID), tried: map[string]bool{}, lastEventID: r.LastEventID, engineLimit: noLimit,
	}
	x.reach = d.reachOf(x.pool)
	x.restoreForwarded(r.Forwarded)
	x.fingerprint = fingerprintOf(r, x.teamName())
	defer x.hold(len(r.Body))()
	defer x.endTrial()
	x.left = ctx.Done()
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(clock.Now()))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x.ended, x.end = ctx.Done(), end
	defer d.exchanges.add(x, end)()
	defer x.closeBuffer()
	x.run(ctx)
	x.deliver(ctx)
	x.noteStop(ctx)
	x.recordEnd(clock.Now())
}

// patience returns how long a request may take: the shorter of the time that its caller waits and
// the timeout of its route.
func patience(r *Request, route *routing.Route) time.Duration {
	wait := r.Patience
	if wait <= 0 {
		wait = defaultPatience
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

// deadline returns when a request that is checked at a time ends at the latest.
func (r *Request) deadline(now time.Time, route *routing.Route) time.Time {
	spent := r.Unread
	if r.Forwarded != nil {
		spent += r.Forwarded.Spent
	}
	return now.Add(patience(r, route) - spent)
}

// Refused records a request that was refused before Serve.
func (d *Dispatcher) Refused(now time.Time, r *Request, refusal *Refusal) {
	d.log.Info("request refused", "request", r.ID, "host", r.Host, "path", r.Path, "outcome", refusal.Reason,
		"config_version", d.Version(), "proof_age_ms", d.proof.AgeMs(now))
	d.observer.Ended("", string(refusal.Reason), 0, 0)
}

// Version returns the active version of the configuration, or 0 if there is none.
func (d *Dispatcher) Version() int {
	if t := d.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
