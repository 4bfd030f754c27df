package process_test

import (
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

const (
	// withdrawalBound is the stated target: a withdrawn key is refused
	// everywhere this long after the withdrawal was accepted.
	withdrawalBound = 5 * time.Second
	observeAfter    = 2 * time.Second
	requestInterval = 10 * time.Millisecond
)

// answer is the status of one request and when the request was sent.
type answer struct {
	sent   time.Time
	status int
	err    error
}

// keepAliveCaller sends requests with one key over one connection.
type keepAliveCaller struct {
	cluster  *cluster
	instance int
	key      string
	client   *http.Client

	mu      sync.Mutex
	answers []answer
}

func newKeepAliveCaller(c *cluster, instance int, key string) *keepAliveCaller {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	DeferCleanup(transport.CloseIdleConnections)
	return &keepAliveCaller{cluster: c, instance: instance, key: key, client: &http.Client{Transport: transport}}
}

func (k *keepAliveCaller) request() answer {
	sent := time.Now()
	request, err := http.NewRequest(http.MethodGet, k.cluster.callers(k.instance)+"/v1/models", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+k.key)
	response, err := k.client.Do(request)
	if err != nil {
		return answer{sent: sent, err: err}
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return answer{sent: sent, status: response.StatusCode}
}

// run sends requests until stop closes.
func (k *keepAliveCaller) run(stop <-chan struct{}) {
	defer GinkgoRecover()
	for {
		a := k.request()
		k.mu.Lock()
		k.answers = append(k.answers, a)
		k.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
	}
}

func (k *keepAliveCaller) sentAfter(at time.Time) []answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, a := range k.answers {
		if a.sent.After(at) {
			return append([]answer(nil), k.answers[i:]...)
		}
	}
	return nil
}

// traffic runs one caller for each instance.
func traffic(c *cluster, key string) []*keepAliveCaller {
	stop := make(chan struct{})
	var running sync.WaitGroup
	var callers []*keepAliveCaller
	for n := range c.layout.Instances {
		caller := newKeepAliveCaller(c, n, key)
		callers = append(callers, caller)
		running.Go(func() { caller.run(stop) })
	}
	DeferCleanup(func() {
		close(stop)
		running.Wait()
	})
	return callers
}

func (c *cluster) withdraw(id string) time.Time {
	status, body, err := c.operate(http.MethodDelete, "/operator/v1/keys/"+id, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK), string(body))
	return time.Now()
}

func (c *cluster) setFaults(f platformstandin.Faults) {
	status, body := c.send(http.MethodPut, "http://"+c.layout.PlatformAddress+platformstandin.FaultsPath, f)
	Expect(status).To(Equal(http.StatusNoContent), body)
}

func (c *cluster) signal(name string, signal syscall.Signal) {
	Expect(c.processes[name].Process.Signal(signal)).To(Succeed())
}

func (c *cluster) waitUntilServed(key string) {
	for n := range c.layout.Instances {
		Eventually(func() int { return newKeepAliveCaller(c, n, key).request().status }, startTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
	}
}

// expectRefused checks that every request sent in observeAfter after the bound
// was refused at every instance.
func expectRefused(callers []*keepAliveCaller, accepted time.Time) {
	time.Sleep(time.Until(accepted.Add(withdrawalBound + observeAfter)))
	for _, caller := range callers {
		answers := caller.sentAfter(accepted.Add(withdrawalBound))
		Expect(answers).NotTo(BeEmpty())
		for _, a := range answers {
			Expect(a.status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable), "instance %d, %s after acceptance, error %v", caller.instance+1, a.sent.Sub(accepted), a.err)
		}
	}
}

var _ = Describe("A withdrawn key", Ordered, func() {
	var c *cluster

	BeforeAll(func() {
		p := fleet.Small(network())
		p.Instances, p.Zones, p.Engines, p.Services = 4, 2, 1, 1
		c = startCluster(p)
	})

	AfterEach(func() {
		c.setFaults(platformstandin.Faults{})
	})

	It("is refused everywhere within the bound, also on connections kept open", func() {
		key := c.createKey("celula")
		c.waitUntilServed(key.Key)
		callers := traffic(c, key.Key)
		expectRefused(callers, c.withdraw(key.ID))
	})

	It("is refused within the bound in a zone that is cut off from the platform", func() {
		key := c.createKey("celula")
		c.waitUntilServed(key.Key)
		callers := traffic(c, key.Key)
		c.setFaults(platformstandin.Faults{CutZones: []string{"zone-b"}})
		expectRefused(callers, c.withdraw(key.ID))
	})

	It("is refused by the first answers of an instance that was frozen", func() {
		key := c.createKey("celula")
		c.waitUntilServed(key.Key)
		const frozen = 3
		name := c.layout.Instances[frozen].Settings.Name
		callers := make([]*keepAliveCaller, 20)
		for i := range callers {
			callers[i] = newKeepAliveCaller(c, frozen, key.Key)
			Expect(callers[i].request().status).To(Equal(http.StatusOK))
		}
		c.signal(name, syscall.SIGSTOP)
		DeferCleanup(c.signal, name, syscall.SIGCONT)
		accepted := c.withdraw(key.ID)
		c.setFaults(platformstandin.Faults{CutZones: []string{"zone-b"}})
		time.Sleep(time.Until(accepted.Add(withdrawalBound + observeAfter)))
		first := make(chan answer, len(callers))
		for _, caller := range callers {
			go func() {
				defer GinkgoRecover()
				first <- caller.request()
			}()
		}
		time.Sleep(observeAfter / 4)
		c.signal(name, syscall.SIGCONT)
		for range callers {
			Expect((<-first).status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable))
		}
	})

	It("runs no request whose body was still on its way at the withdrawal", func() {
		key := c.createKey("celula")
		c.waitUntilServed(key.Key)
		engine := c.layout.Engines[0].Address
		before := witness[enginestandin.Witness](engine, enginestandin.WitnessPath).Calls
		body, rest := io.Pipe()
		request, err := http.NewRequest(http.MethodPost, c.callers(1)+"/v1/chat/completions", body)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+key.Key)
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			first <- response.StatusCode
		}()
		text := chat("reader", 1, false)
		_, err = io.WriteString(rest, text[:10])
		Expect(err).NotTo(HaveOccurred())
		accepted := c.withdraw(key.ID)
		time.Sleep(time.Until(accepted.Add(withdrawalBound)))
		_, err = io.WriteString(rest, text[10:])
		Expect(err).NotTo(HaveOccurred())
		Expect(rest.Close()).To(Succeed())
		Expect(<-first).To(Equal(http.StatusUnauthorized))
		Expect(witness[enginestandin.Witness](engine, enginestandin.WitnessPath).Calls).To(Equal(before))
	})

	It("does not stop other keys during an outage of the platform that is longer than the bound", func() {
		key := c.createKey("celula")
		c.waitUntilServed(key.Key)
		callers := traffic(c, key.Key)
		c.setFaults(platformstandin.Faults{Outage: true})
		from := time.Now()
		time.Sleep(2 * withdrawalBound)
		status, _, err := c.operate(http.MethodDelete, "/operator/v1/keys/"+key.ID, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		for _, caller := range callers {
			for _, a := range caller.sentAfter(from) {
				Expect(a.status).To(Equal(http.StatusOK), "instance %d, %s into the outage", caller.instance+1, a.sent.Sub(from))
			}
		}
	})
})
