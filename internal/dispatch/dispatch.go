// Package dispatch walks a request from its arrival to its end: it checks the
// route and the key, lets admission and placement decide, sends the request to
// an engine, and passes the answer on. What may run at most once is sent to one
// engine once, unless that engine said that it did not run it.
package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

const (
	// defaultPatience is how long a caller is taken to wait that does not say.
	defaultPatience = 30 * time.Second

	// shortReturn is when callers should come back where another node can serve
	// them at once.
	shortReturn = 50 * time.Millisecond

	// streamStop is how long before the end of the process no more streams are taken: most
	// of the users' streams end within it, and one taken within three seconds of the usual
	// 7.6 may be cut at the end.
	streamStop = 4700 * time.Millisecond

	// lastStop is how long before the end of the process nothing more is taken.
	lastStop = time.Second
)

type (
	// Observer counts what happens to requests.
	Observer interface {
		Ended(route string, outcome string, first, total time.Duration)
		Retried(pool string)

		// Began counts a request of a team that an engine began to run.
		Began(now time.Time, team string)

		// EngineEnded counts a request under which its engine has ended.
		EngineEnded(pool string)
	}

	// Dispatcher serves requests. Its methods may be called from many goroutines.
	Dispatcher struct {
		table      atomic.Pointer[routing.Table]
		stopBy     atomic.Pointer[time.Time]
		active     atomic.Int64
		rate       rate
		started    atomic.Bool // started says that this node was able to serve once.
		proof      *freshness.Proof
		placement  *placement.Placement
		budget     *retry.Budget
		lines      lines
		endings    endings
		present    present
		quarantine *quarantine.Quarantine // quarantine is nil where nothing is remembered of requests.
		leavers    LeaveObserver          // leavers is nil where engines don't say that they leave.
		permits    Permits                // permits is nil where engines name no limits.
		sender     Sender
		observer   Observer
		log        *slog.Logger
	}
)

// New returns a dispatcher without a configuration.
func New(proof *freshness.Proof, p *placement.Placement, b *retry.Budget, s Sender, o Observer, log *slog.Logger, options ...Option) *Dispatcher {
	d := &Dispatcher{proof: proof, placement: p, budget: b, sender: s, observer: o, log: log, endings: endings{probes: map[string]*probe{}}, present: present{walks: map[*walk]context.CancelCauseFunc{}}}
	for _, option := range options {
		option(d)
	}
	return d
}

// Table returns the configuration in force, or nil.
func (d *Dispatcher) Table() *routing.Table { return d.table.Load() }

// SetTable puts a version of the configuration in force; one that is not newer
// changes nothing.
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

// StopBy makes the dispatcher refuse what can't end before the process does.
func (d *Dispatcher) StopBy(at time.Time) { d.stopBy.Store(&at) }

// Active returns how many requests are being served.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Rate returns how many requests a second are served.
func (d *Dispatcher) Rate(now time.Time) float64 { return d.rate.at(now) }

// Ready returns why the node can't serve callers, or an empty reason.
func (d *Dispatcher) Ready(now time.Time) Reason {
	switch {
	case d.table.Load() == nil:
		return NotReady
	case d.stopBy.Load() != nil:
		return Stopping
	case !d.proof.Fresh(now):
		return Stale
	}
	return ""
}

// Check decides from a request's head whether it is served at all; it returns
// the route and the team, or why not.
func (d *Dispatcher) Check(now time.Time, r *Request) (*routing.Route, *routing.Team, *Refusal) {
	t := d.table.Load()
	if t == nil {
		return nil, nil, &Refusal{Reason: NotReady, RetryAfter: shortReturn}
	}
	route := t.Route(r.Host, r.Path)
	if !d.proof.Fresh(now) && (route == nil || !route.Public) {
		return nil, nil, &Refusal{Reason: Stale, RetryAfter: shortReturn}
	}
	if route == nil {
		return nil, nil, &Refusal{Reason: NoRoute}
	}
	var team *routing.Team
	if t.Keyed() && !route.Public {
		if team = t.Team(r.Key); team == nil {
			return nil, nil, &Refusal{Reason: UnknownKey}
		}
	}
	if stop := d.stopBy.Load(); stop != nil {
		left := stop.Sub(now)
		if left < lastStop || route.Kind == routing.Stream && left < streamStop {
			return nil, nil, &Refusal{Reason: Stopping, RetryAfter: shortReturn}
		}
	}
	return route, team, nil
}

// MaxBody returns the longest body that is taken, in bytes.
func (d *Dispatcher) MaxBody() int64 {
	if t := d.table.Load(); t != nil {
		return t.Limits.MaxBodyBytes
	}
	return 0
}

// Serve serves one request whose head was checked and whose body is read.
func (d *Dispatcher) Serve(ctx context.Context, arrived time.Time, r *Request, route *routing.Route, team *routing.Team, a AnswerWriter) {
	d.active.Add(1)
	d.rate.note(arrived)
	defer d.active.Add(-1)
	w := &walk{
		d: d, req: r, route: route, team: team, answer: a, arrived: arrived, deadline: arrived.Add(patience(r, route)),
		pool: route.Choose(r.ID), avoid: map[string]bool{}, lastEventID: r.LastEventID, limit: noLimit,
	}
	w.fingerprint = fingerprintOf(r, w.teamName())
	ctx, cancel := context.WithTimeout(ctx, w.deadline.Sub(clock.Now()))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer d.present.add(w, end)()
	w.run(ctx)
	w.end(clock.Now())
}

// patience returns how long a request may take: as long as its caller waits and its
// route allows.
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

// Refused records a request that was refused before it was served.
func (d *Dispatcher) Refused(now time.Time, r *Request, refusal *Refusal) {
	d.log.Info("request refused", "request", r.ID, "host", r.Host, "path", r.Path, "outcome", refusal.Reason,
		"config_version", d.Version(), "proof_age_ms", d.proof.AgeMs(now))
	d.observer.Ended("", string(refusal.Reason), 0, 0)
}

// Version returns the version of the configuration in force, 0 if there is none.
func (d *Dispatcher) Version() int {
	if t := d.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
