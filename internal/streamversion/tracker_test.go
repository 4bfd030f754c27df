package streamversion

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestStreamVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stream Version Suite")
}

const service = "s"

// process is one run of an instance.
type process struct {
	tracker *Tracker
	// stored are its records in the store.
	stored []Record
}

// fleet is a fleet of processes with a store, in virtual time.
type fleet struct {
	now       time.Time
	processes []*process
	history   History
	serving   Weights
	random    *rand.Rand
}

// begun is a stream that a caller may take up.
type begun struct {
	id      StreamID
	key     uint64
	version string
	at      time.Time
}

func newFleet(seed uint64, processes int, serving Weights) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), serving: serving, random: rand.New(rand.NewPCG(seed, 1))}
	for range processes {
		f.processes = append(f.processes, &process{tracker: NewTracker()})
	}
	f.assign()
	f.now = f.now.Add(time.Hour)
	return f
}

// assign makes the first process assign streams, and the others hear of it.
func (f *fleet) assign() {
	history, changed := f.processes[0].tracker.Next(map[string]Weights{service: f.serving}, f.now)
	if !changed {
		return
	}
	f.history = history
	for _, p := range f.processes {
		p.tracker.Adopt(history, false, f.now)
	}
}

// settle exchanges and stores what the processes know.
func (f *fleet) settle() {
	for _, p := range f.processes {
		updates := p.tracker.Updates(false, f.now)
		for _, other := range f.processes {
			other.tracker.Apply(updates, f.now)
		}
		p.stored, _ = p.tracker.Own(f.now)
	}
}

// restart begins a new run of all processes, which know what is stored.
func (f *fleet) restart() {
	var stored []Record
	for _, p := range f.processes {
		stored = append(stored, p.stored...)
	}
	for n := range f.processes {
		t := NewTracker()
		t.Adopt(f.history, true, f.now)
		t.ApplyFormer(f.processes[n].stored, f.now)
		t.Apply(stored, f.now)
		f.processes[n] = &process{tracker: t, stored: f.processes[n].stored}
	}
}

// begin begins a stream, sometimes at another version than the assigned one.
func (f *fleet) begin() begun {
	p := f.processes[f.random.IntN(len(f.processes))]
	b := begun{id: StreamID(f.random.Uint64()), key: f.random.Uint64(), at: f.now}
	version, ok := p.tracker.Preferred(service, b.key)
	if _, serves := f.serving[version]; !ok || !serves || f.random.IntN(5) == 0 {
		versions := slices.Sorted(maps.Keys(f.serving))
		version = versions[f.random.IntN(len(versions))]
	}
	b.version = version
	p.tracker.Began(service, b.id, b.key, version, f.now)
	return b
}

// Guards against take-ups that are told another version than the one that began the stream.
func TestVersionIsNeverAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "processes"), Weights{"1": 4})
		var list []begun
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.serving = rapid.SampledFrom([]Weights{{"1": 4}, {"1": 3, "2": 1}, {"1": 2, "2": 2}, {"2": 4}, {"1": 1, "2": 1, "3": 2}, {"": 2, "3": 2}, {"3": 1}}).Draw(t, "serving")
				f.assign()
			case 1:
				f.restart()
			}
			for range 40 {
				list = append(list, f.begin())
			}
			f.settle()
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond)
			for _, b := range list {
				if f.now.Sub(b.at) > streamAge {
					continue
				}
				for _, p := range f.processes {
					if version, known := p.tracker.Version(service, b.id, b.key, f.now); known && version != b.version {
						t.Fatalf("a stream of version %q is told to be of %q", b.version, version)
					}
				}
			}
		}
	})
}

