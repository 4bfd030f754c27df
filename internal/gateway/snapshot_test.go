package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

var _ = Describe("Snapshot", func() {
	newInstance := func() *storeState {
		s := newStoreState(Source{
			ConfigPrefix: "c/", ConfigKey: "c/main", TargetPrefix: "t/", EvacuationPrefix: "e/",
			DecodeConfig: func(v []byte) (*catalog.State, error) { return &catalog.State{Version: int64(v[0])}, nil },
			DecodeTarget: func(id string, _ []byte) (fleet.Announcement, error) { return fleet.Announcement{ID: id}, nil },
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
		first.applyTargetChanges([]platform.Object{{Key: "t/a", Value: []byte{1}}}, time.Now())
		pass(first, second)
		pass(second, third)
		Expect(third.catalog.Current().Version).To(Equal(int64(1)))
		Expect(third.fleet.View().Targets).To(HaveKey("a"))
		first.applyConfig(platform.Object{Key: "c/main", Value: []byte{2}}, time.Now())
		pass(first, second)
		pass(second, third)
		Expect(third.catalog.Current().Version).To(Equal(int64(2)))
	})
})
