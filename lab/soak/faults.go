package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
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

	// cutAll is how long all nodes are cut from the store while a key is taken away:
	// longer than a key may still be used then.
	cutAll = revokeWithin + 2*time.Second
)

// fault is one kind of fault: what it does, for how long at most, and whether
// promises with a time bound are suspended meanwhile.
type fault struct {
	name    string
	longest time.Duration
	suspend bool
	inject  func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error
}

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

// onNode returns a fault of a node that no other fault has taken; where another has,
// nothing happens.
func onNode(do func(ctx context.Context, w *World, n *node, d time.Duration) error) func(context.Context, *World, *rand.Rand, time.Duration) error {
	return func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
		n := w.take(r)
		if n == nil {
			return nil
		}
		defer w.giveBack(n)
		return do(ctx, w, n, d)
	}
}

// killNode kills a node and starts it again after a while.
func killNode(ctx context.Context, w *World, n *node, d time.Duration) error {
	w.expect(n)
	n.Kill()
	pause.For(ctx, d)
	return w.launch(n)
}

// stopNode stops a node as planned and starts it again after a while.
func stopNode(ctx context.Context, w *World, n *node, d time.Duration) error {
	w.expect(n)
	if err := n.Stop(stopGrace); err != nil {
		w.ledger.exited(fmt.Sprintf("%s did not stop as planned: %v", n.name, err))
		n.Kill()
	}
	pause.For(ctx, d)
	return w.launch(n)
}

// freezeNode freezes a node and wakes it.
func freezeNode(ctx context.Context, w *World, n *node, d time.Duration) error {
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause.For(ctx, d)
	return n.Signal(syscall.SIGCONT)
}

// hangUp tells a node to read its settings again.
func hangUp(_ context.Context, w *World, n *node, _ time.Duration) error {
	return n.Signal(syscall.SIGHUP)
}

// atStore returns a fault of the way between one node and the store.
func atStore(m relay.Mode) func(context.Context, *World, *rand.Rand, time.Duration) error {
	return onWay(m, func(n *node) *relay.Relay { return n.store })
}

// atCallers returns a fault of the way between callers and one node.
func atCallers(m relay.Mode) func(context.Context, *World, *rand.Rand, time.Duration) error {
	return onWay(m, func(n *node) *relay.Relay { return n.callers })
}

// onWay returns a fault of one of the ways of one node.
func onWay(m relay.Mode, way func(n *node) *relay.Relay) func(context.Context, *World, *rand.Rand, time.Duration) error {
	return func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
		w.mu.Lock()
		n := w.nodes[r.IntN(len(w.nodes))]
		w.mu.Unlock()
		way(n).Set(m)
		pause.For(ctx, d)
		way(n).Set(relay.Pass)
		return nil
	}
}

// store returns a fault of the store.
func store(f platform.Faults) func(context.Context, *World, *rand.Rand, time.Duration) error {
	return func(ctx context.Context, w *World, _ *rand.Rand, d time.Duration) error {
		if err := w.post("/control/faults", f); err != nil {
			return err
		}
		pause.For(ctx, d)
		return w.post("/control/faults", platform.Faults{})
	}
}

// anyEngine returns an engine by chance.
func (w *World) anyEngine(r *rand.Rand) (*engine, *relay.Relay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[r.IntN(len(w.engines))]
	return e, w.relays[e.id]
}

// misbehave lets about half of the engines misbehave, each in one or two of its ways.
func misbehave(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	w.mu.Lock()
	engines := append([]*engine(nil), w.engines...)
	w.mu.Unlock()
	for _, e := range engines {
		if r.IntN(2) == 0 {
			e.odd.Store(int64(r.IntN(modesOfEngines)))
			e.even.Store(int64(r.IntN(modesOfEngines)))
		}
	}
	pause.For(ctx, d)
	for _, e := range engines {
		e.odd.Store(modeWell)
		e.even.Store(modeWell)
	}
	return nil
}

// atEngine returns a fault of the way to one engine.
func atEngine(m relay.Mode) func(context.Context, *World, *rand.Rand, time.Duration) error {
	return func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
		_, way := w.anyEngine(r)
		way.Set(m)
		pause.For(ctx, d)
		way.Set(relay.Pass)
		return nil
	}
}

// replace takes an engine out of the world and puts a new one in its place.
func (w *World) replace(e *engine) error {
	w.mu.Lock()
	for i, other := range w.engines {
		if other == e {
			w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	return w.addEngine(e.pool)
}

// crashEngine ends an engine without a word; its entry goes later.
func crashEngine(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e, way := w.anyEngine(r)
	if err := w.replace(e); err != nil {
		return err
	}
	e.close()
	way.Set(relay.Cut)
	pause.For(ctx, d)
	return w.write(row{"servers", e.id, nil})
}

// drainEngine lets an engine say that it leaves, serve on for a while, and end.
func drainEngine(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e, _ := w.anyEngine(r)
	if err := w.replace(e); err != nil {
		return err
	}
	if err := w.putEngine(e, "draining"); err != nil {
		return err
	}
	w.ledger.mark(w.ledger.leaving, e.id, time.Now())
	pause.For(ctx, drainWithin+d)
	e.close()
	return w.write(row{"servers", e.id, nil})
}

// revokeKey takes a key away, but for the last two.
func revokeKey(_ context.Context, w *World, r *rand.Rand, _ time.Duration) error {
	w.mu.Lock()
	if len(w.keys) <= 2 {
		w.mu.Unlock()
		return nil
	}
	i := r.IntN(len(w.keys))
	gone := w.keys[i]
	w.keys = append(w.keys[:i:i], w.keys[i+1:]...)
	w.mu.Unlock()
	if err := w.putConfig(); err != nil {
		return err
	}
	w.ledger.mark(w.ledger.revoked, gone.text, time.Now())
	return nil
}

// revokeUnseen takes a key away while no node can hear of it.
func revokeUnseen(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	w.mu.Lock()
	nodes := append([]*node(nil), w.nodes...)
	w.mu.Unlock()
	for _, n := range nodes {
		n.store.Set(relay.Cut)
	}
	err := revokeKey(ctx, w, r, d)
	pause.For(ctx, cutAll)
	for _, n := range nodes {
		n.store.Set(relay.Pass)
	}
	return err
}

// giveKey gives a new team key that callers do not use, so that the version rises.
func giveKey(_ context.Context, w *World, r *rand.Rand, _ time.Duration) error {
	w.mu.Lock()
	w.keys = append(w.keys, key{fmt.Sprintf("new-%d", r.Uint64()), "team-0"})
	w.mu.Unlock()
	return w.putConfig()
}
