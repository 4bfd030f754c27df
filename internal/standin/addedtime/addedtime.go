// Package addedtime measures for benchmarks how much longer calls take through an
// instance than to a target itself. It is no part of the product.
package addedtime

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// interval is the time between two calls through the instance: 500 a second, as
	// many as an instance takes at the size to design for and more.
	interval = time.Second / 500
	// warmUp is the number of calls before the measurement.
	warmUp = 200
	// longest is the longest time that is recorded, in microseconds.
	longest = 10_000_000
)

// Measure makes b.N calls to each of two addresses, in turn, and reports the times
// of the direct ones and what the others take beyond, in microseconds. Calls run side
// by side; call reports its failures to b.
func Measure(b *testing.B, direct, through string, call func(base string)) {
	times := map[string]*hdrhistogram.Histogram{}
	for _, base := range []string{direct, through} {
		times[base] = hdrhistogram.New(1, longest, 3)
		for range warmUp {
			call(base)
		}
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(interval / 2)
	defer ticker.Stop()
	b.ResetTimer()
	for i := range 2 * b.N {
		<-ticker.C
		base := direct
		if i%2 == 1 {
			base = through
		}
		group.Go(func() {
			started := time.Now()
			call(base)
			took := time.Since(started).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			if err := times[base].RecordValue(took); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	for _, q := range []float64{50, 99} {
		alone, with := times[direct].ValueAtQuantile(q), times[through].ValueAtQuantile(q)
		b.ReportMetric(float64(alone), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(with-alone), fmt.Sprintf("added-p%.0f-µs", q))
	}
}
