package residency

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// worker is a target that carries out orders, one for a model at a time.
type worker struct {
	models   []string
	adapters []string
	orders   int64
	busy     bool
	crashed  string
}

func (t *worker) drop(adapter string) {
	t.adapters = slices.DeleteFunc(t.adapters, func(a string) bool { return a == adapter })
}

// workers implements call.TargetOperator. Orders may be answered late or never
// and act later, if the number of orders that they expect still holds.
type workers struct {
	mu     sync.Mutex
	byID   map[string]*worker
	engine *catalog.Engine
	// loseEvery makes each n-th order act late and without an answer.
	loseEvery int
	count     int
	holders   map[string][]string
	// inUse makes adapters go only some time after the order to unload them.
	inUse bool
	loads int
}

var errLost = errors.New("no answer")

func (w *workers) Order(_, id string, o call.Order, _ time.Duration) (call.OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[id] = append(w.holders[id], o.Holder)
	w.count++
	if w.loseEvery > 0 && w.count%w.loseEvery == 0 {
		time.AfterFunc(300*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.act(id, o)
		})
		return call.OrderUnknown, errLost
	}
	return w.act(id, o)
}

// act requires w.mu.
func (w *workers) act(id string, o call.Order) (call.OrderResult, error) {
	t := w.byID[id]
	if o.ExpectedOrders != t.orders || t.busy {
		return call.OrderRefused, errors.New("409")
	}
	t.orders++
	switch o.Kind {
	case call.LoadAdapter:
		t.adapters = append(t.adapters, o.Model+"/"+o.Adapter)
		if len(t.adapters) > w.engine.AdapterSlots {
			t.crashed = "too many adapters"
		}
		return call.OrderAccepted, nil
	case call.UnloadAdapter:
		if w.inUse {
			// The adapter goes once its calls have ended.
			time.AfterFunc(700*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				t.drop(o.Model + "/" + o.Adapter)
			})
			return call.OrderAccepted, nil
		}
		t.drop(o.Model + "/" + o.Adapter)
		return call.OrderNoChange, nil
	case call.UnloadModel:
		t.models = slices.DeleteFunc(t.models, func(m string) bool { return m == o.Model })
	case call.LoadModel:
		w.loads++
		if len(t.models) >= 3 {
			t.crashed = "too many models"
		}
	}
	t.busy = true
	time.AfterFunc(100*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		t.busy = false
		if o.Kind == call.LoadModel {
			t.models = append(t.models, o.Model)
		}
	})
	return call.OrderAccepted, nil
}

func (w *workers) Report(_, id string, _ time.Duration) (fleet.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.byID[id]
	r := fleet.Report{Orders: t.orders, OrderInProgress: t.busy}
	for _, m := range t.models {
		held := fleet.HeldModel{Name: m}
		for _, a := range t.adapters {
			if model, adapter := cutAdapter(a); model == m {
				held.Adapters = append(held.Adapters, adapter)
			}
		}
		r.Models = append(r.Models, held)
	}
	return r, nil
}

func (w *workers) copies(model string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.byID {
		if slices.Contains(t.models, model) {
			n++
		}
	}
	return n
}

func (w *workers) crashes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, t := range w.byID {
		if t.crashed != "" {
			out = append(out, id+": "+t.crashed)
		}
	}
	return out
}

type alone struct{}

func (alone) Candidates(string) (int, bool) { return 0, true }

