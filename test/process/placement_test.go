package process_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/target"
)

// takeoverBound is the stated 10 s from a death to the orders of the next
// orderer, and as long again for the decision of the next planner.
const takeoverBound = 20 * time.Second

var _ = Describe("Placement", func() {
	It("goes on after the planner, an orderer too, is killed", func() {
		p := fleet.Small(network())
		p.Instances, p.Engines, p.Services = 3, 2, 1
		c := startCluster(p)
		planner := -1
		Eventually(func() int { planner = c.planner(); return planner }, startTimeout, 100*time.Millisecond).Should(BeNumerically(">=", 0))
		Expect(c.processes[c.layout.Instances[planner].Settings.Name].Process.Kill()).To(Succeed())
		// The document goes to an instance that lives.
		c.layout.Instances = slices.Delete(c.layout.Instances, planner, planner+1)
		document := c.layout.Document
		document.Models = append(document.Models, environment.Model{Name: "extra", MemoryMB: 10_000, ContextTokens: 1024, DefaultMaxTokens: 16})
		c.declare(document)
		Eventually(func() bool { return c.isOrdered("extra") }, takeoverBound, 100*time.Millisecond).Should(BeTrue())
		for _, e := range c.layout.Engines {
			w := witness[enginestandin.Witness](e.Address, enginestandin.WitnessPath)
			Expect(w.Overcommits).To(BeZero())
		}
	})
})

// planner returns the instance that holds the planner's lease, or a negative
// number.
func (c *cluster) planner() int {
	for n := range c.layout.Instances {
		response, err := http.Get(c.operators(n) + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if strings.Contains(string(body), "\ndotterellink_planner_lease_held 1") {
			return n
		}
	}
	return -1
}

// isOrdered reports whether any engine was ordered to load the model.
func (c *cluster) isOrdered(model string) bool {
	for _, e := range c.layout.Engines {
		w := witness[enginestandin.Witness](e.Address, enginestandin.WitnessPath)
		for _, o := range w.Orders {
			if o.Action == target.ActionLoadModel && o.Model == model {
				return true
			}
		}
	}
	return false
}
