package placement

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var simulationSeed = flag.Uint64("simulation.seed", 1, "seed of the placement simulation")

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Placement Suite")
}
