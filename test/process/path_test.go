package process_test

import (
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
)

var _ = Describe("The whole path", Ordered, func() {
	var c *cluster
	var key string

	BeforeAll(func() {
		p := fleet.Small(network())
		p.Instances, p.Engines, p.Services = 3, 2, 1
		p.Engine.TokenIntervalMS = 20
		c = startCluster(p)
		key = c.createKey("celula").Key
		for n := range 3 {
			Eventually(func() int { status, _ := c.call(n, key, "GET", "/v1/models", ""); return status }, 5*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
			Eventually(func() int {
				status, _ := c.call(n, key, "POST", "/v1/chat/completions", chat("reader", 1, false))
				return status
			}, 5*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})

	It("serves whole and streamed calls through every instance", func() {
		for n := range 3 {
			status, body := c.call(n, key, "POST", "/v1/chat/completions", chat("reader", 5, false))
			Expect(status).To(Equal(http.StatusOK), body)
			Expect(strings.Count(body, ":4 ")).To(Equal(1), body)
			status, body = c.call(n, key, "POST", "/v1/chat/completions", chat("planner", 5, true))
			Expect(status).To(Equal(http.StatusOK), body)
			Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
			Expect(strings.Count(body, `"content":"`)).To(BeNumerically(">=", 5))
		}
	})

	It("serves a plain service through every instance", func() {
		for n := range 3 {
			status, body := c.call(n, key, "POST", "/services/desk/bookings", "pack 7")
			Expect(status).To(Equal(http.StatusOK), body)
			Expect(body).To(ContainSubstring(`"path":"/bookings"`))
		}
		desk := witness[servicestandin.Witness](c.layout.Services[0].Address, servicestandin.WitnessPath)
		Expect(desk.Runs).To(Equal(3))
	})

	It("refuses calls without a key or with a wrong one", func() {
		status, _ := c.call(1, "", "POST", "/v1/chat/completions", chat("reader", 1, false))
		Expect(status).To(Equal(http.StatusUnauthorized))
		status, _ = c.call(1, key+"x", "POST", "/v1/chat/completions", chat("reader", 1, false))
		Expect(status).To(Equal(http.StatusUnauthorized))
	})

	It("shows the caller's key to no target and in no log", func() {
		for _, e := range c.layout.Engines {
			w := witness[enginestandin.Witness](e.Address, enginestandin.WitnessPath)
			Expect(w.Calls).To(BeNumerically(">", 0))
			Expect(w.CredentialsSeen).To(BeZero())
		}
		desk := witness[servicestandin.Witness](c.layout.Services[0].Address, servicestandin.WitnessPath)
		Expect(desk.CredentialsSeen).To(BeZero())
		// The secret may hold "_" itself, as it is base64url.
		secret := strings.SplitN(key, "_", 3)[2]
		for name := range c.processes {
			Expect(c.log(name)).NotTo(ContainSubstring(secret), name)
		}
	})

	It("cuts no stream on SIGTERM and exits 0", func() {
		response, err := c.open(2, key, "POST", "/v1/chat/completions", chat("reader", 60, true))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		first := make([]byte, 64)
		_, err = io.ReadFull(response.Body, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.terminate("instance-3")).To(BeZero())
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(strings.Count(string(first)+string(rest), `"content":"`)).To(BeNumerically(">=", 60))
	})
})