var _ = Describe("Controller", func() {
	var w *workers
	var k *Controller
	var table *fleet.Table
	var demand *Demand
	var ctx context.Context

	BeforeEach(func() {
		e := &catalog.Engine{WeightsMB: 220_000, AdapterSlots: 2, LoadsPerSecond: 50, Models: make(map[string]catalog.Model)}
		for i := range 5 {
			name := fmt.Sprint("m", i)
			e.Models[name] = catalog.Model{Name: name, WeightsMB: 70_000, LoadTime: 100 * time.Millisecond, Adapters: 5, AdapterMB: 60}
		}
		w = &workers{byID: make(map[string]*worker), engine: e, holders: make(map[string][]string)}
		state := &catalog.State{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", Engine: e}}}
		state.Index()
		holder := catalog.NewHolder()
		holder.SetIfNewer(state, time.Now())
		table = fleet.NewTable()
		for i, held := range [][]string{{"m0", "m1", "m2"}, {"m0", "m3", "m4"}, {"m0", "m1"}} {
			id := fmt.Sprint("t", i)
			w.byID[id] = &worker{models: held}
			a := fleet.Announcement{ID: id, Service: "s", Zone: "z", Address: "127.0.0.1:1"}
			for _, m := range held {
				a.Models = append(a.Models, fleet.HeldModel{Name: m})
			}
			table.Upsert(a, time.Now())
		}
		demand = NewDemand()
		store := platformstandin.NewStore(clockwork.NewRealClock(), 1)
		leases := NewLeases(store, "i1", "run1", 100*time.Millisecond, alone{}, telemetry.Discard())
		leases.Zone("z")
		node := mesh.NewNode(mesh.Peer{Name: "i1", Zone: "z"}, nil, telemetry.Discard())
		k = NewController(ControllerConfig{
			Leases: leases, Operator: w, Fleet: table, Catalog: holder, Demand: demand, View: NewView(), Node: node,
			Log: telemetry.Discard(), Metrics: prometheus.NewRegistry(), TriggerBroadcast: func() {},
			Work:           func(string) time.Duration { return 0 },
			ReachableZones: func() map[string]bool { return map[string]bool{"z": true} },
		})
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go leases.Run(ctx) //nolint:errcheck // Ends with the context.
		go k.Run(ctx)      //nolint:errcheck // Ends with the context.
	})

	busy := func(d *Demand, model string, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			d.Add("s", model, 100*time.Millisecond, false, time.Now())
		}
	}

	It("makes copies of a model that demand has moved to", func() {
		go busy(demand, "m3", 6*time.Second)
		Eventually(func() int { return w.copies("m3") }, 8*time.Second).Should(BeNumerically(">=", 2))
		Expect(w.crashes()).To(BeEmpty())
	})

	It("never overcommits a target or drops a last copy while orders act late and unanswered", func() {
		w.mu.Lock()
		w.loseEvery = 3
		w.mu.Unlock()
		d := demand
		go func() {
			for i := range 4 {
				busy(d, fmt.Sprint("m", i+1), 1500*time.Millisecond)
			}
		}()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			Expect(w.crashes()).To(BeEmpty())
			for i := range 5 {
				Expect(w.copies(fmt.Sprint("m", i))).To(BeNumerically(">=", 1))
			}
		}
	})

	ensure := func(adapter string) func() error {
		return func() error {
			_, err := k.EnsureAdapter(ctx, "s", "t1", "m3", adapter)
			return err
		}
	}
	// fillPlaces takes both places for adapters of a target.
	fillPlaces := func() {
		Eventually(ensure("a1"), 3*time.Second).Should(Succeed())
		Expect(k.EnsureAdapter(ctx, "s", "t1", "m3", "a2")).To(Equal("t1"))
	}

	It("loads an adapter on demand, and evicts the one used longest ago where places are few", func() {
		fillPlaces()
		Eventually(ensure("a3"), 4*time.Second).Should(Succeed())
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.byID["t1"].adapters).To(ConsistOf("m3/a2", "m3/a3"))
	})

	It("does not load an adapter into the place of one that is still in use", func() {
		w.mu.Lock()
		w.inUse = true
		w.mu.Unlock()
		fillPlaces()
		Eventually(ensure("a3"), 6*time.Second).Should(Succeed())
		Expect(w.crashes()).To(BeEmpty())
	})

	It("refuses an adapter for a model that no target holds", func() {
		_, err := k.EnsureAdapter(ctx, "s", "t1", "none", "a1")
		Expect(errors.Is(err, ErrNoPlace) || errors.Is(err, ErrNoHolder)).To(BeTrue())
	})
})

var _ = Describe("View", func() {
	t1 := &fleet.Target{Announcement: fleet.Announcement{ID: "t1", BornMS: 1, Models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a0"}}}}}

	It("believes announcements until the holder of the lease tells more", func() {
		v := NewView()
		model, adapter := v.Holds(t1, "m", "a0")
		Expect([]bool{model, adapter}).To(Equal([]bool{true, true}))
		v.AdapterLoaded("t1", 1, "m/a1")
		_, adapter = v.Holds(t1, "m", "a1")
		Expect(adapter).To(BeTrue())
	})

	It("forgets what was told of an earlier incarnation", func() {
		v := NewView()
		v.AdapterLoaded("t1", 0, "m/a1")
		_, adapter := v.Holds(t1, "m", "a1")
		Expect(adapter).To(BeFalse())
	})

	It("knows when the targets of a model take adapters again: the first whose move ends", func() {
		v := NewView()
		t2 := &fleet.Target{Announcement: fleet.Announcement{ID: "t2", BornMS: 1, Models: []fleet.HeldModel{{Name: "m"}}}}
		other := &fleet.Target{Announcement: fleet.Announcement{ID: "t3", BornMS: 1}}
		all := []*fleet.Target{t1, t2, other}
		_, moving := v.MovesEnd(all, "m")
		Expect(moving).To(BeFalse())
		v.Apply(peers.Placed{TargetID: "t1", BornMS: 1, Coming: map[string]int64{"x": 4000}})
		_, moving = v.MovesEnd(all, "m")
		Expect(moving).To(BeFalse(), "t2 has no move")
		v.Apply(peers.Placed{TargetID: "t2", BornMS: 1, Coming: map[string]int64{"y": 1500}})
		left, moving := v.MovesEnd(all, "m")
		Expect(moving).To(BeTrue())
		Expect(left).To(BeNumerically("~", 1500*time.Millisecond, 100*time.Millisecond))
	})

	It("holds all for plain calls", func() {
		model, adapter := NewView().Holds(t1, "", "")
		Expect([]bool{model, adapter}).To(Equal([]bool{true, true}))
	})
})

var _ = Describe("Demand", func() {
	It("sums work over runs, counts none of a run twice, and decays", func() {
		d, now := NewDemand(), time.Unix(1000, 0)
		d.Rates("s", now)
		peer := NewDemand()
		// The first word of a run tells of times before.
		peer.Add("s", "m", 500*time.Second, false, now)
		d.Observe("run", peer.Updates(true), now)
		for range 40 {
			now = now.Add(250 * time.Millisecond)
			peer.Add("s", "m", 125*time.Millisecond, false, now)
			d.Observe("run", peer.Updates(true), now)
			d.Observe("run", peer.Updates(true), now)
			d.UpdateRates(now)
		}
		rates, _ := d.Rates("s", now)
		Expect(rates["m"]).To(BeNumerically("~", 0.5, 0.05))
		now = now.Add(10 * time.Second)
		rates, _ = d.Rates("s", now)
		Expect(rates["m"]).To(BeNumerically("<", 0.05))
	})
})
