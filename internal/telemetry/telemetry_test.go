package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/telemetry"
)

var _ = Describe("Logger", func() {
	It("writes text or JSON with the prefix of the component", func() {
		for format, want := range map[string]string{"text": `message="mesh: Peer a connected."`, "json": `"message":"mesh: Peer a connected."`} {
			var out bytes.Buffer
			logger, err := telemetry.NewLogger(&out, "info", format)
			Expect(err).NotTo(HaveOccurred())
			telemetry.Prefixed(logger, "mesh").Infof("Peer %s connected.", "a")
			Expect(out.String()).To(ContainSubstring(want))
		}
	})

	It("drops messages below its level", func() {
		var out bytes.Buffer
		logger, err := telemetry.NewLogger(&out, "warn", "text")
		Expect(err).NotTo(HaveOccurred())
		telemetry.Prefixed(logger, "mesh").Info("Peer a connected.")
		Expect(out.String()).To(BeEmpty())
	})
})

var _ = Describe("Tracing", func() {
	It("exports spans to the collector at the endpoint", func() {
		received := make(chan string, 1)
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			received <- r.URL.Path + " " + string(body)
		}))
		defer collector.Close()
		tracing, err := telemetry.NewTracing(context.Background(), collector.URL, 1, "instance-1", "zone-a")
		Expect(err).NotTo(HaveOccurred())
		_, span := tracing.Tracer.Start(context.Background(), "relay.attempt")
		span.End()
		Expect(tracing.Shutdown(context.Background())).To(Succeed())
		Expect(<-received).To(And(HavePrefix("/v1/traces"), ContainSubstring("relay.attempt"), ContainSubstring("instance-1")))
	})

	It("propagates the trace context", func() {
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		Expect(telemetry.TraceParent(telemetry.WithTraceParent(context.Background(), parent))).To(Equal(parent))
		Expect(telemetry.TraceParent(context.Background())).To(BeEmpty())
	})
})
