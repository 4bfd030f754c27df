package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterellink/dotterellink/internal/routing"
)

// BenchmarkPickWithPermits picks and releases slots on warm engines with the
// permit service as the router's gate.
func BenchmarkPickWithPermits(b *testing.B) {
	for _, engines := range []int{12, 260, 2600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := newCluster(engines, uncongestedEngine)
			p.run(time.Second, 0)
			router := p.instances[0].router
			b.ReportAllocs()
			for b.Loop() {
				slot, err := router.Pick(routing.Request{Served: "reader"})
				if err != nil {
					b.Fatal(err)
				}
				slot.Done(routing.Completed)
			}
		})
	}
}
