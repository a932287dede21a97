package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/record"
)

// PolicyOracle is the way of deciding that only the benchmark has: one queue in
// the load tool itself, which knows each answer's length and holds every place,
// so that it knows the true load, and sends to the engines without a router.
const PolicyOracle = "oracle"

// oracle decides for the model pool and the service pool of a cluster.
type oracle struct {
	pools   map[string]*broker.Pool
	address map[string]string
	caller  *load.Caller
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// newOracle returns an oracle before a cluster's backends, with the classes of
// the cluster's configuration.
func newOracle(c *cluster.Cluster) (*oracle, error) {
	view, err := config.NewView(c.Configuration())
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &oracle{pools: map[string]*broker.Pool{}, address: map[string]string{}, caller: load.NewCaller(nil), stop: cancel}
	now := time.Now()
	team := func(name string) broker.Team { return broker.Team{Weight: view.Team(name).Weight} }
	for _, p := range view.Config.Pools {
		pool := broker.NewPool(now, p.Name, team, nil)
		var classes []queue.Class
		for _, cl := range view.Config.Classes {
			classes = append(classes, queue.Class{
				Name: cl.Name, Tier: cl.Tier, MinShare: cl.MinShare, MaxWait: time.Duration(cl.MaxWaitMs) * time.Millisecond,
				Target: time.Duration(cl.FirstTokenMs) * time.Millisecond,
			})
		}
		var engines []broker.Engine
		for _, e := range view.Engines(p.Name) {
			engines = append(engines, broker.Engine{Name: e.Name, Slots: e.Slots})
			o.address[e.Name] = e.Address
		}
		pool.Configure(now, broker.Options{QueueLimit: p.QueueLimit, ReserveMargin: p.ReserveMargin}, classes, engines)
		o.pools[p.Name] = pool
	}
	o.wg.Add(1)
	go o.sweep(ctx)
	return o, nil
}

// sweep looks over the queues until the oracle is closed.
func (o *oracle) sweep(ctx context.Context) {
	defer o.wg.Done()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, p := range o.pools {
				p.Sweep(now)
			}
		}
	}
}

// close ends the oracle.
func (o *oracle) close() {
	o.stop()
	o.wg.Wait()
	o.caller.Close()
}

// send decides on a request and sends it to its engine.
func (o *oracle) send(ctx context.Context, r load.Request) record.Attempt {
	begun := time.Now()
	pool, cl := "llm", r.Arrival.Class
	if cl.Service != "" {
		pool = cl.Service
	}
	grant := <-o.pools[pool].Acquire(begun, wire.Acquire{
		Pool: pool, Request: r.Mark, Class: cl.Class, Team: r.Team.Name, PromptTokens: cl.PromptWords, MaxTokens: r.Tokens,
	})
	if grant.Refusal != "" {
		return record.Attempt{
			Mark: r.Mark, Try: r.Try, Class: cl.Class, Tier: cl.Tier, Team: r.Team.Name, OutputRequested: r.Tokens,
			SentMs: begun.UnixMilli(), TotalMs: float64(time.Since(begun).Milliseconds()), Outcome: "not_run", Code: grant.Refusal, RetryAfter: grant.RetryAfterMs,
		}
	}
	waited := time.Since(begun)
	r.Node, r.Begun = o.address[grant.Engine], begun
	s := o.caller.Send(ctx, r)
	rel := wire.Release{
		Pool: pool, Request: r.Mark, Engine: grant.Engine, Status: broker.StatusOK, OutputTokens: s.Tokens,
		DurationMs: int((time.Since(begun) - waited).Milliseconds()), FirstTokenMs: int(s.FirstMs) - int(waited.Milliseconds()),
	}
	if s.Outcome != "completed" {
		rel.Status = broker.StatusFailed
	}
	o.pools[pool].Release(time.Now(), rel)
	return s
}
