package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/croftturn/croftturn/internal/cachewatch"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

// watchInterval is how often a node checks which engines' caches it has to watch. When a hub comes or
// goes, another takes over within this time after it has noticed.
const watchInterval = 250 * time.Millisecond

// cacheMetrics counts the cache events of engines by pool.
type cacheMetrics struct {
	watched                          metric.Int64UpDownCounter
	calls, events, forgotten, failed metric.Int64Counter
}

// newCacheMetrics registers the instruments.
func newCacheMetrics(meter metric.Meter) (*cacheMetrics, error) {
	m := &cacheMetrics{}
	var errs [5]error
	m.watched, errs[0] = meter.Int64UpDownCounter("croftturn.edge.cache_engines_watched", metric.WithDescription("engines whose cache events this node reads"))
	m.events, errs[1] = meter.Int64Counter("croftturn.edge.cache_events", metric.WithDescription("cache events read"))
	m.forgotten, errs[2] = meter.Int64Counter("croftturn.edge.cache_parts_forgotten", metric.WithDescription("prompt parts forgotten because they left an engine's cache"))
	m.failed, errs[3] = meter.Int64Counter("croftturn.edge.cache_event_failures", metric.WithDescription("failed calls for cache events"))
	m.calls, errs[4] = meter.Int64Counter("croftturn.edge.cache_event_calls", metric.WithDescription("ended calls for cache events, at most 60 a second"))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, fmt.Errorf("create instruments for cache events: %w", err)
	}
	return m, nil
}

// byPool returns the attributes of a pool's counts.
func byPool(pool string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("pool", pool))
}

// CacheWatched counts engines that this node watches.
func (m *cacheMetrics) CacheWatched(pool string, change int) {
	m.watched.Add(context.Background(), int64(change), byPool(pool))
}

// CacheEvents counts a call, its events and the parts forgotten for them.
func (m *cacheMetrics) CacheEvents(pool string, events, forgotten int) {
	m.calls.Add(context.Background(), 1, byPool(pool))
	if events > 0 {
		m.events.Add(context.Background(), int64(events), byPool(pool))
	}
	if forgotten > 0 {
		m.forgotten.Add(context.Background(), int64(forgotten), byPool(pool))
	}
}

// CacheEventsFailed counts a failed call.
func (m *cacheMetrics) CacheEventsFailed(pool string) {
	m.calls.Add(context.Background(), 1, byPool(pool))
	m.failed.Add(context.Background(), 1, byPool(pool))
}

// watchCaches keeps watching the caches of this node's share of the engines until the context ends.
func (e *Edge) watchCaches(ctx context.Context) {
	for ctx.Err() == nil {
		e.cacheWatcher.Sync(e.enginesToWatch(clock.Now()))
		pause.For(ctx, watchInterval)
	}
	e.cacheWatcher.Close()
}

// enginesToWatch returns the engines whose caches this node watches: its share of those in its hall
// among the hubs there that serve callers.
func (e *Edge) enginesToWatch(now time.Time) []placement.Engine {
	pools := e.watchedPools()
	if len(pools) == 0 || !e.gossip.IsHub() || !e.Ready(now) || e.partitioned(e.reach.Unreachable()) {
		return nil
	}
	var others []string
	for _, p := range e.gossip.Hubs(now) {
		if p.Hall == e.settings.Hall && p.State.Ready && !p.State.Partitioned {
			others = append(others, p.Name)
		}
	}
	share := cachewatch.NewShare(e.settings.Instance, others)
	var out []placement.Engine
	for _, pool := range pools {
		out = append(out, e.placement.Serving(pool, e.settings.Hall, share.Has)...)
	}
	return out
}

// watchedPools returns the interactive pools whose engines copy cached parts from each other and hold
// calls for cache events.
func (e *Edge) watchedPools() []string {
	table := e.dispatcher.Table()
	if table == nil {
		return nil
	}
	var out []string
	for _, p := range table.Pools() {
		if table.Interactive(p.Name, ms(e.settings.InteractiveTargetMs)) && p.Model.Transfers && p.Model.MaxEventCalls > 0 {
			out = append(out, p.Name)
		}
	}
	return out
}
