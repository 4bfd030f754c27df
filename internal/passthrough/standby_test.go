package passthrough_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

var _ = Describe("Server that moves a call from a silent target", func() {
	// Guards against a call that was ended because the target that was to take it over refused
	// it, although the silent target went on.
	It("keeps the answer of the silent target if the one that is to take over refuses the call", func() {
		answer, body, err := sendToTwo(silentAfter(0, 4), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(strings.Count(body, "id: ")).To(Equal(4))
	})

	// Guards against a stream that ended as complete after some of its events, because the
	// target that was to continue it answered with an error.
	It("breaks a stream off if the target that is to continue it answers with an error", func() {
		_, body, err := sendToTwo(
			func(w http.ResponseWriter, r *http.Request) {
				events(1, 2, true)(w, r)
				panic(http.ErrAbortHandler)
			},
			func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "failed")
			},
		)
		Expect(err).To(HaveOccurred())
		Expect(strings.Count(body, "id: ")).To(Equal(2))
		Expect(body).NotTo(ContainSubstring("failed"))
	})
})

// sendToTwo sends a call of a stream that may be resumed once, before two targets, and
// returns the answer. The first target to which the call comes has the first handler.
func sendToTwo(first, second http.HandlerFunc) (*http.Response, string, error) {
	holder, table := catalog.NewHolder(), fleet.NewTable()
	front := httptest.NewServer(newServer(holder, table, &fakeResidency{}))
	DeferCleanup(front.Close)
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			first(w, r)
		} else {
			second(w, r)
		}
	}
	for _, id := range []string{"t0", "t1"} {
		back := httptest.NewServer(&fakeTarget{id: id, handler: handler})
		DeferCleanup(back.Close)
		table.Upsert(fleet.Announcement{ID: id, Service: "s", Zone: "z", Slots: 6, Address: strings.TrimPrefix(back.URL, "http://")}, time.Now())
	}
	s := &catalog.State{
		Version: 1, KeyOwners: make(map[catalog.KeyHash]int), Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: 100}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h.example", PathPrefix: "/a/", Kind: catalog.Stream, Resumable: true, Timeout: 2500 * time.Millisecond, MaxAttempts: 2,
			TargetLatency: 100 * time.Millisecond, Services: []catalog.WeightedService{{Service: "s"}},
		}},
	}
	s.Index()
	holder.SetIfNewer(s, time.Now())
	r, err := http.NewRequest(http.MethodPost, front.URL+"/a/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("Id", "c1")
	answer, err := front.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, string(body), err
}
