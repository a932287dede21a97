package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
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

	// lateTurns is how many steps of a stop a late process may come late to: the signal, the end of its requests, that of
	// their answers and its own.
	lateTurns = 4

	// minStopTime is the least time for which a stopping node serves requests, since clients cache
	// addresses for up to three times as long as they may, and a request takes time to arrive.
	minStopTime = 3*platform.AddressTTL + 200*time.Millisecond

	// stopPollInterval is how often a stopping node checks whether it is idle.
	stopPollInterval = 50 * time.Millisecond
)

// stopPlan divides the time of a planned stop.
type stopPlan struct {
	end        time.Time     // end is when the requests in progress are ended.
	answerTime time.Duration // answerTime is how long their answers may take.
}

// newStopPlan returns the plan of a stop that this process saw begin at a time, being late by a duration.
func newStopPlan(begin time.Time, grace, late time.Duration) stopPlan {
	margin := min(stopMargin, grace/stopMarginPart)
	late = min(late, (grace-margin)*2/3/lateTurns) // The rest is for serving.
	return stopPlan{begin.Add(grace - max(margin, margin/2+lateTurns*late)), margin/2 + late}
}

// Close shuts the node down gracefully: its address is no longer given to callers, it serves those
// that still come, and exits when it is idle or its time is up.
func (e *Edge) Close() error {
	begin := clock.Now()
	plan := e.planStop(begin, begin)
	late, ago := e.lateness.Worst(begin)
	e.log.Info("node stops", "active", e.dispatcher.Active(), "within_ms", plan.end.Sub(begin).Milliseconds(), "late_ms", late.Milliseconds(), "late_ago_ms", ago.Milliseconds())
	if e.duties != nil {
		e.duties.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := e.register.Leave(ctx); err != nil {
		e.log.Warn("could not remove the node from the register", "error", err.Error())
	}
	cancel()
	e.startGoroutine(func() { e.handOverPins(begin) })
	plan = e.awaitIdle(begin, plan)
	if left := clock.Until(plan.end); left > 0 {
		e.shutDownServers(left)
	}
	served := clock.Now()
	late, ago = e.lateness.Worst(served)
	e.log.Info("node stopped", "active", e.dispatcher.Active(), "after_ms", served.Sub(begin).Milliseconds(), "late_ms", late.Milliseconds(), "late_ago_ms", ago.Milliseconds())
	e.endRequests(plan.answerTime)
	answers, requests := e.dispatcher.EndedByStop()
	e.log.Info("connections ended", "served_ms", served.Sub(begin).Milliseconds(), "after_ms", clock.Since(begin).Milliseconds(), "left", e.connections(), "answers_cut", answers, "requests_cut", requests)
	return e.stop()
}

// planStop returns the plan of a stop that began at a time, and makes the dispatcher keep to it.
func (e *Edge) planStop(begin, now time.Time) stopPlan {
	grace := ms(e.settings.StopGraceMs)
	late := e.lateness.Recent(now)
	p := newStopPlan(begin, grace, late)
	e.dispatcher.StopBy(dispatch.Stop{Begin: begin, By: p.end, Kill: begin.Add(grace), Late: late})
	return p
}

// awaitIdle serves what comes until the node is idle or its time is up. It returns the plan, which is an earlier one if the
// process falls behind meanwhile.
func (e *Edge) awaitIdle(begin time.Time, plan stopPlan) stopPlan {
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	for last := clock.Now(); ; {
		<-tick.C
		now := clock.Now()
		e.lateness.Observe(now, now.Sub(last)-stopPollInterval)
		last = now
		if p := newStopPlan(begin, ms(e.settings.StopGraceMs), e.lateness.Recent(now)); p.end.Before(plan.end) {
			plan = e.planStop(begin, now)
			e.log.Info("stop planned again", "active", e.dispatcher.Active(), "stopping_ms", now.Sub(begin).Milliseconds(), "within_ms", plan.end.Sub(now).Milliseconds(), "late_ms", e.lateness.Recent(now).Milliseconds())
		}
		idle := e.dispatcher.Active() == 0 && now.Sub(begin) >= minStopTime
		if idle || now.After(plan.end) {
			return plan
		}
	}
}

// endRequests ends the requests in progress with an answer, those that have not arrived whole too, and waits until the
// answers are sent, but not longer than a given time.
func (e *Edge) endRequests(longest time.Duration) {
	e.dispatcher.CutOff()
	e.reads.Interrupt()
	e.shutDownServers(longest)
}

// shutDownServers serves what has been sent to this node, and ends all connections. It takes a given time at most.
func (e *Edge) shutDownServers(longest time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
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

// connections returns how many connections callers have to this node.
func (e *Edge) connections() int {
	n := 0
	for _, s := range e.servers {
		n += s.Connections()
	}
	return n
}

// stop stops all components and waits for them.
func (e *Edge) stop() error {
	var errs []error
	for _, s := range e.servers {
		errs = append(errs, s.Close())
	}
	e.removeClockHook()
	e.cancel()
	errs = append(errs, e.follower.Close(), e.peerServer.Close())
	e.configTable.Close()
	e.engineTable.Close()
	e.pins.Close()
	e.versions.Close()
	e.peerClient.Close()
	e.wg.Wait()
	e.reach.Close()
	e.forwards.Close()
	e.egress.Close()
	e.cacheEvents.Close()
	e.store.Close()
	if e.dutyClient != nil {
		e.dutyClient.Close()
	}
	e.log.Info("components stopped")
	errs = append(errs, e.tele.Close(), e.logWriter.Close())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}
