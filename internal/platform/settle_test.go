package platform_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform Suite")
}

// hookClock waits for no time and calls a function once before it does.
type hookClock struct {
	*clockwork.FakeClock
	onWait []func()
}

func (c *hookClock) After(time.Duration) <-chan time.Time {
	if len(c.onWait) > 0 {
		c.onWait[0]()
		c.onWait = c.onWait[1:]
	}
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

var _ = Describe("PutSettled", func() {
	ctx := context.Background()
	var store *platformstandin.Store
	var clock *hookClock
	var first platform.Object

	put := func() (platform.Object, error) {
		mine := []byte("mine")
		return platform.PutSettled(ctx, store, clock, "k", mine, first.Version, func(value []byte) bool { return bytes.Equal(value, mine) })
	}

	BeforeEach(func() {
		clock = &hookClock{FakeClock: clockwork.NewFakeClock()}
		store = platformstandin.NewStore(clock.FakeClock, 1)
		var err error
		first, err = store.Put(ctx, "k", []byte("old"), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("finds its own write after a lost answer", func() {
		store.SetFaults(platformstandin.Faults{LoseAnswers: 1})
		object, err := put()
		Expect(err).NotTo(HaveOccurred())
		Expect(object.Value).To(Equal([]byte("mine")))
		Expect(store.Stats().Conflicts).To(Equal(uint64(1)))
	})

	It("does not take a stale read for a lost race", func() {
		store.SetFaults(platformstandin.Faults{LoseAnswers: 1, StaleReads: true})
		clock.onWait = []func(){func() {}, func() { store.SetFaults(platformstandin.Faults{}) }}
		object, err := put()
		Expect(err).NotTo(HaveOccurred())
		Expect(object.Value).To(Equal([]byte("mine")))
	})

	It("says unknown if another writer replaced the value", func() {
		store.SetFaults(platformstandin.Faults{LoseAnswers: 1})
		clock.onWait = []func(){func() {
			_, err := store.Put(ctx, "k", []byte("other"), first.Version+1)
			Expect(err).NotTo(HaveOccurred())
		}}
		_, err := put()
		Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
		Expect(err).To(MatchError(platform.ErrReplaced))
	})
})
