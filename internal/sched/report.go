package sched

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/wire"
)

// Run reports this node's holds to each new broker, and to every broker each
// reportInterval, until the context ends.
func (b *Brokered) Run(ctx context.Context) {
	defer b.background.Wait()
	b.background.Add(1)
	go func() {
		defer b.background.Done()
		b.monitor.run(ctx)
	}()
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		changed := b.members.Changed()
		b.report(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
			b.report(ctx, true)
		case <-b.returned:
		case <-time.After(retryPause * 4):
		}
	}
}

// report reports this node's holds to the brokers. Brokers that have a report
// get another only if all is set.
func (b *Brokered) report(ctx context.Context, all bool) {
	view := b.views.View()
	if view == nil {
		return
	}
	for i := range view.Config.Pools {
		pool := view.Config.Pools[i].Name
		owner, ok := b.members.Owner(broker.Key(pool))
		if !ok {
			continue
		}
		id := processID(owner)
		b.mu.Lock()
		if b.reportedTo[pool] == id && !all {
			b.mu.Unlock()
			continue
		}
		b.reportedTo[pool] = id // Before it is sent: if the broker loses its state meanwhile, this is forgotten.
		r := b.reportOf(pool)
		b.mu.Unlock()
		b.background.Add(1)
		go func() {
			defer b.background.Done()
			if !b.sendReport(ctx, owner, r) {
				b.forgetReport(pool)
			}
		}()
	}
}

// forgetReport makes the next report include a pool's broker: the same process may have
// lost its state after a stall.
func (b *Brokered) forgetReport(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reportedTo, pool)
}

// brokerReturned makes the next report include a broker that answers again, and wakes Run: asks that
// were given up meanwhile may have reached it, and releases may not.
func (b *Brokered) brokerReturned(owner wire.Member) {
	b.mu.Lock()
	for pool, id := range b.reportedTo {
		if id == processID(owner) {
			delete(b.reportedTo, pool)
		}
	}
	b.mu.Unlock()
	select {
	case b.returned <- struct{}{}:
	default: // Run has yet to act on the last one.
	}
}

// sendReport sends a report and returns whether the broker accepted it.
func (b *Brokered) sendReport(ctx context.Context, owner wire.Member, r *wire.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if owner.Name == b.members.Self().Name {
		taken, _ := b.local.Report(ctx, r)
		return taken == true
	}
	taken := false
	if err := b.peers.Call(ctx, owner.PeerAddress, broker.MethodReport, r, &taken); err != nil {
		b.log.Debug("report to broker failed", "peer", owner.Name, "error", err.Error())
	}
	return taken
}

// reportOf returns a report on a pool, numbered like an ask so that later ones have higher numbers; the
// caller holds the lock.
func (b *Brokered) reportOf(pool string) *wire.Report {
	b.lastAsk++
	r := &wire.Report{Node: b.members.Self().Name, Pool: pool, Holds: b.holdsOf(pool), Process: b.process, LastAsk: b.lastAsk}
	for ask, askedIn := range b.asking {
		if askedIn == pool {
			r.Asking = append(r.Asking, ask)
		}
	}
	return r
}

// holdsOf returns this node's holds in a pool; the caller holds the lock.
func (b *Brokered) holdsOf(pool string) []wire.Hold {
	var out []wire.Hold
	for _, h := range b.holds {
		if h.pool == pool {
			out = append(out, h.Hold)
		}
	}
	return out
}
