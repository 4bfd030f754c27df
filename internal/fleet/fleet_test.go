package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/fleet"
)

var _ = Describe("Table", func() {
	var t *fleet.Table
	var now time.Time

	announcement := func(id string) fleet.Announcement {
		return fleet.Announcement{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z1", BornMS: 1}
	}
	usable := func() []string {
		var out []string
		for _, target := range t.View().ByService["s"] {
			out = append(out, target.ID)
		}
		return out
	}

	BeforeEach(func() {
		t, now = fleet.NewTable(), time.Unix(1000, 0)
		// The store has had no outage.
		t.Upsert(announcement("t1"), now)
		t.Upsert(announcement("t2"), now)
		now = now.Add(time.Minute)
	})

	It("drops a target whose entry ends while the store is available", func() {
		t.Remove("t1", now)
		Expect(usable()).To(Equal([]string{"t2"}))
	})

	It("keeps a target whose entry lapses during a store outage until two seconds after the recovery", func() {
		t.StoreLost()
		t.Remove("t1", now)
		Expect(usable()).To(Equal([]string{"t1", "t2"}))
		t.Expire(now.Add(time.Minute))
		Expect(usable()).To(Equal([]string{"t1", "t2"}))
		Expect(t.StoreBack(now)).To(BeTrue())
		t.Expire(now.Add(1900 * time.Millisecond))
		Expect(usable()).To(Equal([]string{"t1", "t2"}))
		t.Expire(now.Add(2100 * time.Millisecond))
		Expect(usable()).To(Equal([]string{"t2"}))
	})

	It("keeps a lapsed target that returns", func() {
		t.StoreLost()
		t.Replace([]fleet.Announcement{announcement("t2")}, now)
		t.StoreBack(now)
		t.Upsert(announcement("t1"), now.Add(time.Second))
		t.Expire(now.Add(time.Minute))
		Expect(usable()).To(Equal([]string{"t1", "t2"}))
	})

	It("keeps a draining target draining during a store outage", func() {
		draining := announcement("t1")
		draining.Draining = true
		t.Upsert(draining, now)
		t.StoreLost()
		t.Upsert(announcement("t1"), now)
		Expect(usable()).To(Equal([]string{"t2"}))
		t.Remove("t1", now)
		Expect(t.View().Targets).NotTo(HaveKey("t1"))
	})

	It("accepts a new incarnation with the same ID and ignores an older one after it", func() {
		draining := announcement("t1")
		draining.Draining = true
		t.Upsert(draining, now)
		restarted := announcement("t1")
		restarted.BornMS = 2
		t.Upsert(restarted, now)
		Expect(usable()).To(ContainElement("t1"))
		t.Upsert(draining, now)
		Expect(usable()).To(ContainElement("t1"))
	})

	It("counts the cold start from the announcement that first reported it", func() {
		cold := announcement("t3")
		cold.ColdLeft = 3 * time.Second
		t.Upsert(cold, now)
		t.Upsert(cold, now.Add(2*time.Second))
		Expect(t.View().Targets["t3"].ColdUntil()).To(Equal(now.Add(3 * time.Second)))
	})

	It("gives evacuated zones no new work until they are restored", func() {
		t.EvacuateZone("z1", true)
		Expect(usable()).To(BeEmpty())
		t.EvacuateZone("z1", false)
		Expect(usable()).To(HaveLen(2))
	})
})

// BenchmarkApply applies 100 announcements at once, as when a fleet starts, to a
// table of 3,000 targets that already has them.
func BenchmarkApply(b *testing.B) {
	table, now := fleet.NewTable(), time.Now()
	var all []fleet.Announcement
	var changes []fleet.Change
	for i := range 3000 {
		a := fleet.Announcement{ID: fmt.Sprint("t", i), Service: "s", Zone: "z", Models: []fleet.HeldModel{{Name: fmt.Sprint("m", i%700)}}}
		all = append(all, a)
		if i < 100 {
			changes = append(changes, fleet.Change{Announcement: a})
		}
	}
	table.Replace(all, now)
	for b.Loop() {
		table.Apply(changes, now)
	}
}
