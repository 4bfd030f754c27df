package process_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
)

const (
	// leaveBound is the stated time after which a zone taken out or a leaving
	// target gets no new work.
	leaveBound = 5 * time.Second
	// watchedFor is how long the absence of new work is watched.
	watchedFor = 2 * time.Second
)

var _ = Describe("Taking out", func() {
	var c *cluster
	var key string

	BeforeEach(func() {
		p := fleet.Small(network())
		p.Instances, p.Engines, p.Services = 3, 3, 2
		c = startCluster(p)
		key = c.createKey("celula").Key
		c.keepCalling(key)
		Eventually(c.calls(0), startTimeout, 50*time.Millisecond).Should(BeNumerically(">", 0))
		Eventually(c.runs(0), startTimeout, 50*time.Millisecond).Should(BeNumerically(">", 0))
	})

	It("gives an availability zone taken out no new work after 5 s, at every instance, until it returns", func() {
		c.change(http.MethodPut, "/operator/v1/zones/zone-a/out")
		time.Sleep(leaveBound)
		calls, runs := c.calls(0)(), c.runs(0)()
		served := c.runs(1)()
		Consistently(c.calls(0), watchedFor, 100*time.Millisecond).Should(Equal(calls))
		Expect(c.runs(0)()).To(Equal(runs))
		Expect(c.runs(1)()).To(BeNumerically(">", served), "other zones go on serving")
		c.change(http.MethodDelete, "/operator/v1/zones/zone-a/out")
		Eventually(c.runs(0), startTimeout, 50*time.Millisecond).Should(BeNumerically(">", runs))
	})

	It("gives a leaving target no new work after 5 s, at every instance, and its model stays reachable", func() {
		c.change(http.MethodPut, "/operator/v1/targets/engine-1/leaving")
		time.Sleep(leaveBound)
		calls := c.calls(0)()
		Consistently(c.calls(0), watchedFor, 100*time.Millisecond).Should(Equal(calls))
		for n := range c.layout.Instances {
			Eventually(func() int {
				status, _ := c.call(n, key, "POST", "/v1/chat/completions", chat("reader", 1, false))
				return status
			}, startTimeout, 100*time.Millisecond).Should(Equal(http.StatusOK))
		}
		Expect(c.calls(0)()).To(Equal(calls))
	})
})

// change makes a change without a body and expects its acceptance.
func (c *cluster) change(method, path string) {
	status, answer, err := c.operate(method, path, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK), string(answer))
}

// calls returns a function that counts the model calls that engine n saw.
func (c *cluster) calls(n int) func() int {
	return func() int {
		return witness[enginestandin.Witness](c.layout.Engines[n].Address, enginestandin.WitnessPath).Calls
	}
}

// runs returns a function that counts the runs of service target n.
func (c *cluster) runs(n int) func() int {
	return func() int {
		return witness[servicestandin.Witness](c.layout.Services[n].Address, servicestandin.WitnessPath).Runs
	}
}

// keepCalling sends model and service calls through every instance until the
// test ends, whatever their answers.
func (c *cluster) keepCalling(key string) {
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for n := range c.layout.Instances {
		wait.Go(func() {
			for ctx.Err() == nil {
				c.callOnce(n, key, "POST", "/v1/chat/completions", chat("reader", 1, false))
				c.callOnce(n, key, "GET", "/services/desk/stock", "")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	DeferCleanup(func() {
		stop()
		wait.Wait()
	})
}

func (c *cluster) callOnce(n int, key, method, path, body string) {
	response, err := c.open(n, key, method, path, body)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}
