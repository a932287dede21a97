package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/platform"
)

const (
	// leaveTimeout bounds the removal of this node's row from the register.
	leaveTimeout = time.Second

	// stopMargin is how long before the platform kills the process the node ends what is in progress, at most the
	// part stopMarginPart of the whole time. Half of it is for the last answers, the rest for stopping all components.
	stopMargin     = 400 * time.Millisecond
	stopMarginPart = 8

	// refuseSteps is how many wake-ups of a late process must fit between the refusal of what waits at a stop and the kill:
	// for the refusal, for the answers and for its own end. cutSteps is the same for the end of what engines have.
	refuseSteps = 3
	cutSteps    = 2

	// lastWaitPart is the inverse of the share of what is left until the kill that each wait of the end may take, however late
	// the process is: it may run for this time yet.
	lastWaitPart = 8

	// cutPart is the inverse of the share of a stop, at its end, in which answers may be ended, however late the process is:
	// it would be no worse for them if the process were killed.
	cutPart = 6

	// minStopTime is the least time for which a stopping node serves requests, since clients cache
	// addresses for up to three times as long as they may, and a request takes time to arrive.
	minStopTime = 3*platform.AddressTTL + 200*time.Millisecond

	// stopPollInterval is how often a stopping node checks whether it is idle.
	stopPollInterval = 50 * time.Millisecond

	// endPollInterval is the same for its last step.
	endPollInterval = 2 * time.Millisecond

	// reportInterval is how often a stopping node logs which requests are in progress.
	reportInterval = time.Second
)

type (
	// stopPlan divides the time of a planned stop.
	stopPlan struct {
		refuse time.Time // refuse is when what no engine has is refused, since it can still be answered as not run.
		cut    time.Time // cut is when all else that is in progress is ended, which gains nothing by an earlier end.
	}

	// component is a part of a node that is stopped at its end.
	component struct {
		name string
		stop func() error
	}

	// stopping is a planned stop.
	stopping struct {
		*Edge
		begin time.Time     // begin is when this process saw the signal.
		grace time.Duration // grace is how long after the signal the platform kills the process.
		kill  time.Time     // kill is when that is at the earliest: the process may have seen the signal late.
		plan  stopPlan

		report time.Time // report is when the requests in progress are logged next.
	}
)

// newStopPlan returns the plan of a stop whose signal was seen at begin, of a process that may be killed from kill on, was late
// by a duration recently and is late by another now.
func newStopPlan(begin, kill time.Time, grace, recent, present time.Duration) stopPlan {
	margin := min(stopMargin, grace/stopMarginPart)
	recent = min(max(recent, present), (grace-margin)*2/3/(refuseSteps+1)) // The rest is for serving.
	before := func(steps, late time.Duration) time.Time { return kill.Add(-max(margin, margin/2+steps*late)) }
	p := stopPlan{refuse: before(refuseSteps, recent), cut: before(cutSteps, present)}
	// The signal may have come when it was seen: the estimate of the kill must not end an answer sooner either.
	if earliest := earliestCut(begin, grace); p.cut.Before(earliest) {
		p.cut = earliest
	}
	if p.cut.Before(p.refuse) {
		p.cut = p.refuse
	}
	return p
}

// earliestCut returns when a stop ends what engines have at the earliest, however late the process is.
func earliestCut(begin time.Time, grace time.Duration) time.Time {
	return begin.Add(grace - grace/cutPart)
}

// answered returns by when what was refused has been answered, for a process that is killed at a time: callers that have
// opened a connection and sent nothing are not waited for any longer.
func (p stopPlan) answered(kill time.Time) time.Time {
	return p.refuse.Add(kill.Sub(p.refuse) / refuseSteps)
}

// lastWait returns how long a wait of the end may take for a process that is late by a duration, if the platform may kill it
// after another one: half of it, since more follows, but a late process keeps the time of a turn.
func lastWait(left, late time.Duration) time.Duration {
	return max(0, left/lastWaitPart, min(left/2, left-late))
}

