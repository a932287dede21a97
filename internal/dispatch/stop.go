package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/relaybuf"
	"github.com/croftturn/croftturn/internal/routing"
)

const (
	// Where n recent runs of requests at least as large are known, another may take longer than the longest of them by
	// fewRunsMargin/n of it, and by leastRunMargin at least.
	leastRunMargin = 0.5
	fewRunsMargin  = 10

	// stopMarginPart is the inverse of the share of a stop at whose end no request is accepted: what was accepted
	// just before may be late.
	stopMarginPart = 16

	// noneReadyRetryAfter is the retry delay while no other node accepts callers. They try a few times only, and one that has
	// ended takes some seconds to be ready again.
	noneReadyRetryAfter = 500 * time.Millisecond

	// maxOpenListed is how many requests in progress a line of the log names.
	maxOpenListed = 100

	// runsRefresh is how long what the runs of a route tell is used: waiting requests ask for it again and again.
	runsRefresh = 50 * time.Millisecond
)

// errCutOff ends the requests in progress when the process ends.
var errCutOff = errors.New("dispatch: the process ends")

type (
	// Nodes knows the other nodes.
	Nodes interface {
		// OtherReady reports whether another node accepts callers.
		OtherReady(now time.Time) bool
	}

	// Stop is the plan of a stop of the process.
	Stop struct {
		Begin time.Time     // Begin is when the process saw the signal.
		By    time.Time     // By is when requests must be expected to end to be accepted.
		Cut   time.Time     // Cut is when requests that engines have are ended at the earliest, however late the process is by then; zero for By.
		Kill  time.Time     // Kill is when the platform may kill the process.
		Late  time.Duration // Late is how late the process is.
	}

	// stop is the planned end of the process.
	stop struct {
		Stop
		margin time.Duration // margin is how long before its end no request is accepted.

		mu   sync.Mutex
		runs map[string]longestRun // runs holds what the runs of each route told last.
	}

	// longestRun is the longest run of a route as of a time.
	longestRun struct {
		at   time.Time
		took time.Duration
	}
)

// WithNodes makes callers that a stopping node refuses come back later while no other node accepts them.
func WithNodes(n Nodes) Option {
	return func(d *Dispatcher) { d.nodes = n }
}

// notRunAtStop returns the refusal of a request that can't end before this node stops.
func (d *Dispatcher) notRunAtStop(now time.Time) *Refusal {
	if d.nodes == nil || d.nodes.OtherReady(now) {
		return NotRunAtStop()
	}
	return &Refusal{Reason: Stopping, RetryAfter: noneReadyRetryAfter}
}

// StopBy makes the dispatcher refuse requests that cannot end before the process stops.
func (d *Dispatcher) StopBy(s Stop) {
	d.stop.Store(&stop{Stop: s, margin: s.By.Sub(s.Begin) / stopMarginPart, runs: map[string]longestRun{}})
}

// Stopping reports whether the process stops.
func (d *Dispatcher) Stopping() bool { return d.stop.Load() != nil }

// CutOff ends all requests in progress, and each one that comes later, with an answer: a caller whose connection only
// closes can't tell a request that has not run from one that has.
func (d *Dispatcher) CutOff() { d.exchanges.end(errCutOff) }

// RefuseUnsent ends the requests in progress that were never sent to an engine or another node: only these can be refused
// as not run, and gain by an early end.
func (d *Dispatcher) RefuseUnsent() { d.exchanges.endUnsent(errCutOff) }

// EndWrites ends the requests whose answers wait for callers that do not read them: nothing else would before the process ends.
func (d *Dispatcher) EndWrites() { d.exchanges.endWrites() }

// InProgress returns the ids of the requests in progress, the oldest first and not more than a log line can take.
func (d *Dispatcher) InProgress() []string { return d.exchanges.ids(maxOpenListed) }

