package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/routing"
)

var _ = Describe("ShouldHedge", func() {
	late := routing.Hedge{Idempotent: true, Waited: time.Second, Expected: 100 * time.Millisecond, Remaining: time.Second, Budget: 1, HasCapacity: true}

	DescribeTable("refuses", func(change func(*routing.Hedge)) {
		Expect(routing.ShouldHedge(late)).To(BeTrue())
		h := late
		change(&h)
		Expect(routing.ShouldHedge(h)).To(BeFalse())
	},
		Entry("calls that are not idempotent", func(h *routing.Hedge) { h.Idempotent = false }),
		Entry("calls outside the retry budget", func(h *routing.Hedge) { h.Budget = 0 }),
		Entry("calls that have not waited long enough", func(h *routing.Hedge) { h.Waited = 200 * time.Millisecond }),
		Entry("calls that cannot finish in time", func(h *routing.Hedge) { h.Remaining = 50 * time.Millisecond }),
		Entry("calls without capacity on another target", func(h *routing.Hedge) { h.HasCapacity = false }),
	)
})
