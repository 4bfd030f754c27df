package process_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
)

var _ = Describe("A booking under an idempotency key", Ordered, func() {
	var c *cluster
	var key string
	var deadlineMS string

	BeforeEach(func() { deadlineMS = "1000" })

	BeforeAll(func() {
		p := fleet.Small(network())
		p.Instances, p.Engines, p.Services = 3, 1, 1
		c = startCluster(p)
		key = c.createKey("celula").Key
		for n := range 3 {
			Eventually(func() int { status, _ := c.call(n, key, "GET", "/services/desk/stock", ""); return status }, 5*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})

	// book returns the status, the outcome and the answer of a booking.
	book := func(n int, idempotencyKey, body string) (int, string, string, error) {
		request, err := http.NewRequest("POST", c.callers(n)+"/services/desk/bookings", bytes.NewBufferString(body))
		if err != nil {
			return 0, "", "", err
		}
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("Idempotency-Key", idempotencyKey)
		request.Header.Set("X-Request-Deadline-Ms", deadlineMS)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, "", "", err
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		return response.StatusCode, response.Header.Get("X-Request-Outcome"), string(answer), err
	}

	runsOf := func(body string) int {
		return witness[servicestandin.Witness](c.layout.Services[0].Address, servicestandin.WitnessPath).RunsByBody[body]
	}

	setFaults := func(f servicestandin.Faults) {
		data, err := json.Marshal(f)
		Expect(err).NotTo(HaveOccurred())
		request, err := http.NewRequest("PUT", "http://"+c.layout.Services[0].Address+servicestandin.FaultsPath, bytes.NewReader(data))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
	}

	It("gets the first answer at every instance", func() {
		_, _, first, err := book(0, "k1", "pack 1")
		Expect(err).NotTo(HaveOccurred())
		for n := range 3 {
			status, _, answer, err := book(n, "k1", "pack 1")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(answer).To(Equal(first))
		}
		Expect(runsOf("pack 1")).To(Equal(1))
		status, outcome, _, err := book(1, "k1", "pack 2")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(outcome).To(Equal("not-run"))
	})

	It("runs once and keeps its answer when its instance freezes while it runs", func() {
		deadlineMS = "20000"
		setFaults(servicestandin.Faults{DelayMS: 500})
		first := make(chan string, 1)
		go func() {
			_, _, answer, _ := book(0, "k3", "pack 4")
			first <- answer
		}()
		Eventually(func() int { return runsOf("pack 4") }, 5*time.Second, 20*time.Millisecond).Should(Equal(1))
		Expect(c.processes["instance-1"].Process.Signal(syscall.SIGSTOP)).To(Succeed())
		_, outcome, _, err := book(1, "k3", "pack 4")
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal("in-progress"))
		Expect(c.processes["instance-1"].Process.Signal(syscall.SIGCONT)).To(Succeed())
		var answer string
		Eventually(first, 10*time.Second).Should(Receive(&answer))
		status, _, repeat, err := book(1, "k3", "pack 4")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(repeat).To(Equal(answer))
		Expect(runsOf("pack 4")).To(Equal(1))
	})

	It("stays unknown, and runs once, when its instance is killed while it runs", func() {
		deadlineMS = "5000"
		setFaults(servicestandin.Faults{DelayMS: 60_000})
		failed := make(chan error, 1)
		go func() {
			_, _, _, err := book(1, "k2", "pack 3")
			failed <- err
		}()
		Eventually(func() int { return runsOf("pack 3") }, 5*time.Second, 20*time.Millisecond).Should(Equal(1))
		Expect(c.processes["instance-2"].Process.Signal(syscall.SIGKILL)).To(Succeed())
		Eventually(failed, 5*time.Second).Should(Receive(HaveOccurred()))
		setFaults(servicestandin.Faults{})
		// In progress until the dead holder's lease has passed.
		Eventually(func() string { _, outcome, _, _ := book(2, "k2", "pack 3"); return outcome }, 30*time.Second, 200*time.Millisecond).Should(Equal("unknown"))
		for _, n := range []int{0, 2} {
			status, outcome, _, err := book(n, "k2", "pack 3")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusBadGateway))
			Expect(outcome).To(Equal("unknown"))
		}
		Expect(runsOf("pack 3")).To(Equal(1))
	})
})
