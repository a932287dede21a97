package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/usage"
)

// metrics holds the instruments that count requests.
type metrics struct {
	ended        metric.Int64Counter
	retried      metric.Int64Counter
	crashed      metric.Int64Counter
	cutOff       metric.Int64Counter // cutOff is nil if no answers are buffered.
	refused      metric.Int64Counter // refused counts refusals of interactive pools by reason.
	second       metric.Int64Counter // second counts requests of interactive pools that went to a second choice.
	continued    metric.Int64Counter // continued counts the streams that callers take up by decision.
	leaving      metric.Int64Counter // leaving counts requests of interactive pools to leaving engines.
	reachability metric.Int64Counter // reachability counts changes of whether a pool is reachable.
	usage        *usage.Counter      // usage is nil where the platform does not ask for usage reports.
	first        metric.Float64Histogram
	total        metric.Float64Histogram
}

// newMetrics registers the instruments of a node.
func newMetrics(e *Edge) (*metrics, error) {
	m := &metrics{}
	var errs [15]error
	meter := e.tele.Meter
	m.ended, errs[0] = meter.Int64Counter("croftturn.edge.requests")
	m.retried, errs[1] = meter.Int64Counter("croftturn.edge.retries")
	m.first, errs[2] = meter.Float64Histogram("croftturn.edge.first.seconds")
	m.total, errs[3] = meter.Float64Histogram("croftturn.edge.total.seconds")
	m.crashed, errs[5] = meter.Int64Counter("croftturn.edge.engines_ended_under_requests")
	m.refused, errs[9] = meter.Int64Counter("croftturn.edge.overload_refusals")
	m.second, errs[10] = meter.Int64Counter("croftturn.edge.second_choices")
	m.leaving, errs[11] = meter.Int64Counter("croftturn.edge.leaving_requests")
	m.reachability, errs[12] = meter.Int64Counter("croftturn.edge.reachability_changes", metric.WithDescription("changes of whether this node reaches any engine of a pool"))
	m.continued, errs[13] = meter.Int64Counter("croftturn.edge.streams_continued", metric.WithDescription("streams that callers took up, by decision"))
	errs[14] = e.tele.RegisterGauges(e.pinGauges()...)
	errs[4] = e.tele.RegisterGauges(
		telemetry.Gauge{Name: "croftturn.edge.active", Help: "requests being served", Read: func() int64 { return int64(e.dispatcher.Active()) }},
		telemetry.Gauge{Name: "croftturn.edge.engine_connections_opened", Help: "connections opened to engines", Read: func() int64 { return e.egress.ConnectionsOpened() }},
		telemetry.Gauge{Name: "croftturn.edge.log_lines_dropped", Help: "log lines dropped", Read: func() int64 { return e.logWriter.Dropped() }},
		telemetry.Gauge{Name: "croftturn.edge.handler_panics", Help: "requests whose handler panicked", Read: e.serverStats.Panics.Load},
		telemetry.Gauge{Name: "croftturn.edge.connections_aborted", Help: "requests whose connection was closed without a whole answer", Read: e.serverStats.Aborts.Load},
		telemetry.Gauge{Name: "croftturn.edge.connections_closed_unread", Help: "callers' connections closed by this node though bytes lay unread in them", Read: e.serverStats.ClosedUnread.Load},
		telemetry.Gauge{Name: "croftturn.edge.connections_closed_waiting", Help: "callers' connections closed at the end of this node though they had not got a whole answer", Read: e.serverStats.ClosedWaiting.Load},
		telemetry.Gauge{Name: "croftturn.edge.connections_closed_untaken", Help: "connections that a listener held when it was closed", Read: e.serverStats.ClosedUntaken.Load},
		telemetry.Gauge{Name: "croftturn.edge.requests_crossed", Help: "idle connections that this node closed as a request came", Read: e.serverStats.Crossed.Load},
		telemetry.Gauge{Name: "croftturn.edge.late_ms", Help: "how late this process was at most in the last seconds", Read: func() int64 { return e.lateness.Recent(clock.Now()).Milliseconds() }},
		telemetry.Gauge{Name: "croftturn.edge.answers_ended_by_stop", Help: "answers that had begun and were ended by the stop of this node", Read: func() int64 { n, _ := e.dispatcher.EndedByStop(); return n }},
		telemetry.Gauge{Name: "croftturn.edge.requests_ended_by_stop", Help: "requests that engines had, without an answer that had begun, ended by the stop of this node", Read: func() int64 { _, n := e.dispatcher.EndedByStop(); return n }},
		telemetry.Gauge{Name: "croftturn.edge.nodes", Help: "nodes alive", Read: func() int64 { return int64(e.gossip.AliveNodes()) }},
		telemetry.Gauge{Name: "croftturn.edge.config_age_ms", Help: "age of the proof that the configuration is the newest", Read: func() int64 { return e.proof.AgeMs(clock.Now()) }},
		telemetry.Gauge{Name: "croftturn.edge.entries_refused", Help: "changes of engines' entries that could not be understood", Read: func() int64 { return e.discovery.Refused() }},
		telemetry.Gauge{Name: "croftturn.edge.configs_refused", Help: "configurations that could not be understood", Read: func() int64 { return e.configsRefused.Load() }},
		telemetry.Gauge{Name: "croftturn.edge.settings_refused", Help: "1 if the settings file that was last read is faulty, so that this node would not start with it", Read: e.settingsRefused.Load},
		telemetry.Gauge{Name: "croftturn.edge.store_era", Help: "how often the store has come back from an older copy, as its answers say", Read: func() int64 { return e.store.Era() }},
		telemetry.Gauge{Name: "croftturn.edge.store_returns", Help: "tables taken over anew since the store came back from an older copy", Read: func() int64 { return e.returns.Load() }},
		telemetry.Gauge{Name: "croftturn.edge.store_rows_kept", Help: "rows and deletions in force of earlier eras of the store", Read: func() int64 { return int64(e.configTable.Kept() + e.engineTable.Kept()) }},
		telemetry.Gauge{Name: "croftturn.edge.absences", Help: "times that this process was away, as by a suspended machine", Read: func() int64 { return e.suspensions.Load() }},
		telemetry.Gauge{Name: "croftturn.edge.requests_held", Help: "requests that get no engine, since engines ended under them", Read: func() int64 { return e.quarantine.Len() }},
		telemetry.Gauge{Name: "croftturn.edge.prompt_parts_held", Help: "prompt parts that get no engine, since engines ended under them", Read: func() int64 { return e.parts.Len() }},
		telemetry.Gauge{Name: "croftturn.edge.prompt_parts_suspected", Help: "prompt parts under which engines ended several times without an answer between, held or not", Read: func() int64 { return e.parts.Suspected() }},
		telemetry.Gauge{Name: "croftturn.edge.engines_limited", Help: "engines that have named a limit of requests", Read: func() int64 { return e.limits.Len() }},
		telemetry.Gauge{Name: "croftturn.edge.engines_resting", Help: "engines that asked this node for rest", Read: func() int64 { return int64(e.placement.BackingOff(clock.Now())) }},
		telemetry.Gauge{Name: "croftturn.edge.pools_unreachable", Help: "pools of whose engines this node reaches none", Read: func() int64 { return int64(len(e.reach.Unreachable())) }},
		telemetry.Gauge{Name: "croftturn.edge.requests_forwarded", Help: "requests sent by way of another node", Read: e.forwards.Sent},
		telemetry.Gauge{Name: "croftturn.edge.cache_parts_not_told", Help: "forgotten prompt parts that did not fit into messages to peers", Read: func() int64 { return e.gossip.EvictionsLeftOut() }},
		telemetry.Gauge{Name: "croftturn.edge.load_updates_sent", Help: "updates of the load at engines sent to peers between messages", Read: func() int64 { sent, _ := e.gossip.LoadUpdates(); return sent }},
		telemetry.Gauge{Name: "croftturn.edge.load_updates_received", Help: "updates of the load at engines received from peers", Read: func() int64 { _, received := e.gossip.LoadUpdates(); return received }},
		telemetry.Gauge{Name: "croftturn.edge.tables_given", Help: "tables given to peers", Read: func() int64 { return e.follower.PullStats().Served }},
		telemetry.Gauge{Name: "croftturn.edge.tables_taken", Help: "tables taken from peers", Read: func() int64 { return e.follower.PullStats().Fetched }},
		telemetry.Gauge{Name: "croftturn.edge.tables_failed", Help: "tables asked of peers in vain", Read: func() int64 { return e.follower.PullStats().Failed }},
		telemetry.Gauge{Name: "croftturn.edge.peer_bytes_out", Help: "bytes sent in calls of peers", Read: func() int64 { return e.traffic.BytesOut.Load() }},
		telemetry.Gauge{Name: "croftturn.edge.peer_bytes_in", Help: "bytes received in calls of peers", Read: func() int64 { return e.traffic.BytesIn.Load() }},
	)
	errs[7] = e.observeInteractivePools(meter)
	errs[8] = registerPoolGauges(e)
	if err := errors.Join(errs[:]...); err != nil {
		return nil, fmt.Errorf("create instruments: %w", err)
	}
	return m, m.registerRelay(e.tele, e.relayBudget)
}

