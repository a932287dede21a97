package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// drainObservation is how long after drainWithin starts at a draining engine are still
// checked.
const drainObservation = time.Second

// Options configures a soak run.
type Options struct {
	Seed     uint64
	Nodes    int
	Engines  int
	Callers  int
	Faults   time.Duration // Faults is how long faults are injected.
	Cooldown time.Duration // Cooldown is how long requests are counted after recovery from the last fault.
	Dir      string        // Dir receives settings files and logs.
	Program  string        // Program is the path of the node program; "croftturn" from this repository if empty.
	Only     string        // Only restricts the run to the fault with this name; all faults if empty.
	Late     bool          // Late makes requests long late in each stop, whatever the seed.
	Timeout  time.Duration // Timeout is that of all routes; requestTimeoutMs if zero.
	MaxBody  int           // MaxBody is the longest body of a request; usualBodyBytes if zero. Run sets longBodyBytes.
}

// timeoutMs returns the timeout of all routes, in milliseconds.
func (o Options) timeoutMs() int {
	if o.Timeout > 0 {
		return int(o.Timeout.Milliseconds())
	}
	return requestTimeoutMs
}

// maxBody returns the longest body that a request may have.
func (o Options) maxBody() int {
	if o.MaxBody > 0 {
		return o.MaxBody
	}
	return usualBodyBytes
}

// Run runs a soak and returns the ledger of observations.
func Run(ctx context.Context, o Options) (*Ledger, error) {
	if o.Program == "" {
		o.Program = "croftturn"
	}
	o.MaxBody = longBodyBytes
	env, err := start(o)
	if env != nil {
		defer env.close()
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
			newCaller(env, fmt.Sprintf("c%d", i), o.Seed*100+uint64(i)).run(ctx)
		}()
	}
	err = env.injectFaults(ctx)
	if err == nil {
		err = env.checkRecovery(ctx)
	}
	cancel()
	wg.Wait()
	env.checkExits()
	env.ledger.checkTokens(env.platform.DutyCalls())
	return env.ledger, err
}

// drainWithoutFaults marks one engine as draining while it keeps serving. No fault is active,
// so any later request to it is a violation.
func (env *Environment) drainWithoutFaults() error {
	e, _ := env.randomEngine(rand.New(rand.NewPCG(env.opts.Seed, 11)))
	if err := env.putEngine(e, "draining"); err != nil {
		return err
	}
	env.ledger.recordTime(env.ledger.leaving, e.id, time.Now())
	return nil
}

// checkRecovery waits until the nodes are ready again and checks that at least 90 percent of
// the requests are served.
func (env *Environment) checkRecovery(ctx context.Context) error {
	if err := env.waitReady(12 * time.Second); err != nil {
		return fmt.Errorf("after the last fault: %w", err)
	}
	pause.For(ctx, recoveryTime)
	begin := time.Now()
	if err := env.drainWithoutFaults(); err != nil {
		return err
	}
	pause.For(ctx, max(env.opts.Cooldown, drainWithin+drainObservation))
	served, asked := env.ledger.Served(begin)
	if asked == 0 || float64(served) < 0.9*float64(asked) {
		return fmt.Errorf("only %d of %d requests served after the last fault", served, asked)
	}
	return nil
}