var _ = Describe("Tracker", func() {
	It("knows the version of nearly all streams after a restart of all, records or not", func() {
		f := newFleet(1, 3, Weights{"1": 2, "2": 2})
		var list []begun
		for range 400 {
			list = append(list, f.begin())
		}
		f.settle()
		f.restart()
		known := 0
		for _, b := range list {
			if _, ok := f.processes[0].tracker.Version(service, b.id, b.key, f.now); ok {
				known++
			}
		}
		Expect(known).To(Equal(len(list)))
	})

	It("records few streams while the versions stay the same, and none of a single one", func() {
		f := newFleet(1, 1, Weights{"1": 2, "2": 2})
		t := f.processes[0].tracker
		for n := range 100 {
			key := uint64(n)
			version, _ := t.Preferred(service, key)
			t.Began(service, StreamID(n+1), key, version, f.now)
		}
		Expect(t.Updates(false, f.now)).To(BeEmpty())
		single := newFleet(1, 1, Weights{"1": 1})
		single.processes[0].tracker.Began(service, 1, 1, "1", single.now)
		Expect(single.processes[0].tracker.Pending()).To(BeFalse())
	})

	It("is not certain of a stream that an assignment of the last seconds has moved", func() {
		f := newFleet(1, 1, Weights{"1": 4})
		f.serving = Weights{"1": 2, "2": 2}
		f.assign()
		t := f.processes[0].tracker
		for key := range uint64(100) {
			version, _ := t.Preferred(service, key)
			_, certain := t.Version(service, 0, key, f.now)
			Expect(certain).To(Equal(version == "1"))
			_, certain = t.Version(service, 0, key, f.now.Add(streamAge+time.Second))
			Expect(certain).To(BeTrue())
		}
	})

	It("is not certain of streams of a version that has left", func() {
		f := newFleet(1, 1, Weights{"1": 2, "2": 2})
		before := make(map[uint64]string)
		for key := range uint64(100) {
			before[key], _ = f.processes[0].tracker.Preferred(service, key)
		}
		f.serving = Weights{"2": 2}
		f.assign()
		f.restart()
		for key, version := range before {
			found, certain := f.processes[0].tracker.Version(service, 0, key, f.now)
			Expect(certain).To(Equal(version == "2"))
			if certain {
				Expect(found).To(Equal("2"))
			}
		}
	})

	DescribeTable("divides new streams by the number of targets, and moves few of them",
		func(before, after Weights, moved float64) {
			count, changed := make(map[string]float64), 0.0
			const keys = 20_000
			for key := range uint64(keys) {
				a, _ := before.choose(mix(key, 7))
				b, _ := after.choose(mix(key, 7))
				count[b]++
				if a != b {
					changed++
				}
			}
			for version, n := range after {
				Expect(count[version]/keys).To(BeNumerically("~", float64(n)/float64(after.total()), 0.02), version)
			}
			Expect(changed / keys).To(BeNumerically("<=", moved+0.02))
		},
		Entry("one more target", Weights{"1": 4, "2": 1}, Weights{"1": 4, "2": 2}, 1.0/6),
		Entry("one target released", Weights{"1": 12}, Weights{"1": 11, "2": 1}, 1.0/12),
		Entry("three versions", Weights{"1": 5, "2": 5}, Weights{"1": 5, "2": 5, "3": 5}, 1.0/3),
	)

	It("ignores assignments that are not newer", func() {
		f := newFleet(1, 1, Weights{"1": 4})
		t := f.processes[0].tracker
		Expect(t.Adopt(f.history, false, f.now)).To(BeFalse())
		Expect(t.Adopt(nil, false, f.now)).To(BeFalse())
	})

	It("drops records after their time", func() {
		f := newFleet(1, 1, Weights{"1": 1})
		t := f.processes[0].tracker
		t.Began(service, 1, 1, "2", f.now)
		t.Prune(f.now.Add(recordTTL + time.Second))
		Expect(t.All(f.now)).To(BeEmpty())
	})
})

func BenchmarkPreferred(b *testing.B) {
	for _, versions := range []int{1, 2, 8} {
		b.Run(fmt.Sprint(versions), func(b *testing.B) {
			weights := make(Weights)
			for n := range versions {
				weights[fmt.Sprint("2026.", n)] = 40
			}
			f := newFleet(1, 1, weights)
			b.ReportAllocs()
			key := uint64(0)
			for b.Loop() {
				key++
				f.processes[0].tracker.Preferred(service, key)
			}
		})
	}
}
