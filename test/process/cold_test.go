package process_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
)

// crowd calls through every instance without pause and counts whole answers.
type crowd struct {
	served atomic.Int64
	stop   chan struct{}
	wait   sync.WaitGroup
}

func newCrowd(c *cluster, key string, perInstance int) *crowd {
	k := &crowd{stop: make(chan struct{})}
	for n := range c.layout.Instances {
		for range perInstance {
			k.wait.Go(func() { k.call(c, n, key) })
		}
	}
	return k
}

func (k *crowd) call(c *cluster, n int, key string) {
	pause := time.NewTicker(20 * time.Millisecond)
	defer pause.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-pause.C:
		}
		response, err := c.open(n, key, "POST", "/v1/chat/completions", chat("reader", 5, false))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			k.served.Add(1)
		}
	}
}

func (k *crowd) end() {
	close(k.stop)
	k.wait.Wait()
}

var _ = Describe("Cold engines before seven instances", func() {
	It("bear the calls of all instances together, also when the lending instance is killed", func() {
		p := fleet.Small(network())
		p.Engine.TokenIntervalMS = 20
		p.Engine.StartCold = true
		p.Engine.ColdCompletions = 40
		c := startCluster(p)
		key := c.createKey("celula").Key
		k := newCrowd(c, key, 2)
		DeferCleanup(k.end)
		Eventually(k.served.Load, 20*time.Second, 50*time.Millisecond).Should(BeNumerically(">", 10))
		c.signal("instance-1", syscall.SIGKILL)
		before := k.served.Load()
		Eventually(k.served.Load, 20*time.Second, 50*time.Millisecond).Should(BeNumerically(">", before+200))
		for _, e := range c.layout.Engines {
			w := witness[enginestandin.Witness](e.Address, enginestandin.WitnessPath)
			Expect(w.FallOvers).To(BeZero(), w.Name)
			Expect(w.PeakColdConcurrent).To(BeNumerically("<=", e.Config.ColdConcurrency), w.Name)
		}
	})
})