// Close shuts the node down gracefully: its address is no longer given to callers, it serves those
// that still come, and exits when it is idle or its time is up.
func (e *Edge) Close() error {
	begin := clock.Now()
	grace := ms(e.settings.StopGraceMs)
	s := &stopping{Edge: e, begin: begin, grace: grace, kill: begin.Add(grace - min(e.lateness.NoticeDelay(begin), grace/2))}
	s.replan(begin)
	late, ago := e.lateness.Worst(begin)
	e.log.Info("node stops", "active", e.dispatcher.Active(), "within_ms", s.plan.cut.Sub(begin).Milliseconds(), "kill_ms", s.kill.Sub(begin).Milliseconds(), "late_ms", late.Milliseconds(), "late_ago_ms", ago.Milliseconds())
	if e.duties != nil {
		e.duties.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	e.startGoroutine(func() {
		if err := e.register.Leave(ctx); err != nil {
			e.log.Warn("could not remove the node from the register", "error", err.Error())
		}
	})
	e.startGoroutine(func() { e.handOverPins(begin) })
	s.serve()
	cancel()
	served := clock.Now()
	late, ago = e.lateness.Worst(served)
	answers, requests := e.dispatcher.EndedByStop()
	e.log.Info("connections ended", "after_ms", served.Sub(begin).Milliseconds(), "left", e.connections(), "late_ms", late.Milliseconds(), "late_ago_ms", ago.Milliseconds(), "answers_cut", answers, "requests_cut", requests)
	return s.end()
}

// lastWait returns how long a wait of the end may take.
func (s *stopping) lastWait(now time.Time) time.Duration {
	kill := s.kill
	if !now.Before(kill) {
		kill = s.begin.Add(s.grace) // The signal was not as old as it might have been.
	}
	return lastWait(kill.Sub(now), s.lateness.Present(now))
}

// replan makes the plan anew by how late the process is. What was refused is not taken back.
func (s *stopping) replan(now time.Time) {
	recent, present := s.lateness.Recent(now), s.lateness.Present(now)
	before := s.plan
	s.plan = newStopPlan(s.begin, s.kill, s.grace, recent, present)
	if !before.refuse.IsZero() && !now.Before(before.refuse) {
		s.plan.refuse = before.refuse
	}
	if s.plan.refuse != before.refuse {
		s.dispatcher.StopBy(dispatch.Stop{Begin: s.begin, By: s.plan.refuse, Cut: earliestCut(s.begin, s.grace), Kill: s.kill, Late: present})
	}
	if moved := max(s.plan.refuse.Sub(before.refuse).Abs(), s.plan.cut.Sub(before.cut).Abs()); moved >= stopMargin && !before.cut.IsZero() {
		s.log.Info("stop planned again", "active", s.dispatcher.Active(), "stopping_ms", now.Sub(s.begin).Milliseconds(), "refuse_ms", s.plan.refuse.Sub(now).Milliseconds(), "within_ms", s.plan.cut.Sub(now).Milliseconds(), "late_now_ms", present.Milliseconds())
	}
}

// serve serves what comes until the node is idle or no time is left to take more, and then what is in progress until it has
// ended or the process must end. Whatever is left then is ended with an answer.
func (s *stopping) serve() {
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ended chan struct{} // ended is closed when all connections have ended; nil while more are taken.
	for {
		now := clock.Now()
		s.replan(now)
		mustRefuse := !now.Before(s.plan.refuse)
		idle := s.dispatcher.Active() == 0 && now.Sub(s.begin) >= minStopTime
		if ended == nil && (idle || mustRefuse) {
			s.log.Info("node stopped", "active", s.dispatcher.Active(), "after_ms", now.Sub(s.begin).Milliseconds())
			ended = make(chan struct{})
			go func() {
				s.shutDownServers(ctx)
				close(ended)
			}()
		}
		if !now.Before(s.report) {
			s.logInProgress(now)
			s.report = now.Add(reportInterval)
		}
		if mustRefuse {
			s.dispatcher.RefuseUnsent()
			s.reads.Interrupt()
		}
		answered := mustRefuse && s.dispatcher.Active() == 0 && !now.Before(s.plan.answered(s.kill))
		if answered || !now.Before(s.plan.cut) {
			s.logInProgress(now)
			s.dispatcher.CutOff()
			s.awaitLast(now, ended, cancel)
			return
		}
		select {
		case <-ended:
			return
		case <-tick.C:
		}
	}
}

// awaitLast waits until all connections have ended, for as long as the last answers may take.
func (s *stopping) awaitLast(now time.Time, ended <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-ended:
	case <-time.After(s.lastWait(now)):
		s.endWrites()
		cancel()
		<-ended
	}
}

