package coldstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
)

// actions are drawn as often as they stand here.
var actions = []string{
	"step", "step", "step", "step", "step", "step", "step", "step", "start", "start", "start", "start", "start",
	"end", "end", "crash", "reap", "join", "join", "pause", "wake", "wake", "cut", "heal", "heal",
}

// TestColdPermitsStayWithinBound lets instances crash, pause, join and lose
// messages at random while the target is cold from the start. Whenever a call
// starts, no more than the cold bound may run at the engine.
func TestColdPermitsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(time.Duration(rapid.IntRange(0, 1500).Draw(t, "lag ms"))*time.Millisecond, "a", "a", "a", "b", "b", "c", "c")
		w.beginCold()
		w.connect = time.Duration(rapid.IntRange(0, 1500).Draw(t, "connect ms")) * time.Millisecond
		w.run(settle)
		fates := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "fates"), 0))
		lossPercent := rapid.IntRange(0, 60).Draw(t, "loss percent")
		w.network.SetFate(func(mesh.Peer, mesh.Peer, string) meshtest.Fate {
			if fates.IntN(100) >= lossPercent {
				return meshtest.Deliver
			}
			return []meshtest.Fate{meshtest.LoseRequest, meshtest.LoseAnswer, meshtest.Duplicate}[fates.IntN(3)]
		})
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			n := rapid.SampledFrom(w.nodes).Draw(t, "instance")
			switch rapid.SampledFrom(actions).Draw(t, "action") {
			case "step":
				w.step(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
			case "start":
				w.start(n)
				if running := len(w.engine.calls); running > coldBound {
					t.Fatalf("%d calls run on a cold target that bears %d", running, coldBound)
				}
			case "end":
				w.end(n)
			case "crash":
				w.crash(n)
			case "reap":
				if !n.alive {
					w.reap(n)
				}
			case "join":
				if !n.alive && len(n.calls) == 0 {
					w.boot(n)
				}
			case "pause":
				w.pause(n, true)
			case "wake":
				w.pause(n, false)
			case "cut":
				w.sever(n.zone, true)
			case "heal":
				w.sever(n.zone, false)
			}
		}
	})
}
