package follow_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// sink stores the objects that it receives from a follower.
type sink struct {
	mu       sync.Mutex
	values   map[string]string
	replaced int
}

func (s *sink) Replace(list []platform.Object, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced++
	s.values = make(map[string]string)
	for _, o := range list {
		s.values[o.Key] = string(o.Value)
	}
}

func (s *sink) Change(list []platform.Object, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list {
		s.values[o.Key] = string(o.Value)
		if o.Deleted {
			delete(s.values, o.Key)
		}
	}
}

func (s *sink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// compactedStore reports once, if gone is set, that its change history is no longer
// available.
type compactedStore struct {
	platform.Objects
	gone atomic.Bool
}

func (g *compactedStore) Changes(ctx context.Context, prefix string, after platform.Version, wait time.Duration) ([]platform.Object, platform.Version, error) {
	if g.gone.Swap(false) {
		return nil, 0, platform.ErrHistoryGone
	}
	return g.Objects.Changes(ctx, prefix, after, wait)
}

// failingStore counts lists and fails them.
type failingStore struct {
	platform.Objects
	calls atomic.Uint64
}

func (c *failingStore) List(context.Context, string) ([]platform.Object, platform.Version, error) {
	c.calls.Add(1)
	return nil, 0, platform.ErrUnavailable
}

// countedStore counts lists and watches.
type countedStore struct {
	platform.Objects
	calls atomic.Uint64
}

func (c *countedStore) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	c.calls.Add(1)
	return c.Objects.List(ctx, prefix)
}

func (c *countedStore) Changes(ctx context.Context, prefix string, after platform.Version, wait time.Duration) ([]platform.Object, platform.Version, error) {
	c.calls.Add(1)
	return c.Objects.Changes(ctx, prefix, after, wait)
}

