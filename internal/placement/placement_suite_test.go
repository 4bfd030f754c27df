package placement

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	simulationSeed = flag.Uint64("simulation.seed", 1, "seed of the placement simulation")
	simulateAll    = flag.Bool("simulation.all", false, "simulate both deployments")
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
}

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Placement Suite")
}