// EndedByStop returns how many answers that had begun the stop has ended, and how many requests that engines had otherwise.
func (d *Dispatcher) EndedByStop() (answers, requests int64) {
	return d.cutAnswers.Load(), d.cutRequests.Load()
}

// fitsBeforeStop reports whether a request with a deadline ends before this node does. Only the deadline bounds how long it runs;
// recent run times are accepted for safe requests alone, which may be sent again. Whether it is forwarded may not be known yet;
// that is asked again before it is sent.
func (d *Dispatcher) fitsBeforeStop(now, deadline time.Time, r *Request, route *routing.Route) bool {
	return d.fitsBy(now, deadline, r, route, runsOf(route, false)) || d.forwarder != nil && d.fitsBy(now, deadline, r, route, runsOf(route, true))
}

// fitsBy is fitsBeforeStop of a request whose time some of the runs tell.
func (d *Dispatcher) fitsBy(now, deadline time.Time, r *Request, route *routing.Route, runs string) bool {
	return d.endsBeforeStop(deadline) || route.Kind == routing.Safe && d.expectedBeforeStop(now, r, route, runs)
}

// expectedBeforeStop reports whether a request ends before this node does by what some of the recent runs tell.
func (d *Dispatcher) expectedBeforeStop(now time.Time, r *Request, route *routing.Route, runs string) bool {
	s := d.stop.Load()
	return s == nil || d.runFits(now, s, r, runs, d.longestRun(now, s, route, runs))
}

// runFits reports whether a request that runs little longer than the longest run ends before this node does.
func (d *Dispatcher) runFits(now time.Time, s *stop, r *Request, runs string, longest time.Duration) bool {
	known := d.runs.known(runs, sizeOf(r))
	margin := max(leastRunMargin, fewRunsMargin/float64(max(known, 1)))
	return known > 0 && !now.Add(time.Duration((1+margin)*float64(longest))).After(s.latest())
}

// mayMove reports whether another run of the request may end before this node does. For that of a begun answer it is enough that
// runs which ended lately tell so: the caller gets no more from an engine that stays silent, and those in progress there, its own
// among them, only tell how long the silence lasts.
func (x *exchange) mayMove(now time.Time, begun bool) bool {
	s := x.d.stop.Load()
	if s == nil || x.d.fitsBeforeStop(now, x.deadline, x.req, x.route) {
		return true
	}
	expected := func(forwarded bool) bool {
		runs := runsOf(x.route, forwarded)
		return x.d.runFits(now, s, x.req, runs, x.d.runs.longest(runs))
	}
	return begun && (expected(false) || x.d.forwarder != nil && expected(true))
}

// endsBeforeStop reports whether a request with a deadline ends before this node does, however long it runs.
func (d *Dispatcher) endsBeforeStop(deadline time.Time) bool {
	s := d.stop.Load()
	return s == nil || !deadline.After(s.latest()) && (s.Cut.IsZero() || !deadline.After(s.Cut))
}

// latest returns until when requests must end to be accepted.
func (s *stop) latest() time.Time { return s.By.Add(-s.margin) }

// runsOf returns the name under which runs of a route are known. Those by way of another node are told apart: it does not
// know of the stop of this one, and may begin a slow request anew.
func runsOf(route *routing.Route, forwarded bool) string {
	if forwarded {
		return route.Name + "\x00forwarded"
	}
	return route.Name
}

// longestRun returns the longest run of a route while the process stops, whatever its size: a smaller request seldom runs for
// longer.
func (d *Dispatcher) longestRun(now time.Time, s *stop, route *routing.Route, runs string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.runs[runs]
	if !ok || now.Sub(run.at) >= runsRefresh {
		run = longestRun{at: now, took: max(d.runs.longest(runs), d.exchanges.oldest(now, route))}
		s.runs[runs] = run
	}
	return run.took
}

// mustLeave reports whether the request has to be served by another node because this one stops. An answer that has
// begun can't: it goes on for as long as this node runs.
func (x *exchange) mustLeave(now time.Time) bool {
	return !x.answerBegun && !x.d.fitsBy(now, x.deadline, x.req, x.route, runsOf(x.route, x.mustForward()))
}

