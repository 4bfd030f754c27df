package process_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
)

var _ = Describe("An account at several times its rate", func() {
	const (
		rate  = 300
		burst = 2000
		flood = 5 * time.Second
	)

	It("gets no more than its rate and burst over three instances", func() {
		p := fleet.Small(network())
		p.Instances, p.Engines, p.Services = 3, 2, 0
		p.Engine.TokenIntervalMS = 1
		p.Accounts = []environment.Account{{Name: "celula", RateTokensPerSecond: rate, BurstTokens: burst}}
		started := time.Now()
		c := startCluster(p)
		key := c.createKey("celula").Key
		for n := range 3 {
			Eventually(func() int { status, _ := c.call(n, key, "GET", "/v1/models", ""); return status }, 5*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
		}
		refused := c.flood(key, flood)
		var tokens int64
		for _, e := range c.layout.Engines {
			w := witness[enginestandin.Witness](e.Address, enginestandin.WitnessPath)
			tokens += w.PromptTokens + w.GeneratedTokens
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(tokens).To(BeNumerically(">", burst/2))
		Expect(float64(tokens)).To(BeNumerically("<=", rate*time.Since(started).Seconds()+burst))
	})
})

// flood calls every instance without pause and returns how many calls were
// refused for the account's rate.
func (c *cluster) flood(key string, length time.Duration) (refused int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	until := time.Now().Add(length)
	for n := range c.layout.Instances {
		callers.Go(func() {
			defer GinkgoRecover()
			for time.Now().Before(until) {
				status, _ := c.call(n, key, "POST", "/v1/chat/completions", chat("reader", 200, false))
				mu.Lock()
				if status == http.StatusTooManyRequests {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return refused
}
