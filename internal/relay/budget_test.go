package relay

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRetriesCannotMultiplyLoad checks that every window of a random history has at
// most 0.1 retries per call and one retry per second, plus a burst of 20.
func TestRetriesCannotMultiplyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		bucket := newRetryBucket(now)
		// excess is the most by which the retries of any window that ends now exceed
		// a tenth of its calls plus one retry per second.
		excess := 0.0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"call", "call", "retry", "retry", "retry", "time"}).Draw(t, "event") {
			case "call":
				bucket.add(retriesPerCall)
				excess -= 0.1
			case "time":
				step := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				now = now.Add(step)
				excess -= step.Seconds()
			case "retry":
				if bucket.take(now) {
					excess++
				}
			}
			excess = max(0, excess)
			if excess > 20+1e-6 {
				t.Fatalf("a window has %.1f retries more than its calls and duration allow", excess)
			}
		}
	})
}
