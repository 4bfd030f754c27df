package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

var _ = Describe("A key that is withdrawn while its request waits for a target", func() {
	var f *fixture

	// withdraw replaces the view by one without the key.
	withdraw := func() {
		state := f.views.view.State.Clone()
		state.Revision++
		state.Keys = nil
		f.views.view = environment.NewView(state, time.Now())
	}

	BeforeEach(func() { f = newFixture() })

	It("stops a model call before it is sent and settles its reservation to zero", func() {
		f.relay.generate = func(ctx context.Context, call *relay.Call, _ relay.Sink) (relay.Result, error) {
			Expect(call.BeforeSend(ctx)).To(Succeed())
			withdraw()
			return relay.Result{}, call.BeforeSend(ctx)
		}
		response := f.do("POST", "/v1/chat/completions", `{"model":"reader","messages":[{}]}`)
		Expect(response.status).To(Equal(http.StatusUnauthorized), response.body)
		Expect(response.header.Get(entry.HeaderOutcome)).To(Equal(entry.OutcomeNotRun))
		Expect(f.limiter.lastSettled()).To(BeZero())
	})

	It("stops a call of a plain service before it is sent", func() {
		f.relay.invoke = func(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
			withdraw()
			return nil, call.BeforeSend(ctx)
		}
		response := f.do("POST", "/services/desk/bookings", "pack 7")
		Expect(response.status).To(Equal(http.StatusUnauthorized), response.body)
		Expect(response.header.Get(entry.HeaderOutcome)).To(Equal(entry.OutcomeNotRun))
	})
})
