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

const initialKeys = 5

// drawFaults draws the faults of a run, in order.
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

// runDrawnWorld draws a world and runs it with drawn faults of the given kinds.
func runDrawnWorld(t *rapid.T, kinds ...string) *world {
	sizes := rapid.SliceOfN(rapid.IntRange(1, 2), 1, 3).Draw(t, "instances per zone")
	loss := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), sizes, loss)
	for range initialKeys {
		w.changeKey(false)
	}
	for _, f := range drawFaults(t, kinds...) {
		w.inject(f)
		w.run(time.Duration(rapid.IntRange(0, 16).Draw(t, "quarters")) * simStep)
	}
	w.recoverAndCheck()
	return w
}

// TestWithdrawalsHoldUnderFaults checks under random sequences of faults that no
// running instance admits a key more than 5 s after its withdrawal was accepted,
// that revisions never decrease, and that no accepted change is lost.
func TestWithdrawalsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runDrawnWorld(t, "pause", "restart", "lost answer", "publish list", "create", "withdraw", "withdraw", "withdraw", "withdraw", "outage", "cut from platform", "cut from zones", "isolated", "isolated")
		if len(w.violations) > 0 {
			t.Fatal(strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
		}
	})
}

// TestRevisionsHoldUnderStaleReads includes stale reads. A confirmation then proves
// nothing, so the test ignores withdrawn keys that are still served.
func TestRevisionsHoldUnderStaleReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runDrawnWorld(t, "stale reads", "stale reads", "restart", "pause", "lost answer", "create", "create", "outage", "isolated")
		for _, p := range w.violations {
			if !strings.Contains(p, "serves key") {
				t.Fatal(p)
			}
		}
	})
}
