package edge

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/relaybuf"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/telemetry"
)

// newRelayBudget returns what bounds the answers and requests that this node holds, or nil if no pool
// can be interactive.
func newRelayBudget(s *settings.Settings) *relaybuf.Budget {
	if s.InteractiveTargetMs <= 0 {
		return nil
	}
	return relaybuf.NewBudget(relaybuf.Limit(s.MemoryMb))
}

// relayBuffers returns the dispatcher's option for buffered answers.
func (e *Edge) relayBuffers() dispatch.Option {
	if e.relayBudget == nil {
		return func(*dispatch.Dispatcher) {}
	}
	return dispatch.WithRelayBuffers(e.relayBudget, e.metrics.CutOff)
}

// startRelaySweeps starts cutting off callers that do not read.
func (e *Edge) startRelaySweeps(ctx context.Context) {
	if e.relayBudget != nil {
		e.startGoroutine(func() { e.relayBudget.Run(ctx) })
	}
}

// registerRelay registers the instruments of buffered answers.
func (m *metrics) registerRelay(t *telemetry.Telemetry, b *relaybuf.Budget) error {
	if b == nil {
		return nil
	}
	var err error
	if m.cutOff, err = t.Meter.Int64Counter("croftturn.edge.answers_cut_off"); err != nil {
		return fmt.Errorf("create instruments: %w", err)
	}
	return t.RegisterGauges(
		telemetry.Gauge{Name: "croftturn.edge.held_bytes", Help: "bytes held in request bodies and in answers that callers have not read", Read: b.Held},
		telemetry.Gauge{Name: "croftturn.edge.held_body_bytes", Help: "bytes held in request bodies", Read: b.Bodies},
		telemetry.Gauge{Name: "croftturn.edge.answers_paused", Help: "answers not read from their engines because their callers lag", Read: b.Paused},
	)
}

// CutOff counts a caller that was cut off because it did not read its answer.
func (m *metrics) CutOff(pool string, r relaybuf.Reason) {
	m.cutOff.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("reason", string(r))))
}
