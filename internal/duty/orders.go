package duty

import (
	"context"
	"errors"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/scaling"
)

const (
	// ordersEvery is how often the holder looks at the load and the engines: engines that leave say so some 2.5 s
	// before, and start in four.
	ordersEvery = 250 * time.Millisecond

	// demandOver is over how long the load is measured: requests come in clumps, of which half a second may have three
	// times as many as the next.
	demandOver = 2 * time.Second

	// givenLife is how long what a node told of its work counts.
	givenLife = 3 * time.Second
)

type (
	// demand is what engines are given to read, over all nodes.
	demand struct {
		since time.Time // since is when this node became the holder.
		nodes map[string]*given
	}

	// given is the work of one node.
	given struct {
		at, beforeAt time.Time
		work, before map[string]scaling.Demand
	}
)

// take takes what a node told of its work since its start.
func (d *demand) take(now time.Time, node string, work map[string]scaling.Demand) {
	g := d.nodes[node]
	if g == nil {
		d.nodes[node] = &given{at: now, beforeAt: now, work: work, before: work}
		return
	}
	if now.Sub(g.at) >= demandOver/2 {
		g.before, g.beforeAt = g.work, g.at
		g.work, g.at = work, now
	}
}

// of returns how many engines of a pool are kept busy with what was told lately.
func (d *demand) of(now time.Time, pool string) (sum scaling.Demand) {
	for name, g := range d.nodes {
		over := g.at.Sub(g.beforeAt)
		switch {
		case now.Sub(g.at) > givenLife:
			delete(d.nodes, name)
		case over > 0:
			sum.All += max(0, g.work[pool].All-g.before[pool].All) / float64(over.Milliseconds())
			sum.Upper += max(0, g.work[pool].Upper-g.before[pool].Upper) / float64(over.Milliseconds())
		}
	}
	return sum
}

// orderEngines orders engines while this node is the holder, until the context ends.
func (d *Duties) orderEngines(ctx context.Context) {
	var backoff pause.Backoff
	for pause.For(ctx, ordersEvery) {
		now := clock.Now()
		if _, ok := d.Holds(now); !ok {
			pause.For(ctx, restPoll)
			continue
		}
		for _, p := range d.node.Pools(now) {
			for _, o := range d.decide(now, p) {
				if err := d.order(ctx, o); err != nil {
					backoff.Wait(ctx)
					break
				}
				backoff.Reset()
			}
		}
	}
}

// decide returns the orders that are due for a pool.
func (d *Duties) decide(now time.Time, p Pool) []scaling.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.scaler(p.Name)
	s.ObserveLoad(now, d.demand.of(now, p.Name))
	return s.Decide(now, p.Limits, p.Halls)
}

// order makes one order. An error says that the platform could not be called.
func (d *Duties) order(ctx context.Context, o scaling.Order) error {
	begin := clock.Now()
	term, ok := d.Holds(begin)
	if !ok {
		return errNotHolder
	}
	err := d.call(ctx, term, func(ctx context.Context) error { return d.platform.Order(ctx, d.settings.Name, term.Token, o) })
	now := clock.Now()
	d.mu.Lock()
	s := d.scaler(o.Pool)
	need := s.Need(now)
	switch {
	case err == nil:
		s.OrderAccepted(now, o)
	case errors.Is(err, ErrNone), errors.Is(err, ErrRefused):
		s.OrderRefused(now, o)
	}
	d.mu.Unlock()
	if err == nil {
		d.log.Info("engines ordered", "pool", o.Pool, "hall", o.Hall, "spot", o.Spot, "count", o.Count, "need", need, "token", term.Token, "ms", now.Sub(begin).Milliseconds())
		return nil
	}
	d.log.Warn("engines not ordered", "pool", o.Pool, "hall", o.Hall, "spot", o.Spot, "count", o.Count, "need", need, "token", term.Token, "ms", now.Sub(begin).Milliseconds(), "error", err.Error())
	if errors.Is(err, ErrNone) || errors.Is(err, ErrRefused) {
		return nil
	}
	return err
}