// observeInteractivePools registers the figures of interactive pools.
func (e *Edge) observeInteractivePools(meter metric.Meter) error {
	var errs [5]error
	var transfers, tokens, missed metric.Int64ObservableCounter
	var overhead, rate metric.Float64ObservableGauge
	transfers, errs[0] = meter.Int64ObservableCounter("croftturn.edge.transfers", metric.WithDescription("requests sent with another engine to copy the KV cache from"))
	tokens, errs[1] = meter.Int64ObservableCounter("croftturn.edge.transfer_tokens", metric.WithDescription("prompt tokens to be copied"))
	missed, errs[2] = meter.Int64ObservableCounter("croftturn.edge.transfers_missed", metric.WithDescription("transfers after which the engine seems to have prefilled the prompt"))
	overhead, errs[3] = meter.Float64ObservableGauge("croftturn.edge.prefill_overhead_ms", metric.WithDescription("estimated time to the first event apart from the prefill"))
	rate, errs[4] = meter.Float64ObservableGauge("croftturn.edge.prefill_rate", metric.WithDescription("estimated prefill rate of an engine, in tokens per millisecond"))
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for pool, s := range e.placement.InteractiveStats() {
			labels := metric.WithAttributes(attribute.String("pool", pool))
			o.ObserveInt64(transfers, s.Transfers, labels)
			o.ObserveInt64(tokens, s.TransferTokens, labels)
			o.ObserveInt64(missed, s.TransfersMissed, labels)
			o.ObserveFloat64(overhead, s.PrefillOverhead, labels)
			o.ObserveFloat64(rate, s.PrefillRate, labels)
		}
		return nil
	}, transfers, tokens, missed, overhead, rate)
	return err
}

