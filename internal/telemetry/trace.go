package telemetry

import (
	"context"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const tracerName = "github.com/dotterellink/dotterellink"

// Tracing records and exports spans.
type Tracing struct {
	Tracer   trace.Tracer
	shutdown func(context.Context) error
}

// NewTracing returns a Tracing that exports spans to the OTLP/HTTP collector at
// the base URL endpoint. The ratio is the fraction of traces sampled; spans with a
// parent follow the parent's decision. If endpoint is empty, no spans are
// recorded.
func NewTracing(ctx context.Context, endpoint string, ratio float64, instance, zone string) (*Tracing, error) {
	if endpoint == "" {
		return NoTracing(), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint+"/v1/traces"))
	if err != nil {
		return nil, merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	return newTracing(sdktrace.WithBatcher(exporter), ratio, instance, zone), nil
}

// NewTracingTo returns a Tracing that passes spans to processor without batching,
// for tests.
func NewTracingTo(processor sdktrace.SpanProcessor) *Tracing {
	return newTracing(sdktrace.WithSpanProcessor(processor), 1, "test", "test")
}

func newTracing(output sdktrace.TracerProviderOption, ratio float64, instance, zone string) *Tracing {
	attributes := resource.NewSchemaless(
		attribute.String("service.name", "dotterellinkd"),
		attribute.String("service.instance.id", instance),
		attribute.String("cloud.availability_zone", zone),
	)
	provider := sdktrace.NewTracerProvider(
		output,
		sdktrace.WithResource(attributes),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
	)
	return &Tracing{Tracer: provider.Tracer(tracerName), shutdown: provider.Shutdown}
}

// NoTracing returns a Tracing that records no spans.
func NoTracing() *Tracing {
	return &Tracing{
		Tracer:   noop.NewTracerProvider().Tracer(tracerName),
		shutdown: func(context.Context) error { return nil },
	}
}

// Shutdown exports the remaining spans and stops the export.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// TraceParent returns the W3C traceparent of the span context in ctx, or an empty
// string if there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceParent returns a copy of ctx whose remote parent span is the one that
// the W3C traceparent names.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	carrier := propagation.MapCarrier{"traceparent": parent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
