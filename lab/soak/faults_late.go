package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
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
)

// lateLoad is how the requests of a stop become long, though nothing in them says so.
type lateLoad struct {
	after   time.Duration // after is when they do, counted from the SIGTERM; zero if they do not.
	slower  bool          // slower is set if engines become slower from the SIGTERM on.
	failing bool          // failing is set if some engines refuse requests or break answers off from then on.
}

// late reports whether requests become long late in the stops of a run.
func (env *Environment) late() bool { return env.opts.Late || env.opts.Seed%lateSeeds == 1 }

// drawLateLoad draws how the requests of a stop become long.
func drawLateLoad(r *rand.Rand) lateLoad {
	return lateLoad{after: earliestLong + time.Duration(r.Int64N(int64(latestLong-earliestLong))), slower: r.IntN(3) == 0, failing: r.IntN(3) == 0}
}

// lateWork draws the deadline of a request whose length changes at a time, and how long it runs.
func lateWork(r *rand.Rand, now, longFrom time.Time) (deadline, work time.Duration) {
	deadline = shortestDeadline + time.Duration(r.Int64N(int64(longDeadline-shortestDeadline)))
	if now.Before(longFrom) {
		return deadline, 10*time.Millisecond + time.Duration(r.Int64N(int64(longestShort)))
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
	again := time.AfterFunc(l.after/2, func() {
		_, _ = n.Signal(syscall.SIGHUP), n.Signal(syscall.SIGTERM) // It may have ended.
		_ = env.putConfig()                                        // The next change puts it as well.
	})
	defer again.Stop()
	<-gone
	changes.Wait()
}

// watchTime records when a node, or its callers, do not run, until it is gone: the machine may be busy with other things.
func (env *Environment) watchTime(gone <-chan struct{}, n *node) {
	for begin := time.Now(); ; {
		if resp, err := env.client.Get("http://" + n.readyAddress + "/-/ready"); err == nil {
			resp.Body.Close()
		}
		end := time.Now()
		if end.Sub(begin) > longestProbe {
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
