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

// blockingWriter blocks every write until unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	out       bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func droppedLines(r *prometheus.Registry) float64 {
	families, err := r.Gather()
	Expect(err).NotTo(HaveOccurred())
	return families[0].GetMetric()[0].GetCounter().GetValue()
}

var _ = Describe("BoundedLog", func() {
	It("does not block while the output is blocked, and counts dropped lines", func() {
		registry := prometheus.NewRegistry()
		w := &blockingWriter{unblocked: make(chan struct{})}
		logger, boundedLog, err := telemetry.NewBoundedLog(w, "info", 100_000, registry)
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		for range 5000 {
			logger.WithField("call", "c1").Info("component: Line.")
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(droppedLines(registry)).To(BeNumerically(">", 3000))
		close(w.unblocked)
		boundedLog.Close()
	})

	It("limits the lines written in a second, except for warnings", func() {
		registry := prometheus.NewRegistry()
		var out bytes.Buffer
		logger, boundedLog, err := telemetry.NewBoundedLog(&out, "info", 10, registry)
		Expect(err).NotTo(HaveOccurred())
		for range 50 {
			logger.Info("component: Line.")
		}
		logger.Warn("component: Warning.")
		boundedLog.Close()
		// The lines may fall into two windows of one second.
		Expect(strings.Count(out.String(), "Line")).To(BeNumerically("<=", 20))
		Expect(out.String()).To(ContainSubstring("Warning"))
	})

	It("removes caller keys", func() {
		var out bytes.Buffer
		logger, boundedLog, err := telemetry.NewBoundedLog(&out, "info", 10, prometheus.NewRegistry())
		Expect(err).NotTo(HaveOccurred())
		logger.Infof("component: Authorization: Bearer %s.", "dk_0123456789abcdef_abcdefghijklmnopqrstuv")
		boundedLog.Close()
		Expect(out.String()).NotTo(ContainSubstring("abcdefghijklmnop"))
	})
})