// endWrites ends the requests whose callers do not read their answers in time, so that each has a line in the log.
func (s *stopping) endWrites() {
	s.dispatcher.EndWrites()
	for end := clock.Now().Add(s.lastWait(clock.Now())); s.dispatcher.Active() > 0 && clock.Now().Before(end); {
		time.Sleep(endPollInterval)
	}
	if s.dispatcher.Active() > 0 {
		s.logInProgress(clock.Now())
	}
}

// logInProgress logs which requests are in progress, since a kill leaves no line that names them.
func (s *stopping) logInProgress(now time.Time) {
	if s.dispatcher.Active() == 0 && s.reads.Len() == 0 {
		return
	}
	s.log.Info("requests in progress", "active", s.dispatcher.Active(), "requests", s.dispatcher.InProgress(), "arriving", s.reads.Len(), "stopping_ms", now.Sub(s.begin).Milliseconds(), "kill_ms", s.kill.Sub(now).Milliseconds())
}

// shutDownServers serves what has been sent to this node, and ends all connections, until the context ends.
func (e *Edge) shutDownServers(ctx context.Context) {
	var servers sync.WaitGroup
	for _, s := range e.servers {
		servers.Go(func() {
			if s == e.peerHTTP {
				_ = e.peerServer.StopAccepting(ctx) // The connections that its listener holds are taken first.
			}
			_ = s.Shutdown(ctx) // What does not end in time is closed.
		})
	}
	servers.Wait()
}

// closeServers closes all servers at once, each of which may wait for its last answers.
func (e *Edge) closeServers() error {
	errs := make([]error, len(e.servers))
	var servers sync.WaitGroup
	for i, s := range e.servers {
		servers.Go(func() { errs[i] = s.Close() })
	}
	servers.Wait()
	return errors.Join(errs...)
}

// connections returns how many connections callers have to this node.
func (e *Edge) connections() int {
	n := 0
	for _, s := range e.servers {
		n += s.Connections()
	}
	return n
}

// stop stops a node that serves nobody, and waits for all components.
func (e *Edge) stop() error {
	var stopped atomic.Int32
	if err := errors.Join(stopAll(e.components(), &stopped), e.logWriter.Close(context.Background())); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// end stops all components, and waits for them for as long as the process has. What still runs then ends with the process:
// callers have their answers, and nothing that others rely on is written this late.
func (s *stopping) end() error {
	components := s.components()
	var stopped atomic.Int32
	ended := make(chan error, 1)
	go func() { ended <- stopAll(components, &stopped) }()
	var err error
	select {
	case err = <-ended:
		s.log.Info("components stopped")
	case <-time.After(s.lastWait(clock.Now())):
		left := components[min(int(stopped.Load()), len(components)-1)]
		s.log.Warn("a component has not stopped; the process ends", "component", left.name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.lastWait(clock.Now()))
	defer cancel()
	_ = s.logWriter.Close(ctx) // Nobody reads the log who could be told.
	if err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// stopAll stops components one after the other and counts them.
func stopAll(components []component, stopped *atomic.Int32) error {
	var errs []error
	for _, c := range components {
		errs = append(errs, c.stop())
		stopped.Add(1)
	}
	return errors.Join(errs...)
}

// components returns the parts of the node in the order in which they are stopped.
func (e *Edge) components() []component {
	closing := func(f func()) func() error {
		return func() error {
			f()
			return nil
		}
	}
	list := []component{
		{"servers", e.closeServers},
		{"clock hook", closing(e.removeClockHook)},
		{"context", closing(e.cancel)},
		{"follower", e.follower.Close},
		{"server of peers", e.peerServer.Close},
		{"configuration", closing(e.configTable.Close)},
		{"engines", closing(e.engineTable.Close)},
		{"records of streams", closing(e.pins.Close)},
		{"versions", closing(e.versions.Close)},
		{"client of peers", closing(e.peerClient.Close)},
		{"goroutines", closing(e.wg.Wait)},
		{"reachability", closing(e.reach.Close)},
		{"forwarding", closing(e.forwards.Close)},
		{"egress", closing(e.egress.Close)},
		{"cache events", closing(e.cacheEvents.Close)},
		{"store", closing(e.store.Close)},
	}
	if e.dutyClient != nil {
		list = append(list, component{"client of duties", closing(e.dutyClient.Close)})
	}
	return append(list, component{"telemetry", e.tele.Close})
}
