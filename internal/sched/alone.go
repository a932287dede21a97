package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

// acquireFallback uses the fallback until it grants a slot or a broker may be reachable
// again. The slot is reported to the next broker like any other.
func (b *Brokered) acquireFallback(ctx context.Context, owner wire.Member, changed <-chan struct{}, req Request) (Grant, error) {
	b.monitor.markUnreachable(owner)
	alone, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go b.awaitBroker(alone, cancel, owner, changed)
	g, err := b.fallback.Acquire(alone, req)
	if err != nil && context.Cause(alone) == errBrokerBack {
		return Grant{}, errBrokerBack
	}
	if err != nil {
		return Grant{}, fmt.Errorf("decide without a broker: %w", err)
	}
	b.recordHold(req, g.Engine.Name)
	g.Why = "no broker reached; " + g.Why
	return g, nil
}

// awaitBroker cancels a wait at the fallback when the members change or the broker
// answers again.
func (b *Brokered) awaitBroker(ctx context.Context, cancel context.CancelCauseFunc, owner wire.Member, changed <-chan struct{}) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			cancel(errBrokerBack)
			return
		case <-tick.C:
			if !b.monitor.isUnresponsive(owner) {
				cancel(errBrokerBack)
				return
			}
		}
	}
}
