package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/internal/trial"
)

// shares is a fake with one holder.
type shares struct{ released bool }

func (s *shares) Shares() []quota.HolderShare {
	return []quota.HolderShare{{Account: "celula", Zone: "zone-a", Holder: "instance-4", Incarnation: "i-1", State: quota.ShareFenced, Share: quota.Share{Rate: 5, Burst: 50}}}
}

func (s *shares) Release(_ context.Context, _, incarnation string) error {
	if incarnation != "i-1" {
		return quota.ErrNoHolder
	}
	s.released = true
	return nil
}

const (
	writeToken = "write-token"
	readToken  = "read-token"
)

var _ = Describe("Server", func() {
	var (
		server   *operator.Server
		store    *environment.Store
		platform *platformstandin.Store
		holdings *shares
	)

	BeforeEach(func() {
		clock := clockwork.NewRealClock()
		platform = platformstandin.NewStore(clock, 1)
		store = environment.NewStore("production", platform, clock, telemetry.Discard())
		stock := inventory.New(store.View, enginestandin.NewFleet(), clock, telemetry.Discard())
		s := settings.Default()
		s.Name, s.Zone = "instance-1", "zone-a"
		s.Operators.Credentials = []settings.Credential{
			{Operator: "ada", Role: operator.RoleWrite, TokenSHA256: keys.HashToken(writeToken)},
			{Operator: "bob", Role: operator.RoleRead, TokenSHA256: keys.HashToken(readToken)},
		}
		holdings = &shares{}
		server = operator.New(operator.Config{
			Shares:    holdings,
			Settings:  s,
			Store:     store,
			Trials:    trial.New("production", store, platform, clock),
			Inventory: stock.Snapshot,
			Members:   func() []membership.Member { return []membership.Member{{Name: "instance-1", Zone: "zone-a"}} },
			Gatherer:  prometheus.NewRegistry(),
			Clock:     clock,
			Log:       telemetry.Discard(),
		})
	})

	call := func(token, method, path string, body any, out any) int {
		data, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		request := httptest.NewRequest(method, "/operator/v1"+path, bytes.NewReader(data))
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		if out != nil {
			Expect(json.Unmarshal(recorder.Body.Bytes(), out)).To(Succeed())
		}
		return recorder.Code
	}

	declare := func() {
		var t operator.TrialAnswer
		Expect(call(writeToken, "POST", "/trials", fleet.New("", fleet.Small(20)).Document, &t)).To(Equal(http.StatusCreated))
		Expect(call(writeToken, "POST", "/trials/"+t.ID+"/promotion", nil, nil)).To(Equal(http.StatusOK))
	}

	It("lets each role do only what it may", func() {
		Expect(call("other", "GET", "/status", nil, nil)).To(Equal(http.StatusUnauthorized))
		Expect(call(readToken, "GET", "/status", nil, nil)).To(Equal(http.StatusOK))
		Expect(call(readToken, "POST", "/keys", operator.NewKeyRequest{Account: "celula"}, nil)).To(Equal(http.StatusForbidden))
		declare()
		Expect(call(readToken, "PUT", "/zones/zone-a/out", nil, nil)).To(Equal(http.StatusForbidden))
		Expect(store.View().State.ZonesOut).To(BeEmpty())
	})

	It("shows a key once and only its hash is kept", func() {
		declare()
		var answer operator.NewKeyAnswer
		Expect(call(writeToken, "POST", "/keys", operator.NewKeyRequest{Account: "celula"}, &answer)).To(Equal(http.StatusCreated))
		state, err := json.Marshal(store.View().State)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(state)).NotTo(ContainSubstring(answer.Key[len("dk_0123456789abcdef_"):]))
		_, err = keys.Authenticate(store.View(), "Bearer "+answer.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(call(writeToken, "DELETE", "/keys/"+answer.ID, nil, nil)).To(Equal(http.StatusOK))
		_, err = keys.Authenticate(store.View(), "Bearer "+answer.Key)
		Expect(err).To(MatchError(keys.ErrUnauthorized))
	})

	It("refuses names that do not exist", func() {
		declare()
		var problem operator.Problem
		Expect(call(writeToken, "POST", "/keys", operator.NewKeyRequest{Account: "nobody"}, &problem)).To(Equal(http.StatusNotFound))
		Expect(problem.Error).To(ContainSubstring("nobody"))
		Expect(call(writeToken, "PUT", "/targets/engine-9/leaving", nil, nil)).To(Equal(http.StatusNotFound))
		Expect(call(writeToken, "PUT", "/zones/zone-q/out", nil, nil)).To(Equal(http.StatusNotFound))
	})

	It("takes zones and targets out and back in", func() {
		declare()
		Expect(call(writeToken, "PUT", "/zones/zone-a/out", nil, nil)).To(Equal(http.StatusOK))
		Expect(call(writeToken, "PUT", "/targets/engine-2/leaving", nil, nil)).To(Equal(http.StatusOK))
		Expect(store.View().IsTargetOut(store.View().Target("engine-1"))).To(BeTrue())
		Expect(store.View().IsTargetOut(store.View().Target("engine-2"))).To(BeTrue())
		Expect(call(writeToken, "DELETE", "/zones/zone-a/out", nil, nil)).To(Equal(http.StatusOK))
		Expect(call(writeToken, "DELETE", "/targets/engine-2/leaving", nil, nil)).To(Equal(http.StatusOK))
		Expect(store.View().IsTargetOut(store.View().Target("engine-1"))).To(BeFalse())
		Expect(store.View().IsTargetOut(store.View().Target("engine-2"))).To(BeFalse())
	})

	It("lists accepted changes, newest first, with who made them", func() {
		declare()
		Expect(call(writeToken, "PUT", "/zones/zone-a/out", nil, nil)).To(Equal(http.StatusOK))
		var history operator.History
		Expect(call(readToken, "GET", "/environment/history", nil, &history)).To(Equal(http.StatusOK))
		Expect(history.Changes).To(HaveLen(2))
		Expect(history.Changes[0].Action).To(Equal("take out zone zone-a"))
		Expect(history.Changes[0].Operator).To(Equal("ada"))
		Expect(history.Changes[0].Revision).To(BeEquivalentTo(2))
	})

	It("lists shares and releases those of a process that has ended", func() {
		var list operator.ShareList
		Expect(call(readToken, "GET", "/shares", nil, &list)).To(Equal(http.StatusOK))
		Expect(list.Shares).To(HaveLen(1))
		Expect(list.Shares[0].State).To(Equal("fenced"))
		Expect(call(readToken, "DELETE", "/shares/zone-a/i-1", nil, nil)).To(Equal(http.StatusForbidden))
		Expect(call(writeToken, "DELETE", "/shares/zone-a/i-2", nil, nil)).To(Equal(http.StatusNotFound))
		Expect(holdings.released).To(BeFalse())
		Expect(call(writeToken, "DELETE", "/shares/zone-a/i-1", nil, nil)).To(Equal(http.StatusNoContent))
		Expect(holdings.released).To(BeTrue())
	})

	It("takes out a zone that is marked as leaving soon, also over a promotion", func() {
		document := fleet.New("", fleet.Small(20)).Document
		document.Zones[0].LeavingSoon = true
		promote := func() {
			var t operator.TrialAnswer
			Expect(call(writeToken, "POST", "/trials", document, &t)).To(Equal(http.StatusCreated))
			Expect(call(writeToken, "POST", "/trials/"+t.ID+"/promotion", nil, nil)).To(Equal(http.StatusOK))
		}
		promote()
		Expect(call(writeToken, "PUT", "/zones/zone-a/out", nil, nil)).To(Equal(http.StatusOK))
		document.Accounts[0].BurstTokens++
		promote()
		Expect(store.View().IsZoneOut("zone-a")).To(BeTrue())
	})

	It("calls nothing accepted while the platform is down", func() {
		declare()
		before := store.View().State.Revision
		platform.SetFaults(platformstandin.Faults{Outage: true})
		var problem operator.Problem
		Expect(call(writeToken, "PUT", "/zones/zone-a/out", nil, &problem)).To(Equal(http.StatusServiceUnavailable))
		Expect(problem.Hint).To(ContainSubstring("nothing was changed"))
		Expect(store.View().State.Revision).To(Equal(before))
	})
})
