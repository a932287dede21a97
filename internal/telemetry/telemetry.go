// Package telemetry sets up JSON logs, traces and metrics.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/croftturn/croftturn/internal/settings"
)

const (
	// closeTimeout bounds flushing spans and metrics on Close.
	closeTimeout = 3 * time.Second

	// traceParentKey is the W3C key of the trace context.
	traceParentKey = "traceparent"
)

// Propagator extracts and injects W3C trace contexts.
var Propagator = propagation.TraceContext{}

type (
	// Telemetry is a node's logs, traces and metrics.
	Telemetry struct {
		Log     *slog.Logger
		Tracer  trace.Tracer
		Meter   metric.Meter
		Metrics http.Handler // Metrics serves the metrics to Prometheus.

		Requests   metric.Int64Counter     // Requests counts ended requests by class and outcome.
		FirstToken metric.Float64Histogram // FirstToken is the time to the first token, in seconds.
		Tokens     metric.Int64Counter     // Tokens counts tokens received from engines.
		Wasted     metric.Int64Counter     // Wasted counts tokens of responses that could not be used.
		Retries    metric.Int64Counter     // Retries counts retries on another engine.

		traces *sdktrace.TracerProvider
		meters *sdkmetric.MeterProvider
		file   io.Closer
	}

	// Gauge is a metric whose value is read at each scrape.
	Gauge struct {
		Name, Help string
		Read       func() int64
	}
)

// TraceParent returns the W3C trace context of a sampled request. For others it returns
// an empty string, which saves bytes on the wire.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	Propagator.Inject(ctx, carrier)
	return carrier.Get(traceParentKey)
}

// WithTraceParent returns a context that continues another node's trace.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return Propagator.Extract(ctx, propagation.MapCarrier{traceParentKey: parent})
}

// New sets up telemetry from the settings and logs to out.
func New(ctx context.Context, s *settings.Settings, out io.Writer) (*Telemetry, error) {
	t := &Telemetry{}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return nil, fmt.Errorf("read log level: %w", err)
	}
	t.Log = slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})).With("instance", s.Instance)
	res := resource.NewSchemaless(attribute.String("service.name", "croftturn"), attribute.String("service.instance.id", s.Instance))
	if err := t.setUpTraces(ctx, s, res); err != nil {
		return nil, fmt.Errorf("set up traces: %w", err)
	}
	if err := t.setUpMetrics(res); err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return t, nil
}

// setUpTraces creates the tracer and its exporters.
func (t *Telemetry) setUpTraces(ctx context.Context, s *settings.Settings, res *resource.Resource) error {
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceShare))),
	}
	if s.TraceFile != "" {
		f, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("open trace file: %w", err)
		}
		t.file = f
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return fmt.Errorf("write traces to file: %w", err)
		}
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	if s.TraceOtlpURL != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceOtlpURL))
		if err != nil {
			return fmt.Errorf("send traces by OTLP: %w", err)
		}
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	t.traces = sdktrace.NewTracerProvider(opts...)
	t.Tracer = t.traces.Tracer("croftturn")
	return nil
}

// setUpMetrics creates the meter and the shared instruments.
func (t *Telemetry) setUpMetrics(res *resource.Resource) error {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return fmt.Errorf("export metrics: %w", err)
	}
	t.meters = sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithResource(res))
	t.Meter = t.meters.Meter("croftturn")
	t.Metrics = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	var errs [5]error
	t.Requests, errs[0] = t.Meter.Int64Counter("croftturn.requests")
	t.FirstToken, errs[1] = t.Meter.Float64Histogram("croftturn.first_token.seconds")
	t.Tokens, errs[2] = t.Meter.Int64Counter("croftturn.tokens")
	t.Wasted, errs[3] = t.Meter.Int64Counter("croftturn.tokens.wasted")
	t.Retries, errs[4] = t.Meter.Int64Counter("croftturn.retries")
	if err := errors.Join(errs[:]...); err != nil {
		return fmt.Errorf("make instruments: %w", err)
	}
	return nil
}

// RegisterGauges registers gauges that are read at each scrape.
func (t *Telemetry) RegisterGauges(list ...Gauge) error {
	for _, o := range list {
		_, err := t.Meter.Int64ObservableGauge(o.Name, metric.WithDescription(o.Help),
			metric.WithInt64Callback(func(_ context.Context, obs metric.Int64Observer) error {
				obs.Observe(o.Read())
				return nil
			}))
		if err != nil {
			return fmt.Errorf("observe %s: %w", o.Name, err)
		}
	}
	return nil
}

// Close flushes and stops traces and metrics, and closes the trace file.
func (t *Telemetry) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	errs := []error{t.traces.Shutdown(ctx), t.meters.Shutdown(ctx)}
	if t.file != nil {
		errs = append(errs, t.file.Close())
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("close telemetry: %w", err)
	}
	return nil
}
