package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// afterDrain is how long starts at an engine that left are still counted.
const afterDrain = time.Second

// Options size a soak.
type Options struct {
	Seed    uint64
	Nodes   int
	Engines int
	Callers int
	Faults  time.Duration // Faults is how long faults are injected.
	Calm    time.Duration // Calm is how long requests are counted after the last fault.
	Dir     string        // Dir takes settings and logs.
	Program string        // Program is the node's; that of this repository if empty.
	Only    string        // Only is the one kind of fault that is injected; all kinds if empty.
}

// Run runs a soak and returns the ledger of what was seen.
func Run(ctx context.Context, o Options) (*Ledger, error) {
	if o.Program == "" {
		o.Program = "croftturn"
	}
	w, err := start(o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			newCaller(w, fmt.Sprintf("c%d", i), o.Seed*100+uint64(i)).run(ctx)
		}()
	}
	err = w.injectFaults(ctx)
	if err == nil {
		err = w.calm(ctx)
	}
	cancel()
	wg.Wait()
	w.checkExits()
	return w.ledger, err
}

// leaveInCalm lets an engine say that it leaves, and serve on, while nothing else is at
// fault: only then is it a finding that it gets new work later.
func (w *World) leaveInCalm() error {
	e, _ := w.anyEngine(rand.New(rand.NewPCG(w.opts.Seed, 11)))
	if err := w.putEngine(e, "draining"); err != nil {
		return err
	}
	w.ledger.mark(w.ledger.leaving, e.id, time.Now())
	return nil
}

// calm waits until the nodes are back and counts what is served then.
func (w *World) calm(ctx context.Context) error {
	if err := w.waitReady(12 * time.Second); err != nil {
		return fmt.Errorf("after the last fault: %w", err)
	}
	pause.For(ctx, settle)
	begin := time.Now()
	if err := w.leaveInCalm(); err != nil {
		return err
	}
	pause.For(ctx, max(w.opts.Calm, drainWithin+afterDrain))
	served, asked := w.ledger.Served(begin)
	if asked == 0 || float64(served) < 0.9*float64(asked) {
		return fmt.Errorf("after the last fault %d of %d requests are served", served, asked)
	}
	return nil
}
