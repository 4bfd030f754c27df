package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

var _ = Describe("Snapshot", func() {
	newInstance := func() *storeState {
		s := newStoreState(Source{
			ConfigPrefix: "c/", ConfigKey: "c/main", TargetPrefix: "t/", EvacuationPrefix: "e/",
			DecodeConfig: func(v []byte) (*catalog.State, error) { return &catalog.State{Version: int64(v[0])}, nil },
			DecodeTarget: func(id string, v []byte) (fleet.Announcement, error) {
				return fleet.Announcement{ID: id, Service: "s", BornMS: 1, Announcements: int64(v[0])}, nil
			},
		}, catalog.NewHolder(), fleet.NewTable(), dispatch.NewDispatcher(), platform.NewEras(), telemetry.Discard())
		s.wire(followerConfig{})
		return s
	}
	pass := func(from, to *storeState) {
		p, err := from.handleSnapshot(context.Background(), mesh.Peer{}, &snapshotRequest{})
		Expect(err).NotTo(HaveOccurred())
		to.applySnapshot(p, time.Now())
	}

	It("contains what an instance received only from peers during an outage of the store, and each newer state", func() {
		first, second, third := newInstance(), newInstance(), newInstance()
		pass(second, third)
		Expect(third.catalog.Current()).To(BeNil())
		first.applyConfig(platform.Object{Key: "c/main", Value: []byte{1}}, time.Now())
		first.applyTargetChanges([]platform.Object{{Key: "t/a", Value: []byte{1}}}, false, time.Now())
		pass(first, second)
		pass(second, third)
		Expect(third.catalog.Current().Version).To(Equal(int64(1)))
		Expect(third.fleet.View().Targets).To(HaveKey("a"))
		first.applyConfig(platform.Object{Key: "c/main", Value: []byte{2}}, time.Now())
		pass(first, second)
		pass(second, third)
		Expect(third.catalog.Current().Version).To(Equal(int64(2)))
	})

	// Guards against calls to a target that has left: a peer that was behind brought it back
	// while the store did not answer.
	It("does not bring back a target whose entry was removed, until the target announces itself again", func() {
		behind, own := newInstance(), newInstance()
		target := func(announcements byte, version platform.Version) platform.Object {
			return platform.Object{Key: "t/a", Value: []byte{announcements}, Version: version}
		}
		// Announcements that change nothing else raise no version.
		behind.applyTargetChanges([]platform.Object{target(9, 5)}, false, time.Now())
		own.targets.Apply(follow.Update{Prefix: "t/", Full: true, To: 5, Objects: []follow.Object{follow.ObjectOf(target(7, 5))}})
		Expect(own.fleet.View().ByService["s"]).To(HaveLen(1))
		own.targets.Apply(follow.Update{Prefix: "t/", From: 5, To: 6, Objects: []follow.Object{{Key: "t/a", Version: 6, Deleted: true}}})
		Expect(own.fleet.View().ByService["s"]).To(BeEmpty())
		own.onStoreFailure(platform.ErrUnavailable)
		pass(behind, own)
		Expect(own.fleet.View().ByService["s"]).To(BeEmpty())
		behind.applyTargetChanges([]platform.Object{target(10, 7)}, false, time.Now())
		pass(behind, own)
		Expect(own.fleet.View().ByService["s"]).To(HaveLen(1))
	})

	// Guards against the same in an instance that has started and read no store yet.
	DescribeTable("does not use a target that has left, as one peer knows, if another peer does not know", func(informedFirst bool) {
		behind, informed, started := newInstance(), newInstance(), newInstance()
		entry := platform.Object{Key: "t/a", Value: []byte{7}}
		behind.applyTargetChanges([]platform.Object{entry}, false, time.Now())
		informed.applyTargetChanges([]platform.Object{entry}, false, time.Now())
		informed.applyTargetChanges([]platform.Object{{Key: "t/a", Deleted: true}}, false, time.Now())
		if informedFirst {
			pass(informed, started)
			pass(behind, started)
		} else {
			pass(behind, started)
			pass(informed, started)
		}
		Expect(started.fleet.View().ByService["s"]).To(BeEmpty())
	}, Entry("the one that knows first", true), Entry("the other first", false))

	// Guards against the same after an update that a watcher sent late, as after a pause.
	It("does not use a target that has left, as a peer knows, after an old update", func() {
		informed, started := newInstance(), newInstance()
		entry := platform.Object{Key: "t/a", Value: []byte{7}, Version: 5}
		informed.applyTargetChanges([]platform.Object{entry}, false, time.Now())
		informed.applyTargetChanges([]platform.Object{{Key: "t/a", Deleted: true}}, false, time.Now())
		pass(informed, started)
		started.applyUpdate(follow.Update{Prefix: "t/", Full: true, To: 5, Objects: []follow.Object{follow.ObjectOf(entry)}})
		Expect(started.fleet.View().ByService["s"]).To(BeEmpty())
		entry.Value, entry.Version = []byte{8}, 7
		started.applyUpdate(follow.Update{Prefix: "t/", From: 5, To: 7, Objects: []follow.Object{follow.ObjectOf(entry)}})
		Expect(started.fleet.View().ByService["s"]).To(HaveLen(1))
	})

	// Guards against an instance that starts with the oldest state that any peer has.
	It("is requested from further peers if the first ones are behind", func() {
		names := []string{"a", "b", "c", "d"}
		ages := map[string]time.Duration{"a": time.Minute, "b": -1, "c": time.Second, "d": time.Second}
		var asked []string
		fetch := func(name string) (time.Duration, bool) {
			asked = append(asked, name)
			return ages[name], ages[name] >= 0
		}
		queryUntilFresh(names, fetch)
		Expect(asked).To(Equal([]string{"a", "b", "c"}))
		asked = nil
		queryUntilFresh([]string{"a", "a", "a", "c"}, fetch)
		Expect(asked).To(HaveLen(maxSnapshotPeers))
		asked = nil
		queryUntilFresh([]string{"c", "d"}, fetch)
		Expect(asked).To(Equal([]string{"c"}))
	})

	// Guards against a target whose models are forgotten: a peer that was behind replaced its
	// announcement by an older one.
	It("does not replace an announcement by an older one of the same run", func() {
		behind, own := newInstance(), newInstance()
		behind.applyTargetChanges([]platform.Object{{Key: "t/a", Value: []byte{7}}}, false, time.Now())
		own.applyTargetChanges([]platform.Object{{Key: "t/a", Value: []byte{9}}}, false, time.Now())
		pass(behind, own)
		Expect(own.fleet.View().Targets["a"].Announcements).To(Equal(int64(9)))
	})
})
