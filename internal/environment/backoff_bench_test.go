package environment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

// BenchmarkOutageReturn simulates the watch calls of all watchers in the first
// second after an outage of a minute. It reports the peak of any 100 ms in calls/s.
func BenchmarkOutageReturn(b *testing.B) {
	for _, size := range []struct {
		name     string
		watchers int
	}{{"7_instances_3_zones", 6}, {"320_instances_17_zones", 34}} {
		b.Run(size.name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			peak := 0
			for range b.N {
				peak = max(peak, peakCallsPer100ms(random, size.watchers))
			}
			b.ReportMetric(float64(10*peak), "calls/s")
		})
	}
}

// peakCallsPer100ms returns the maximum number of calls in a 100 ms interval of the
// first second.
func peakCallsPer100ms(random *rand.Rand, watchers int) int {
	var buckets [10]int
	for range watchers {
		at := fullJitter(random.Float64(), 10, watchBackoff, maxWatchBackoff)
		for at < time.Second {
			buckets[at/(100*time.Millisecond)]++
			at += watchWait
		}
	}
	peak := 0
	for _, n := range buckets {
		peak = max(peak, n)
	}
	return peak
}

// BenchmarkVerdict measures the freshness check of each request with a key.
func BenchmarkVerdict(b *testing.B) {
	w := newWorld(1, []int{2, 2, 2}, 0)
	s := w.instances[0].syncer
	for b.Loop() {
		if s.Verdict() != VerdictFresh {
			b.Fatal("not fresh")
		}
	}
}

// BenchmarkIsWatcher measures the choice of the watcher in a zone of 19 instances.
func BenchmarkIsWatcher(b *testing.B) {
	members := make([]membership.Member, 19)
	for n := range members {
		members[n] = membership.Member{Name: string(rune('a' + n)), Zone: "zone-a"}
	}
	for b.Loop() {
		isWatcher(mesh.Peer{Name: "m", Zone: "zone-a"}, members, time.Second)
	}
}
