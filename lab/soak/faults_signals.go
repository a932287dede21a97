package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	faultSignals = "signals and configurations overlap at starts and stops"

	// maxSignals is how many signals and configurations come beside a SIGTERM at most, and signalLead how long before it the first.
	maxSignals = 12
	signalLead = 400 * time.Millisecond

	// besideSignal is how far those are from the SIGTERM that come right beside it, and besideEnd how far from idleStop, which is
	// when the stop of an idle node ends, those that come there.
	besideSignal = 20 * time.Millisecond
	besideEnd    = 200 * time.Millisecond
	idleStop     = 6200 * time.Millisecond

	// oldestYoung is how long a node that starts anew has listened at most when it gets its SIGTERM.
	oldestYoung = 2 * time.Second

	// listenWithin bounds how long a started node takes to listen.
	listenWithin = 5 * time.Second

	// unlinkedShare is the inverse of the share of nodes that start and do not reach the store until some time of the stop.
	unlinkedShare = 2
)

// These are sent beside a SIGTERM.
const (
	sendHangUp = iota
	sendTerm
	sendConfig
	sendKinds
)

// quotaCycle is how long a node with a small quota of the processor runs, and how long it does not, in turn.
var quotaCycle = [2]time.Duration{19 * time.Millisecond, 81 * time.Millisecond}

type (
	// signalSeries is the stop of a node amid other signals.
	signalSeries struct {
		seed    uint64
		cycle   [2]time.Duration // cycle is how long the node runs and rests in turn.
		restart bool             // restart is set if the node starts anew before.
		lead    time.Duration    // lead is for how long the node has had these callers at its SIGTERM.
		linked  time.Duration    // linked is from when on a node that starts anew reaches the store, counted from the SIGTERM; zero for always.
		beside  []besideStop     // beside is what else is sent, in the order of time.
	}

	// besideStop is what is sent beside a SIGTERM, and when, counted from it.
	besideStop struct {
		kind int
		at   time.Duration
	}
)

// overlapSignals stops nodes, some of them as they start, amid signals and configurations, under callers that keep their
// connections until the process is gone.
func overlapSignals(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	var stops sync.WaitGroup
	errs := make([]error, 1+r.IntN(maxStarved))
	for i := range errs {
		s := drawSignals(r)
		n := env.reserveNode(r)
		if n == nil {
			continue
		}
		stops.Go(func() {
			defer env.releaseNode(n)
			errs[i] = env.stopAmidSignals(ctx, n, s, d)
		})
		pause.For(ctx, time.Duration(r.Int64N(int64(stopInterval))))
	}
	stops.Wait()
	return errors.Join(errs...)
}

// drawSignals draws a series. Signals come right beside the SIGTERM, where the stop of an idle node ends, or at any other time.
func drawSignals(r *rand.Rand) signalSeries {
	draw := func(from, to time.Duration) time.Duration { return from + time.Duration(r.Int64N(int64(to-from))) }
	s := signalSeries{seed: r.Uint64(), cycle: [][2]time.Duration{{time.Second, 0}, quotaCycle}[r.IntN(2)], lead: stopLoadTime}
	if s.restart = r.IntN(3) == 0; s.restart {
		s.lead = draw(0, oldestYoung)
		if r.IntN(unlinkedShare) == 0 {
			s.linked = draw(1, stopGrace)
		}
	}
	for range 1 + r.IntN(maxSignals) {
		b := besideStop{kind: r.IntN(sendKinds)}
		switch r.IntN(3) {
		case 0:
			b.at = draw(-besideSignal, besideSignal)
		case 1:
			b.at = draw(idleStop-besideEnd, idleStop+besideEnd)
		default:
			b.at = draw(-signalLead, stopGrace)
		}
		s.beside = append(s.beside, b)
	}
	slices.SortFunc(s.beside, func(a, b besideStop) int { return cmp.Compare(a.at, b.at) })
	return s
}

// stopAmidSignals stops a node as a series says, and starts it again.
func (env *Environment) stopAmidSignals(ctx context.Context, n *node, s signalSeries, d time.Duration) error {
	defer env.ledger.beginOutage(n.name)()
	env.expectExit(n)
	if s.restart {
		if err := env.restartUnlinked(n, s.linked > 0); err != nil {
			return err
		}
	}
	gone := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { starve(ctx, gone, n, s.cycle) })
	for i := range keptCallers + longCallers {
		c := &keptCaller{env: env, fault: faultSignals, node: n.name, long: i >= keptCallers, name: fmt.Sprintf("kept-%s-%d-%d", n.name, time.Now().UnixMicro(), i), rand: rand.New(rand.NewPCG(s.seed, uint64(i)))}
		others.Go(func() { c.run(ctx, gone, n.callerAddress) })
	}
	err := cluster.Wait(n.name+" listens", listenWithin, func() bool { return listens(n.callerAddress) })
	signal := time.Now().Add(s.lead)
	others.Go(func() { env.sendBeside(ctx, n, signal, s.beside) })
	if s.linked > 0 {
		others.Go(func() {
			pause.For(ctx, time.Until(signal.Add(s.linked)))
			n.store.Set(relay.Pass)
		})
	}
	pause.For(ctx, time.Until(signal))
	env.ledger.recordSigterm(n.name, time.Now())
	if err := n.Stop(stopGrace); err != nil {
		env.ledger.recordExit(fmt.Sprintf("%s did not stop gracefully: %v", n.name, err))
		n.Kill()
	}
	close(gone)
	others.Wait()
	pause.For(ctx, d)
	return errors.Join(err, env.launch(n))
}

// restartUnlinked kills a node and starts it, without a way to the store if that is wanted. It may exit.
func (env *Environment) restartUnlinked(n *node, unlinked bool) error {
	n.Kill()
	if unlinked {
		n.store.Set(relay.Hold)
	}
	if err := env.launch(n); err != nil {
		return err
	}
	env.expectExit(n)
	return nil
}

// listens reports whether a process listens at an address.
func listens(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// sendBeside sends what comes beside the SIGTERM of a node, until the process is gone.
func (env *Environment) sendBeside(ctx context.Context, n *node, signal time.Time, beside []besideStop) {
	for _, b := range beside {
		pause.For(ctx, time.Until(signal.Add(b.at)))
		if n.Exited() {
			return
		}
		switch b.kind {
		case sendHangUp:
			_ = n.Signal(syscall.SIGHUP) // The process may have ended.
		case sendTerm:
			if b.at > 0 { // The first one is that of the stop.
				_ = n.Signal(syscall.SIGTERM)
			}
		case sendConfig:
			_ = env.putConfig() // The next change puts it as well.
		}
	}
}
