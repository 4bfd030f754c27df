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

// Tracing makes and exports spans.
type Tracing struct {
	Tracer   trace.Tracer
	shutdown func(context.Context) error
}

// NewTracing exports spans to the OTLP/HTTP collector at endpoint, a base URL.
// With an empty endpoint spans are not recorded.
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

// NewTracingTo hands finished spans to processor at once, for tests.
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

// NoTracing records nothing.
func NoTracing() *Tracing {
	return &Tracing{
		Tracer:   noop.NewTracerProvider().Tracer(tracerName),
		shutdown: func(context.Context) error { return nil },
	}
}

// Shutdown exports what is left.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// TraceParent returns the W3C trace context of ctx, empty without one.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceParent returns ctx with the remote parent of a W3C trace context.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	carrier := propagation.MapCarrier{"traceparent": parent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
