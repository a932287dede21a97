package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	// faultInterval is the mean time between the starts of two faults; most last longer, so that
	// they overlap.
	faultInterval = 700 * time.Millisecond

	// maxFaultDuration bounds the duration of a single fault.
	maxFaultDuration = 6 * time.Second

	// faultStop and faultUnreadDrain are the names of faults that the ledger tells from others.
	faultStop        = "stop a node under requests of all lengths"
	faultOddRow      = "all nodes start beside an odd row"
	faultUnreadDrain = "engines drain while all nodes read their table"
	faultFractions   = "a node's times get fractions and it is restarted"

	// partSeriesTime is longer, so that requests are observed once nodes have found the part.
	partSeriesTime = 14 * time.Second
)

type (
	// fault is a kind of fault: its name, its maximum duration, whether it suspends the
	// time-bounded guarantees, and how it is injected.
	fault struct {
		name               string
		maxDuration        time.Duration
		suspendsTimeBounds bool
		inject             injection
	}

	// injection applies a fault for a duration and then reverts it.
	injection func(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error
)

// faults lists all kinds of faults.
var faults = []fault{
	{"kill a node", time.Second, true, nodeFault(killNode)},
	{"stop a node", time.Second, true, nodeFault(stopNode)},
	{faultStop, 3 * time.Second, true, nodeFault(stopUnderLoad)},
	{faultStarved, 3 * time.Second, true, stopStarved},
	{faultSignals, 3 * time.Second, true, overlapSignals},
	{faultUnreadDrain, 3 * time.Second, true, drainWhileRead},
	{"freeze a node", maxFaultDuration, true, nodeFault(freezeNode)},
	{"nodes are behind and callers leave", maxFaultDuration, true, putNodesBehind},
	{"a node's link is full and callers leave", maxFaultDuration, true, fillLink},
	{"hang up a node", time.Second, false, nodeFault(reloadNode)},
	{faultFractions, time.Second, true, nodeFault(restartWithFractions)},
	{"cut a node from the store", maxFaultDuration, true, storeLinkFault(relay.Cut)},
	{"silence the store for a node", maxFaultDuration, true, storeLinkFault(relay.Hold)},
	{"delay the store for a node", maxFaultDuration, true, storeLinkFault(relay.Delay)},
	{"answers of the store held back from a node", maxFaultDuration, true, storeLinkFault(relay.HoldResponses)},
	{"a node's connections to the store reset", 100 * time.Millisecond, true, storeLinkFault(relay.Reset)},
	{"callers' connections to a node reset", 100 * time.Millisecond, false, callerLinkFault(relay.Reset)},
	{"answers of a node held back from callers", 2 * time.Second, false, callerLinkFault(relay.HoldResponses)},
	{"callers delayed", 3 * time.Second, false, callerLinkFault(relay.Delay)},
	{"store's clock ahead", 4 * time.Second, false, storeFault(platform.Faults{ClockMs: 20_000})},
	{"store's clock behind", 4 * time.Second, false, storeFault(platform.Faults{ClockMs: -20_000})},
	{"store down", 4 * time.Second, true, storeFault(platform.Faults{Down: true})},
	{"store slow", 4 * time.Second, true, storeFault(platform.Faults{SlowMs: 400})},
	{"store loses answers", 2 * time.Second, true, storeFault(platform.Faults{LoseAcks: 5})},
	{"store's feeds deaf", 2 * time.Second, true, storeFault(platform.Faults{Deaf: true})},
	{"store comes back from a copy", time.Second, true, returnStore},
	{"store comes back as all nodes are lost", time.Second, true, loseAllAtAReturn},
	{"store loses an evacuation", time.Second, false, loseEvacuation},
	{"store loses a term of the duties", time.Second, true, loseTerm},
	{"store forgets", 100 * time.Millisecond, true, storeFault(platform.Faults{Forget: true})},
	{"engines misbehave", 4 * time.Second, false, misbehave},
	{"engines misbehave for long", maxFaultDuration, false, misbehave},
	{"engines misbehave, then well", 2 * time.Second, false, misbehave},
	{"engines cut answers off", 4 * time.Second, false, cutAnswers},
	{faultOdd, 4 * time.Second, false, oddAnswers},
	{"engines send without end", 4 * time.Second, false, sendEndless},
	{"way to an engine cut", 3 * time.Second, false, engineLinkFault(relay.Cut)},
	{"way to an engine silent", 3 * time.Second, false, engineLinkFault(relay.Hold)},
	{"node cut off from engines", 3 * time.Second, false, cutOffNode},
	{"answers of an engine held back", 3 * time.Second, false, engineLinkFault(relay.HoldResponses)},
	{"connections to an engine reset", 100 * time.Millisecond, false, engineLinkFault(relay.Reset)},
	{"engine crashes", time.Second, false, crashEngine},
	{"engine leaves", 2500 * time.Millisecond, false, drainEngine},
	{"engine leaves, its entry ready", 2500 * time.Millisecond, false, drainByHeader},
	{"engine names a limit", 2 * time.Second, false, advertiseLimit},
	{faultLong, time.Second, false, sendLongPairs},
	{"engine silent for a moment", silenceTime, false, silenceEngine},
	{"engines brittle", 2 * time.Second, false, makeBrittle},
	{"engine asks for rest", 4 * time.Second, false, sendRetryAfter},
	{"engines get another version", 2 * time.Second, false, rollVersions},
	{"kill all nodes", time.Second, true, killAllNodes},
	{"engine starts again under its id", 2 * time.Second, false, restartEngine},
	{"a request crashes engines", maxFaultDuration, false, crashingRequest},
	{"a part of prompts crashes engines", partSeriesTime, false, crashingPartSeries},
	{faultPopular, time.Second, false, losePopular},
	{faultOddRow, time.Second, true, startBesideOddRow},
	{"entries of other writers", 2 * time.Second, false, invalidEntries},
	{"hall evacuated", maxFaultDuration, false, evacuateHall},
	{"key taken away", 100 * time.Millisecond, false, revokeKey},
	{"key taken away unseen", partitionDuration, true, revokeWhilePartitioned},
	{"all keys taken away", 2 * time.Second, false, takeAllKeys},
	{"key given back", 100 * time.Millisecond, false, addKey},
}

// injectFaults injects faults for the configured time, and waits until all have ended.
func (env *Environment) injectFaults(ctx context.Context) error {
	r := rand.New(rand.NewPCG(env.opts.Seed, 42))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	end := time.Now().Add(env.opts.Faults)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := env.drawFault(r)
		d := time.Duration(r.Int64N(int64(f.maxDuration)))
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 3))
		wg.Add(1)
		go func() {
			defer wg.Done()
			begin := time.Now()
			err := f.inject(ctx, env, faultRand, d)
			env.ledger.recordInjected(f.name, begin, time.Now())
			if f.suspendsTimeBounds {
				env.ledger.recordFault(begin, time.Now())
			}
			if err != nil {
				mu.Lock()
				failed = fmt.Errorf("%s: %w", f.name, err)
				mu.Unlock()
			}
		}()
		pause.For(ctx, faultInterval/2+time.Duration(r.Int64N(int64(faultInterval))))
		env.checkExits()
	}
	wg.Wait()
	return failed
}

// drawFault draws a fault among those that the options allow.
func (env *Environment) drawFault(r *rand.Rand) fault {
	for {
		if f := faults[r.IntN(len(faults))]; env.opts.Only == "" || f.name == env.opts.Only {
			return f
		}
	}
}
