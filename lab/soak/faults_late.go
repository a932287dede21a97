package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	// lateSeeds is the inverse of the share of seeds in which requests become long late in each stop, and all nodes have all
	// their time.
	lateSeeds = 4

	// earliestLong and latestLong bound how long after the SIGTERM requests become long, and longestShort how long the short
	// ones run at most.
	earliestLong = 2 * time.Second
	latestLong   = 6 * time.Second
	longestShort = 300 * time.Millisecond

	// lateCallers is how many callers each node has, few enough for the engines to have slots for all.
	lateCallers = 12

	// probeInterval is how often a node is asked whether it is ready. One that takes longer than longestProbe does not have all
	// its time.
	probeInterval = 20 * time.Millisecond
	longestProbe  = 200 * time.Millisecond

	// shortestDeadline is the shortest deadline of these requests, longDeadline the longest.
	shortestDeadline = 3 * time.Second

	// slowerBy is by how much longer each request runs at engines that have become slower.
	slowerBy = 1500 * time.Millisecond

	// earliestWake and latestWake bound how long after the SIGTERM a node goes on that stood still for shortestRest or longer once
	// it had taken long requests: when answers may be ended it is still late. The requests come longAfter the SIGTERM and end
	// shortly before their deadline, by untilDeadline.
	earliestWake  = 5600 * time.Millisecond
	latestWake    = 6500 * time.Millisecond
	shortestRest  = 600 * time.Millisecond
	longAfter     = time.Second
	untilDeadline = 200 * time.Millisecond

	// largeAnswer is the size of answers that nodes do not hold until they are whole, and largeShare the inverse of the share of
	// long safe requests that have one.
	largeAnswer = 400 << 10
	largeShare  = 4

	// silentStreams is how many streams run at a SIGTERM of which some engines fall silent silentAfter after it. They began
	// beginBefore before it, and run for silentWork. The caller of each has sent runsBefore short ones by then.
	silentStreams = 6
	runsBefore    = 4
	silentAfter   = 300 * time.Millisecond
	beginBefore   = 300 * time.Millisecond
	silentWork    = 2 * time.Second

	// sentAwayAfter is how long after the SIGTERM each answer that begins asks its caller to leave.
	sentAwayAfter = 500 * time.Millisecond
)

// lateLoad is how the requests of a stop become long, though nothing in them says so.
type lateLoad struct {
	after   time.Duration // after is when they do, counted from the SIGTERM; zero if they do not.
	slower  bool          // slower is set if engines become slower from the SIGTERM on.
	failing bool          // failing is set if some engines refuse requests or break answers off from then on.
	silent  bool          // silent is set if some engines fall silent instead.
	rest    time.Duration // rest is when the node stands still, counted from the SIGTERM, and length for how long; zero if it does not.
	length  time.Duration
}

// late reports whether requests become long late in the stops of a run.
func (env *Environment) late() bool { return env.opts.Late || env.opts.Seed%lateSeeds == 1 }

// drawLateLoad draws how the requests of a stop become long.
func drawLateLoad(r *rand.Rand) lateLoad {
	return lateLoad{after: earliestLong + time.Duration(r.Int64N(int64(latestLong-earliestLong))), slower: r.IntN(3) == 0, failing: r.IntN(3) == 0}
}

// drawStandstill draws whether the node stands still once it has taken long requests, or engines fall silent.
func (l *lateLoad) drawStandstill(r *rand.Rand) {
	switch r.IntN(3) {
	case 0:
		l.length = shortestRest + time.Duration(r.Int64N(int64(maxStandstill-shortestRest)))
		l.after, l.rest = longAfter, earliestWake+time.Duration(r.Int64N(int64(latestWake-earliestWake)))-l.length
	case 1:
		l.silent, l.failing = true, false
	}
}