// Ended counts a request that has ended.
func (m *metrics) Ended(route, outcome string, first, total time.Duration) {
	ctx := context.Background()
	labels := metric.WithAttributes(attribute.String("route", route), attribute.String("outcome", outcome))
	m.ended.Add(ctx, 1, labels)
	if first > 0 {
		m.first.Record(ctx, first.Seconds(), metric.WithAttributes(attribute.String("route", route)))
	}
	m.total.Record(ctx, total.Seconds(), labels)
}

// Retried counts a request that was sent to a second engine.
func (m *metrics) Retried(pool string) {
	m.retried.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool)))
}

// Began counts a request that an engine has started to run for a team.
func (m *metrics) Began(now time.Time, team string) {
	if m.usage != nil && team != "" {
		m.usage.Began(now, team)
	}
}

// EngineCrashed counts a request whose engine crashed while running it.
func (m *metrics) EngineCrashed(pool string) {
	m.crashed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool)))
}

// Overloaded counts a request that an interactive pool refused, and why.
func (m *metrics) Overloaded(pool, reason string) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("reason", reason)))
}

// SecondChoice counts a request of an interactive pool that goes to another engine than the one that
// suits it best, which has too much queued.
func (m *metrics) SecondChoice(pool string) {
	m.second.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool)))
}

// SentToLeaving counts a request that an interactive pool sent to a leaving engine.
func (m *metrics) SentToLeaving(pool string) { m.countLeaving(pool, "sent") }

// CutOffByLeaving counts a request that broke off at a leaving engine.
func (m *metrics) CutOffByLeaving(pool string) { m.countLeaving(pool, "cut_off") }

// countLeaving counts an event of a request to a leaving engine.
func (m *metrics) countLeaving(pool, event string) {
	m.leaving.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("event", event)))
}
