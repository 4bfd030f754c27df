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

// TestRetriesCannotMultiplyLoad checks every window of a random history: at most
// a tenth of its calls, one a second, and the 20 saved.
func TestRetriesCannotMultiplyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		bucket := newRetryBucket(now)
		// excess is the most by which any window that ends now exceeds a tenth of
		// its calls and one retry a second.
		excess := 0.0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"call", "call", "retry", "retry", "retry", "time"}).Draw(t, "event") {
			case "call":
				bucket.add(retryShare)
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
				t.Fatalf("%.1f retries more than earned", excess)
			}
		}
	})
}
