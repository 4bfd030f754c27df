package coldstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
)

// actions lists the actions to draw from. Repeated ones are drawn more often.
var actions = []string{
	"step", "step", "step", "step", "step", "step", "step", "step", "start", "start", "start", "start", "start",
	"end", "end", "crash", "reap", "join", "join", "pause", "wake", "wake", "cut", "heal", "heal",
}

// TestColdPermitsStayWithinBound lets instances crash, pause, join and lose
// messages at random while the target is cold from the start. After each attempt
// to start a call, at most coldBound calls may run at the engine.
func TestColdPermitsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(time.Duration(rapid.IntRange(0, 1500).Draw(t, "lag ms"))*time.Millisecond, "a", "a", "a", "b", "b", "c", "c")
		sim.beginCold()
		sim.connectDelay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "connect ms")) * time.Millisecond
		sim.run(maxGrantDelay)
		fates := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "fates"), 0))
		lossPercent := rapid.IntRange(0, 60).Draw(t, "loss percent")
		sim.network.SetOutcomes(func(mesh.Peer, mesh.Peer, string) meshtest.Outcome {
			if fates.IntN(100) >= lossPercent {
				return meshtest.Deliver
			}
			return []meshtest.Outcome{meshtest.LoseRequest, meshtest.LoseResponse, meshtest.Duplicate}[fates.IntN(3)]
		})
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			n := rapid.SampledFrom(sim.nodes).Draw(t, "instance")
			switch rapid.SampledFrom(actions).Draw(t, "action") {
			case "step":
				sim.step(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
			case "start":
				sim.startCall(n)
				if running := len(sim.engine.calls); running > coldBound {
					t.Fatalf("%d calls run on a cold target whose bound is %d", running, coldBound)
				}
			case "end":
				sim.endCall(n)
			case "crash":
				sim.crash(n)
			case "reap":
				if !n.alive {
					sim.reap(n)
				}
			case "join":
				if !n.alive && len(n.calls) == 0 {
					sim.boot(n)
				}
			case "pause":
				sim.pause(n, true)
			case "wake":
				sim.pause(n, false)
			case "cut":
				sim.cutZone(n.zone, true)
			case "heal":
				sim.cutZone(n.zone, false)
			}
		}
	})
}
