package environment

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const keysAtStart = 5

// drawFaults returns what goes wrong in a run, in order, with the waits between.
func drawFaults(t *rapid.T, kinds ...string) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			Instance: rapid.IntRange(0, 5).Draw(t, "instance"),
			For:      time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second,
		}
	})
	return rapid.SliceOfN(one, 8, 40).Draw(t, "faults")
}

// drawWorld makes a world and runs faults of the kinds in it.
func drawWorld(t *rapid.T, kinds ...string) *world {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 2), 1, 3).Draw(t, "instances per zone")
	loss := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), sizes, loss)
	for range keysAtStart {
		w.operate(false)
	}
	for _, f := range drawFaults(t, kinds...) {
		w.inject(f)
		w.run(time.Duration(rapid.IntRange(0, 16).Draw(t, "quarters")) * simStep)
	}
	w.settle()
	return w
}

// TestWithdrawalsHoldUnderFaults checks over random interleavings of faults that
// no instance that runs admits a key 5 s after its accepted withdrawal, that
// revisions never go down, and that no accepted change is lost.
func TestWithdrawalsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, "pause", "restart", "lost answer", "publish list", "create", "withdraw", "withdraw", "withdraw", "withdraw", "outage", "cut from platform", "cut from zones", "isolated", "isolated")
		if len(w.problems) > 0 {
			t.Fatal(strings.Join(w.problems[:min(5, len(w.problems))], "\n"))
		}
	})
}

// TestRevisionsHoldUnderStaleReads adds stale reads, under which a confirmation
// proves nothing, and checks revisions alone.
func TestRevisionsHoldUnderStaleReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, "stale reads", "stale reads", "restart", "pause", "lost answer", "create", "create", "outage", "isolated")
		for _, p := range w.problems {
			if !strings.Contains(p, "serves key") {
				t.Fatal(p)
			}
		}
	})
}
