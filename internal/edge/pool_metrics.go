package edge

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/croftturn/croftturn/internal/clock"
)

// registerPoolGauges registers gauges with a value for each pool, read at each scrape.
func registerPoolGauges(e *Edge) error {
	for _, g := range []struct {
		name, help string
		read       func(now time.Time) map[string]int
	}{
		{"croftturn.edge.engines_slowed", "engines whose work takes more than 1.5 times as long as usual, as they say", e.placement.SlowedEngines},
		{"croftturn.edge.engines_leaving", "draining engines that still get requests", e.placement.LeavingEngines},
		{"croftturn.edge.stream_set", "engines kept for streams with tight pauses", func(time.Time) map[string]int { return e.placement.StreamSets() }},
		{"croftturn.edge.spot_replacements", "on-demand engines ordered in place of spot engines, shown by the holder of the duties", e.spotReplacements},
		{"croftturn.edge.overload_margin_percent", "share of the target by which new requests must be expected to begin before it", func(time.Time) map[string]int { return e.dispatcher.OverloadMargins() }},
	} {
		_, err := e.tele.Meter.Int64ObservableGauge(g.name, metric.WithDescription(g.help), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for pool, n := range g.read(clock.Now()) {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("pool", pool)))
			}
			return nil
		}))
		if err != nil {
			return fmt.Errorf("observe %s: %w", g.name, err)
		}
	}
	return nil
}
