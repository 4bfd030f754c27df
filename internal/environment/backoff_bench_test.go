package environment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

// BenchmarkOutageReturn simulates the watch calls of all confirmers in the first
// second after an outage of a minute; calls/s is their peak in 100 ms, scaled.
func BenchmarkOutageReturn(b *testing.B) {
	for _, size := range []struct {
		name       string
		confirmers int
	}{{"7_instances_3_zones", 6}, {"320_instances_17_zones", 34}} {
		b.Run(size.name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			peak := 0
			for range b.N {
				peak = max(peak, busiestTenth(random, size.confirmers))
			}
			b.ReportMetric(float64(10*peak), "calls/s")
		})
	}
}

// busiestTenth returns the most calls in 100 ms of the first second.
func busiestTenth(random *rand.Rand, confirmers int) int {
	var buckets [10]int
	for range confirmers {
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

// BenchmarkVerdict measures the check that every keyed request passes.
func BenchmarkVerdict(b *testing.B) {
	w := newWorld(1, []int{2, 2, 2}, 0)
	s := w.instances[0].syncer
	for b.Loop() {
		if s.Verdict() != VerdictFresh {
			b.Fatal("not fresh")
		}
	}
}

// BenchmarkIsConfirmer measures the choice of the confirmer in a zone of 19.
func BenchmarkIsConfirmer(b *testing.B) {
	members := make([]membership.Member, 19)
	for n := range members {
		members[n] = membership.Member{Name: string(rune('a' + n)), Zone: "zone-a"}
	}
	for b.Loop() {
		isConfirmer(mesh.Peer{Name: "m", Zone: "zone-a"}, members, time.Second)
	}
}