// refuseStopping returns the refusal of a request that ends with the process.
func (x *exchange) refuseStopping() *Refusal {
	if x.mayHaveRun {
		return &Refusal{Reason: CutOff}
	}
	return NotRunAtStop()
}

// NotRunAtStop returns the refusal of a request that did not arrive whole before the process ends.
func NotRunAtStop() *Refusal { return &Refusal{Reason: Stopping, RetryAfter: shortRetryAfter} }

// unlessStopping returns a refusal, or that of a request which has to be served by another node.
func (x *exchange) unlessStopping(ctx context.Context, now time.Time, refusal Refusal) Refusal {
	switch {
	case x.callerLeft(ctx):
		return refusal
	case cutOff(ctx):
		return *x.refuseStopping()
	case x.mustLeave(now):
		return *x.refuseResend(now)
	}
	return refusal
}

// refuseResend returns the refusal of a request that can't be sent, or sent again, since this node stops.
func (x *exchange) refuseResend(now time.Time) *Refusal {
	x.unsentByStop = true
	refusal := x.d.notRunAtStop(now)
	refusal.Reason = x.unlessMayHaveRun(refusal.Reason)
	return refusal
}

// cutOff reports whether a request ends because the process does.
func cutOff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutOff) }

// endCutOff ends a request whose attempt was ended because the process ends. sent is set if its engine may have it.
func (x *exchange) endCutOff(sent bool) {
	now := clock.Now()
	x.call.End(now, placement.Aborted)
	x.mayHaveRun = x.mayHaveRun || sent
	x.logCutOff(now)
	x.refuse(*x.refuseStopping())
}

// endedByStop reports whether the stop has ended a request whose answer can't be delivered: its caller did not read all of it
// in time.
func (x *exchange) endedByStop(ctx context.Context) bool {
	if x.writesEnded.Load() || x.buffer == nil {
		return x.writesEnded.Load()
	}
	cut := (*relaybuf.CutError)(nil)
	return cutOff(ctx) && errors.As(x.buffer.Err(), &cut) && cut.Reason == relaybuf.Deadline
}

// noteStop records the end of a request that the stop has ended by something else than the end of its attempt.
func (x *exchange) noteStop(ctx context.Context) {
	switch x.refusal.Reason {
	case CallerLeft, CallerTooSlow:
		if !x.endedByStop(ctx) {
			return
		}
		x.refusal, x.mayHaveRun = Refusal{Reason: CutOff}, true
	case CutOff:
	default:
		if !x.unsentByStop {
			return
		}
	}
	x.logCutOff(clock.Now())
}

// logCutOff logs, once, a request that was sent to an engine and is ended by the stop: what the plan was, and how far it had
// come.
func (x *exchange) logCutOff(now time.Time) {
	s := x.d.stop.Load()
	if s == nil || !x.mayHaveRun || x.cutLogged {
		return
	}
	x.cutLogged = true
	x.d.log.Warn("request ended by the stop", "request", x.req.ID, "route", x.route.Name, "engine", x.choice.Engine.ID, "via", x.via, "forwarded_by", x.forwardedBy(),
		"begun", x.answerBegun, "outcome", x.refusal.Reason, "writing", x.writesEnded.Load(), "pieces", x.events, "sent", x.sent, "ran_ms", now.Sub(x.arrived).Milliseconds(), "left_ms", x.deadline.Sub(now).Milliseconds(), "arrived_ms", x.arrived.Sub(s.Begin).Milliseconds(),
		"stopping_ms", now.Sub(s.Begin).Milliseconds(), "kill_ms", s.Kill.Sub(now).Milliseconds(), "late_now_ms", s.Late.Milliseconds())
	if x.answerBegun {
		x.d.cutAnswers.Add(1)
	} else {
		x.d.cutRequests.Add(1)
	}
}
