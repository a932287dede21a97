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
	// betweenFaults is the usual time between the beginnings of two faults; most
	// last longer, so that they overlap.
	betweenFaults = 700 * time.Millisecond

	// longestFault bounds one fault.
	longestFault = 6 * time.Second
)

type (
	// fault is one kind of fault: what it does, for how long at most, and whether
	// promises with a time bound are suspended meanwhile.
	fault struct {
		name    string
		longest time.Duration
		suspend bool
		inject  injection
	}

	// injection does a fault to a world for some time, and undoes it.
	injection func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error
)

// faults lists the kinds.
var faults = []fault{
	{"kill a node", time.Second, true, onNode(killNode)},
	{"stop a node", time.Second, true, onNode(stopNode)},
	{"freeze a node", longestFault, true, onNode(freezeNode)},
	{"hang up a node", time.Second, false, onNode(hangUp)},
	{"cut a node from the store", longestFault, true, atStore(relay.Cut)},
	{"silence the store for a node", longestFault, true, atStore(relay.Hold)},
	{"delay the store for a node", longestFault, true, atStore(relay.Delay)},
	{"answers of the store held back from a node", longestFault, true, atStore(relay.HoldBack)},
	{"a node's connections to the store reset", 100 * time.Millisecond, true, atStore(relay.Reset)},
	{"callers' connections to a node reset", 100 * time.Millisecond, false, atCallers(relay.Reset)},
	{"answers of a node held back from callers", 2 * time.Second, false, atCallers(relay.HoldBack)},
	{"callers delayed", 3 * time.Second, false, atCallers(relay.Delay)},
	{"store's clock ahead", 4 * time.Second, false, store(platform.Faults{ClockMs: 20_000})},
	{"store's clock behind", 4 * time.Second, false, store(platform.Faults{ClockMs: -20_000})},
	{"store down", 4 * time.Second, true, store(platform.Faults{Down: true})},
	{"store slow", 4 * time.Second, true, store(platform.Faults{SlowMs: 400})},
	{"store loses answers", 2 * time.Second, true, store(platform.Faults{LoseAcks: 5})},
	{"store's feeds deaf", 2 * time.Second, true, store(platform.Faults{Deaf: true})},
	{"store forgets", 100 * time.Millisecond, true, store(platform.Faults{Forget: true})},
	{"engines misbehave", 4 * time.Second, false, misbehave},
	{"engines misbehave for long", longestFault, false, misbehave},
	{"engines misbehave, then well", 2 * time.Second, false, misbehave},
	{"way to an engine cut", 3 * time.Second, false, atEngine(relay.Cut)},
	{"way to an engine silent", 3 * time.Second, false, atEngine(relay.Hold)},
	{"answers of an engine held back", 3 * time.Second, false, atEngine(relay.HoldBack)},
	{"connections to an engine reset", 100 * time.Millisecond, false, atEngine(relay.Reset)},
	{"engine crashes", time.Second, false, crashEngine},
	{"engine leaves", 2500 * time.Millisecond, false, drainEngine},
	{"engine leaves, its entry ready", 2500 * time.Millisecond, false, leaveUnseen},
	{"engine names a limit", 2 * time.Second, false, nameLimit},
	{"engine asks for rest", 4 * time.Second, false, askForRest},
	{"engine starts again under its id", 2 * time.Second, false, restartEngine},
	{"a request crashes engines", longestFault, false, crashingRequest},
	{"entries of other writers", 2 * time.Second, false, strangeEntries},
	{"hall evacuated", longestFault, false, evacuateHall},
	{"key taken away", 100 * time.Millisecond, false, revokeKey},
	{"key taken away unseen", cutAll, true, revokeUnseen},
	{"key given back", 100 * time.Millisecond, false, giveKey},
}

// injectFaults injects faults for the time of the options, and waits until all
// have ended.
func (w *World) injectFaults(ctx context.Context) error {
	r := rand.New(rand.NewPCG(w.opts.Seed, 42))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	end := time.Now().Add(w.opts.Faults)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := w.drawFault(r)
		d := time.Duration(r.Int64N(int64(f.longest)))
		own := rand.New(rand.NewPCG(r.Uint64(), 3))
		wg.Add(1)
		go func() {
			defer wg.Done()
			begin := time.Now()
			err := f.inject(ctx, w, own, d)
			if f.suspend {
				w.ledger.fault(begin, time.Now())
			}
			if err != nil {
				mu.Lock()
				failed = fmt.Errorf("%s: %w", f.name, err)
				mu.Unlock()
			}
		}()
		pause.For(ctx, betweenFaults/2+time.Duration(r.Int64N(int64(betweenFaults))))
		w.checkExits()
	}
	wg.Wait()
	return failed
}

// drawFault draws a kind of fault among those of the options.
func (w *World) drawFault(r *rand.Rand) fault {
	for {
		if f := faults[r.IntN(len(faults))]; w.opts.Only == "" || f.name == w.opts.Only {
			return f
		}
	}
}