var _ = Describe("Follower", func() {
	var store *platformstandin.Store
	var ctx context.Context
	var failures []error
	var mu sync.Mutex

	follower := func(objects platform.Objects, s *sink, watching bool, relay func(follow.Update)) *follow.Follower {
		return follow.New(follow.Config{
			Objects: objects, Prefix: "k/", Wait: 200 * time.Millisecond, Sink: s,
			Watching: func() bool { return watching }, Leading: func() bool { return watching }, Relay: relay,
			OnFailure: func(err error) { mu.Lock(); failures = append(failures, err); mu.Unlock() },
			OnSuccess: func(time.Time) {}, Log: telemetry.Discard(),
		})
	}
	put := func(key, value string, version platform.Version) platform.Version {
		o, err := store.Put(ctx, key, []byte(value), version)
		Expect(err).NotTo(HaveOccurred())
		return o.Version
	}

	BeforeEach(func() {
		store = platformstandin.NewStore(clockwork.NewRealClock(), 1)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		failures = nil
	})

	It("follows changes and deletions, and relays them to an instance that does not call the store", func() {
		first, second := &sink{}, &sink{}
		other := follower(nil, second, false, nil)
		watcher := follower(store, first, true, func(u follow.Update) { other.Apply(u) })
		v := put("k/a", "1", 0)
		go watcher.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return first.get("k/a") }).Should(Equal("1"))
		v = put("k/a", "2", v)
		Eventually(func() string { return second.get("k/a") }).Should(Equal("2"))
		Expect(store.Delete(ctx, "k/a", v)).To(Succeed())
		Eventually(func() string { return second.get("k/a") }).Should(BeEmpty())
	})

	It("queries the store itself once an update is overdue", func() {
		s := &sink{}
		put("k/a", "1", 0)
		f := follower(store, s, false, func(follow.Update) {})
		go f.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return s.get("k/a") }).Should(Equal("1"))
		put("k/b", "2", 0)
		Eventually(func() string { return s.get("k/b") }, 3*time.Second).Should(Equal("2"))
	})

	It("lists all objects when the change history is no longer available", func() {
		s := &sink{}
		put("k/a", "1", 0)
		g := &compactedStore{Objects: store}
		f := follower(g, s, true, func(follow.Update) {})
		go f.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return s.get("k/a") }).Should(Equal("1"))
		g.gone.Store(true)
		put("k/b", "2", 0)
		Eventually(func() string { return s.get("k/b") }, 3*time.Second).Should(Equal("2"))
	})

	It("keeps the last state during an outage of the store, and reports the failures", func() {
		s := &sink{}
		put("k/a", "1", 0)
		f := follower(store, s, true, func(follow.Update) {})
		go f.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return s.get("k/a") }).Should(Equal("1"))
		store.SetFaults(platformstandin.Faults{Outage: true})
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(failures) }, 3*time.Second).Should(BeNumerically(">", 0))
		Expect(s.get("k/a")).To(Equal("1"))
	})

	It("retries less often during an outage if another instance leads, because each call of 80 instances is priced", func() {
		calls := func(leads bool) uint64 {
			failing := &failingStore{}
			f := follow.New(follow.Config{
				Objects: failing, Prefix: "k/", Wait: 200 * time.Millisecond, Sink: &sink{},
				Watching: func() bool { return true }, Leading: func() bool { return leads }, Relay: func(follow.Update) {},
				OnFailure: func(error) {}, OnSuccess: func(time.Time) {}, Log: telemetry.Discard(),
			})
			until, cancel := context.WithTimeout(ctx, 6*time.Second)
			defer cancel()
			Expect(f.Run(until)).To(MatchError(context.DeadlineExceeded))
			return failing.calls.Load()
		}
		others := make(chan uint64)
		go func() { others <- calls(false) }()
		leader := calls(true)
		Expect(<-others).To(BeNumerically("<", leader))
		Expect(leader).To(BeNumerically(">=", 6), "the end of the outage is noticed within a second")
	})

	It("ignores an update that starts after its own version, and queries the store itself", func() {
		s := &sink{}
		v := put("k/a", "1", 0)
		f := follower(store, s, false, func(follow.Update) {})
		f.Apply(follow.Update{Prefix: "k/", From: uint64(v) + 10, To: uint64(v) + 11, Objects: []follow.Object{{Key: "k/a", Value: []byte("9"), Version: uint64(v) + 11}}})
		Expect(s.get("k/a")).To(BeEmpty())
		go f.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return s.get("k/a") }).Should(Equal("1"))
	})

	It("applies nothing twice when updates of several instances overlap, as after an outage of the store", func() {
		s := &sink{}
		f := follower(store, s, false, nil)
		object := func(key, value string, version uint64) follow.Object {
			return follow.Object{Key: key, Value: []byte(value), Version: version}
		}
		f.Apply(follow.Update{Prefix: "k/", Full: true, To: 20, Objects: []follow.Object{object("k/a", "new", 20)}})
		// k/b existed at version 12 and has been deleted since.
		f.Apply(follow.Update{Prefix: "k/", From: 10, To: 15, Objects: []follow.Object{object("k/b", "old", 12)}})
		Expect(s.get("k/b")).To(BeEmpty())
		f.Apply(follow.Update{Prefix: "k/", From: 10, To: 25, Objects: []follow.Object{object("k/b", "old", 12), object("k/c", "1", 22)}})
		Expect(s.get("k/b")).To(BeEmpty())
		Expect(s.get("k/c")).To(Equal("1"))
		Expect(s.get("k/a")).To(Equal("new"))
		f.Apply(follow.Update{Prefix: "k/", Full: true, To: 25, Objects: []follow.Object{object("k/a", "new", 20)}})
		Expect(s.replaced).To(Equal(1), "a list of the version already known changes nothing")
	})

	It("takes the list of a new era, though its version goes back, with a few calls, and follows objects written again", func() {
		s, peer := &sink{}, &sink{}
		counted := &countedStore{Objects: store}
		other := follower(nil, peer, false, nil)
		v := put("k/a", "1", 0)
		store.Copy()
		put("k/a", "2", v)
		put("k/lost", "1", 0)
		f := follower(counted, s, true, func(u follow.Update) { other.Apply(u) })
		go f.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return peer.get("k/lost") }).Should(Equal("1"))
		time.Sleep(300 * time.Millisecond)
		before := counted.calls.Load()
		store.Rewind()
		o, err := store.Get(ctx, "k/a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return peer.get("k/a") }).Should(Equal("1"))
		put("k/a", "again", o.Version)
		Eventually(func() string { return s.get("k/a") }).Should(Equal("again"))
		Eventually(func() string { return peer.get("k/a") }).Should(Equal("again"))
		time.Sleep(time.Second)
		// A watch each 200 ms, and one list.
		Expect(counted.calls.Load() - before).To(BeNumerically("<", 15))
		other.Apply(follow.Update{Prefix: "k/", Full: true, To: uint64(v) + 5, Objects: []follow.Object{{Key: "k/a", Value: []byte("2"), Version: uint64(v) + 1}}})
		Expect(peer.get("k/a")).To(Equal("again"), "an update of the ended era")
	})

	It("follows a store that goes back twice in a row", func() {
		s := &sink{}
		v := put("k/a", "1", 0)
		store.Copy()
		f := follower(store, s, true, func(follow.Update) {})
		go f.Run(ctx) //nolint:errcheck // Ends with the context.
		Eventually(func() string { return s.get("k/a") }).Should(Equal("1"))
		put("k/a", "2", v)
		Eventually(func() string { return s.get("k/a") }).Should(Equal("2"))
		store.Rewind()
		store.Rewind()
		Eventually(func() string { return s.get("k/a") }).Should(Equal("1"))
		Expect(platform.Version(f.Version()).Era()).To(Equal(platform.Era(2)))
	})

	It("compresses updates to a fraction of the size of their objects", func() {
		var u follow.Update
		for i := range 60 {
			u.Objects = append(u.Objects, follow.Object{Key: fmt.Sprint("k/", i), Version: uint64(i), Value: []byte(fmt.Sprintf(`{"Service":"model-pool","Address":"10.0.0.%d:8080","Zone":"z1","Version":"3","State":"ready","Slots":64,"ColdLeftMs":0}`, i))})
		}
		body, err := u.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", 60*115/5))
		decoded, err := follow.DecodeUpdate(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(u))
		_, err = follow.DecodeUpdate(body[:len(body)/2])
		Expect(err).To(MatchError(follow.ErrUnreadableUpdate))
	})

	It("never reverts to an older object or an older list", func() {
		s := &sink{}
		f := follower(nil, s, false, nil)
		f.Apply(follow.Update{Prefix: "k/", Full: true, To: 10, Objects: []follow.Object{{Key: "k/a", Value: []byte("new"), Version: 9}}})
		f.Apply(follow.Update{Prefix: "k/", Full: true, To: 5, Objects: []follow.Object{{Key: "k/a", Value: []byte("old"), Version: 4}}})
		f.Apply(follow.Update{Prefix: "k/", From: 8, To: 10, Objects: []follow.Object{{Key: "k/a", Value: []byte("old"), Version: 4}}})
		Expect(s.get("k/a")).To(Equal("new"))
		Expect(f.Version()).To(Equal(uint64(10)))
	})
})
