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
	// orderInterval is how often the holder checks the load and the engines: engines announce that they leave some 2.5 s
	// before, and start in four.
	orderInterval = 250 * time.Millisecond

	// demandWindow is the period over which the load is measured: requests arrive in bursts, and one half second may have three
	// times as many as the next.
	demandWindow = 2 * time.Second

	// nodeWorkTTL is how long a node's report of its work is valid.
	nodeWorkTTL = 3 * time.Second
)

type (
	// demand is the work given to engines by all nodes.
	demand struct {
		since time.Time // since is when this node became the holder.
		nodes map[string]*nodeWork
	}

	// nodeWork is the work given by one node: its latest report, and the one before.
	nodeWork struct {
		at, beforeAt time.Time
		work, before map[string]scaling.Demand
	}
)

// update adds a node's report of its total work since its start.
func (d *demand) update(now time.Time, node string, work map[string]scaling.Demand) {
	g := d.nodes[node]
	if g == nil {
		d.nodes[node] = &nodeWork{at: now, beforeAt: now, work: work, before: work}
		return
	}
	if now.Sub(g.at) >= demandWindow/2 {
		g.before, g.beforeAt = g.work, g.at
		g.work, g.at = work, now
	}
}

// pool returns how many engines of a pool the recent work keeps busy.
func (d *demand) pool(now time.Time, pool string) (sum scaling.Demand) {
	for name, g := range d.nodes {
		elapsed := g.at.Sub(g.beforeAt)
		switch {
		case now.Sub(g.at) > nodeWorkTTL:
			delete(d.nodes, name)
		case elapsed > 0:
			sum.All += max(0, g.work[pool].All-g.before[pool].All) / float64(elapsed.Milliseconds())
			sum.Upper += max(0, g.work[pool].Upper-g.before[pool].Upper) / float64(elapsed.Milliseconds())
		}
	}
	return sum
}

// orderEngines orders engines while this node is the holder, until the context ends.
func (d *Duties) orderEngines(ctx context.Context) {
	var backoff pause.Backoff
	for pause.For(ctx, orderInterval) {
		now := clock.Now()
		if _, ok := d.Holds(now); !ok {
			pause.For(ctx, idlePoll)
			continue
		}
		for _, p := range d.node.Pools(now) {
			for _, o := range d.decide(now, p) {
				if err := d.placeOrder(ctx, o); err != nil {
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
	s.ObserveLoad(now, d.demand.pool(now, p.Name))
	return s.Decide(now, p.Limits, p.Halls)
}

// placeOrder places one order. It returns an error if the platform was not reachable.
func (d *Duties) placeOrder(ctx context.Context, o scaling.Order) error {
	begin := clock.Now()
	term, ok := d.Holds(begin)
	if !ok {
		return errNotHolder
	}
	err := d.callPlatform(ctx, term, func(ctx context.Context) error { return d.platform.Order(ctx, d.settings.Name, term.Token, o) })
	now := clock.Now()
	d.mu.Lock()
	s := d.scaler(o.Pool)
	need := s.Need(now)
	switch {
	case err == nil:
		s.OrderAccepted(now, o)
	case errors.Is(err, ErrNoCapacity), errors.Is(err, ErrRefused):
		s.OrderRefused(now, o)
	}
	d.mu.Unlock()
	line := []any{"pool", o.Pool, "hall", o.Hall, "spot", o.Spot, "count", o.Count, "need", need, "token", term.Token, "ms", now.Sub(begin).Milliseconds()}
	if o.Reason != "" {
		line = append(line, "reason", o.Reason)
	}
	if err == nil {
		d.log.Info("engines ordered", line...)
		return nil
	}
	d.log.Warn("cannot order engines", append(line, "error", err.Error())...)
	if errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrRefused) {
		return nil
	}
	return err
}