// lateWork draws the deadline of a request whose length changes at a time, and how long it runs. If its node stands still for a
// time, the deadline is long and it runs until shortly before it.
func lateWork(r *rand.Rand, now, longFrom time.Time, rested time.Duration) (deadline, work time.Duration) {
	deadline = shortestDeadline + time.Duration(r.Int64N(int64(longDeadline-shortestDeadline)))
	if now.Before(longFrom) {
		return deadline, 10*time.Millisecond + time.Duration(r.Int64N(int64(longestShort)))
	}
	if rested > 0 {
		deadline = longDeadline - (deadline-shortestDeadline)/3
		return deadline, deadline - untilDeadline
	}
	return deadline, deadline/2 + time.Duration(r.Int64N(int64(deadline*3/10)))
}

// disturb changes the engines, and sends signals and a configuration, while a node stops, until it is gone.
func (env *Environment) disturb(ctx context.Context, gone <-chan struct{}, n *node, l lateLoad, signal time.Time, r *rand.Rand) {
	pause.For(ctx, time.Until(signal))
	env.mu.Lock()
	engines := append([]*engine(nil), env.engines...)
	env.mu.Unlock()
	var changes sync.WaitGroup
	if l.slower {
		for _, e := range engines {
			e.slower.Add(int64(slowerBy))
			defer e.slower.Add(-int64(slowerBy))
		}
	}
	if l.failing {
		changes.Go(func() {
			modes := []int{modeError, modeFull, modeDropConnection, modeTruncateStream}
			_ = setModes(ctx, env, r, stopGrace, func() int { return modes[r.IntN(len(modes))] })
		})
	}
	if l.silent {
		defer env.silenceHalf(signal)()
	}
	again := time.AfterFunc(l.after/2, func() {
		_, _ = n.Signal(syscall.SIGHUP), n.Signal(syscall.SIGTERM) // It may have ended.
		_ = env.putConfig()                                        // The next change puts it as well.
	})
	defer again.Stop()
	<-gone
	changes.Wait()
}

// silenceHalf makes half of the engines of streams send nothing, from silentAfter after a signal until the returned function is
// called.
func (env *Environment) silenceHalf(signal time.Time) (restore func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var links []*relay.Relay
	for _, e := range env.engines {
		if e.pool == streamPool && !e.replaced {
			links = append(links, env.relays[e.id])
		}
	}
	links = links[:len(links)/2]
	set := func(mode relay.Mode) {
		for _, l := range links {
			l.Set(mode)
		}
	}
	timer := time.AfterFunc(time.Until(signal.Add(silentAfter)), func() { set(relay.HoldResponses) })
	return func() {
		timer.Stop()
		set(relay.Pass)
	}
}

// sendSilent sends streams that tell the node how long they run, and then one that runs at its SIGTERM and whose deadline is after
// the end of the stop.
func (c *keptCaller) sendSilent(ctx context.Context, signal time.Time, address string) {
	defer c.hangUp()
	for i := range runsBefore + 1 {
		if c.silent = i == runsBefore; c.silent {
			pause.For(ctx, time.Until(signal.Add(-beginBefore)))
		}
		if c.connect(address) {
			c.send(ctx, address)
		}
	}
}

// watchTime records when a node, or its callers, do not run, until it is gone: the machine may be busy with other things. A
// standstill that is part of the run is left out.
func (env *Environment) watchTime(gone <-chan struct{}, n *node, rest interval) {
	for begin := time.Now(); ; {
		if resp, err := env.client.Get("http://" + n.readyAddress + "/-/ready"); err == nil {
			resp.Body.Close()
		}
		end := time.Now()
		if end.Sub(begin) > longestProbe && (begin.Before(rest.from.Add(-longestProbe)) || end.After(rest.to.Add(longestProbe))) {
			env.ledger.mu.Lock()
			env.ledger.standstills[n.name] = append(env.ledger.standstills[n.name], interval{begin, end})
			env.ledger.mu.Unlock()
		}
		begin = end
		select {
		case <-gone:
			return
		case <-time.After(probeInterval):
		}
	}
}
