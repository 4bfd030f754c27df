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

	a := func(id string) fleet.Announcement {
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
		// Far from any outage.
		t.Upsert(a("t1"), now)
		t.Upsert(a("t2"), now)
		now = now.Add(time.Minute)
	})

	It("drops a target whose entry ends while the store is well", func() {
		t.Remove("t1", now)
		Expect(usable()).To(Equal([]string{"t2"}))
	})

	It("keeps a target whose entry lapses while the store is away, until the store has been back for two seconds", func() {
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
		t.Replace([]fleet.Announcement{a("t2")}, now)
		t.StoreBack(now)
		t.Upsert(a("t1"), now.Add(time.Second))
		t.Expire(now.Add(time.Minute))
		Expect(usable()).To(Equal([]string{"t1", "t2"}))
	})

	It("knows a draining target as draining while the store is away", func() {
		leaving := a("t1")
		leaving.Draining = true
		t.Upsert(leaving, now)
		t.StoreLost()
		t.Upsert(a("t1"), now)
		Expect(usable()).To(Equal([]string{"t2"}))
		t.Remove("t1", now)
		Expect(t.View().Targets).NotTo(HaveKey("t1"))
	})

	It("takes a new incarnation under the same identity, and no older one after it", func() {
		leaving := a("t1")
		leaving.Draining = true
		t.Upsert(leaving, now)
		again := a("t1")
		again.BornMS = 2
		t.Upsert(again, now)
		Expect(usable()).To(ContainElement("t1"))
		t.Upsert(leaving, now)
		Expect(usable()).To(ContainElement("t1"))
	})

	It("counts the cold start from the announcement that told it", func() {
		cold := a("t3")
		cold.ColdLeft = 3 * time.Second
		t.Upsert(cold, now)
		t.Upsert(cold, now.Add(2*time.Second))
		Expect(t.View().Targets["t3"].ColdUntil()).To(Equal(now.Add(3 * time.Second)))
	})

	It("gives evacuated zones no new work until they are taken back", func() {
		t.EvacuateZone("z1", true)
		Expect(usable()).To(BeEmpty())
		t.EvacuateZone("z1", false)
		Expect(usable()).To(HaveLen(2))
	})
})

// BenchmarkApply takes the announcements of a fleet that starts: 3,000 targets, of
// which 100 announce themselves at once.
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
