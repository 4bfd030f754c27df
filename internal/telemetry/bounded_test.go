package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// stuckWriter blocks until it is let go.
type stuckWriter struct {
	free chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.free
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func dropped(r *prometheus.Registry) float64 {
	families, err := r.Gather()
	Expect(err).NotTo(HaveOccurred())
	return families[0].GetMetric()[0].GetCounter().GetValue()
}

var _ = Describe("BoundedLog", func() {
	It("never blocks while nobody reads, and counts what it drops", func() {
		registry := prometheus.NewRegistry()
		w := &stuckWriter{free: make(chan struct{})}
		logger, lines, err := telemetry.NewBoundedLog(w, "info", 100_000, registry)
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		for range 5000 {
			logger.WithField("call", "c1").Info("part: Line.")
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(dropped(registry)).To(BeNumerically(">", 3000))
		close(w.free)
		lines.Close()
	})

	It("bounds lines a second, but lets warnings pass", func() {
		registry := prometheus.NewRegistry()
		var out bytes.Buffer
		logger, lines, err := telemetry.NewBoundedLog(&out, "info", 10, registry)
		Expect(err).NotTo(HaveOccurred())
		for range 50 {
			logger.Info("part: Line.")
		}
		logger.Warn("part: Warning.")
		lines.Close()
		Expect(strings.Count(out.String(), "Line")).To(BeNumerically("<=", 20))
		Expect(out.String()).To(ContainSubstring("Warning"))
	})

	It("writes no key", func() {
		var out bytes.Buffer
		logger, lines, err := telemetry.NewBoundedLog(&out, "info", 10, prometheus.NewRegistry())
		Expect(err).NotTo(HaveOccurred())
		logger.Infof("part: Authorization: Bearer %s.", "dk_0123456789abcdef_abcdefghijklmnopqrstuv")
		lines.Close()
		Expect(out.String()).NotTo(ContainSubstring("abcdefghijklmnop"))
	})
})
