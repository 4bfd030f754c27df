package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/olekukonko/tablewriter"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders"
)

// deployment is the size of one user's fleet.
type deployment struct {
	name              string
	engines           int
	models, adapters  int
	loadsPerSecond    float64
	loadsAtOnce       int
	adapterLoadsLimit int
}

var (
	celula   = deployment{"celula", 12, 20, 75, 1.4, 6, 50}
	ingrassa = deployment{"ingrassa", 9, 17, 55, 1.0, 3, 25}
)

const (
	simMinutes     = 180
	simEngineMB    = 48_000
	simAdapterMB   = 200
	simConcurrency = 32
	simPeak        = 0.75
	simLoadMBps    = 1000
	simColdTime    = 20 * time.Second
	simAdapterTime = 2 * time.Second
	simUnloadTime  = 6 * time.Second
)

// simulation is a fleet as a queueing model: a call is in time if its target
// has no more calls than it bears.
type simulation struct {
	deployment
	random   *rand.Rand
	state    State
	now      time.Time
	base     map[string]float64
	surges   map[string]surge
	series   map[string]*Series
	pending  []landing
	tokens   float64
	offered  map[string]float64
	served   map[string]float64
	moves    int
	forecast bool
	names    []string
}

type surge struct{ start, rise, hold, fall float64 }

type landing struct {
	at     time.Time
	target int
	move   orders.Move
}

func newSimulation(d deployment, seed uint64, forecast bool) *simulation {
	s := &simulation{
		deployment: d, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), forecast: forecast,
		base: make(map[string]float64), surges: make(map[string]surge), series: make(map[string]*Series),
		offered: make(map[string]float64), served: make(map[string]float64),
	}
	for i := range d.models {
		m := environment.Model{Name: fmt.Sprintf("m%02d", i), MemoryMB: int64(12_000 + s.random.IntN(5)*3000)}
		s.state.Models = append(s.state.Models, m)
		s.base[m.Name] = 1 / float64(i+2)
		if s.random.Float64() < 0.6 {
			s.surges[m.Name] = surge{s.random.Float64() * 90, 30 + 30*s.random.Float64(), 20, 30}
		}
	}
	for i := range d.adapters {
		s.state.Adapters = append(s.state.Adapters, environment.Adapter{Name: fmt.Sprintf("a%02d", i), Model: s.state.Models[i%d.models].Name, MemoryMB: simAdapterMB})
	}
	for i := range d.engines {
		s.state.Targets = append(s.state.Targets, Target{
			Name: fmt.Sprintf("e%02d", i), Zone: fmt.Sprintf("z%d", i%3), MemoryMB: simEngineMB, FreeMB: simEngineMB, Concurrency: simConcurrency, Fresh: true,
		})
	}
	for _, m := range s.state.Models {
		s.names = append(s.names, m.Name)
	}
	for _, a := range s.state.Adapters {
		s.names = append(s.names, a.Name)
	}
	s.scale()
	s.settleIn()
	return s
}

// at returns the demand of a model and its adapters together at a minute.
func (s *simulation) at(model string, minute float64) float64 {
	x := s.base[model]
	g, ok := s.surges[model]
	if !ok {
		return x
	}
	t := minute - g.start
	factor := 1.0
	switch {
	case t < 0:
	case t < g.rise:
		factor = math.Pow(10, t/g.rise)
	case t < g.rise+g.hold:
		factor = 10
	case t < g.rise+g.hold+g.fall:
		factor = math.Pow(10, 1-(t-g.rise-g.hold)/g.fall)
	}
	return x * factor
}

// scale brings the peak of all demand to a set part of the fleet.
func (s *simulation) scale() {
	peak := 0.0
	for minute := range simMinutes {
		sum := 0.0
		for _, m := range s.state.Models {
			sum += s.at(m.Name, float64(minute))
		}
		peak = max(peak, sum)
	}
	for name := range s.base {
		s.base[name] *= simPeak * simConcurrency * float64(s.engines) / peak
	}
}

// settleIn loads one copy of everything before the clock starts.
func (s *simulation) settleIn() {
	for range 50 {
		s.state.Budget = Budget{1000, 1000}
		for _, m := range (Static{}).Plan(&s.state) {
			s.apply(s.index(m.Target), m)
		}
	}
}

func (s *simulation) index(name string) int {
	var n int
	_, err := fmt.Sscanf(name, "e%d", &n)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// demand returns what each served name is asked for at the present second.
func (s *simulation) demand() map[string]float64 {
	minute := s.now.Sub(time.Unix(0, 0)).Minutes()
	out := make(map[string]float64)
	adapters := make(map[string][]string)
	for _, a := range s.state.Adapters {
		adapters[a.Model] = append(adapters[a.Model], a.Name)
	}
	for _, m := range s.state.Models {
		x := s.at(m.Name, minute) * math.Exp(0.1*s.random.NormFloat64())
		out[m.Name] = 0.4 * x
		weights := 0.0
		for i := range adapters[m.Name] {
			weights += 1 / float64(i+1)
		}
		for i, a := range adapters[m.Name] {
			out[a] = 0.6 * x / float64(i+1) / weights
		}
	}
	return out
}

func (s *simulation) run(p Policy) {
	for range simMinutes * 60 {
		s.now = s.now.Add(time.Second)
		s.state.Now = s.now
		s.land()
		s.tokens = min(max(1, s.loadsPerSecond), s.tokens+s.loadsPerSecond)
		if s.now.Unix()%int64(forecastStep.Seconds()) == 0 {
			s.observe(s.demand())
			s.plan(p)
		}
	}
}

func (s *simulation) observe(demand map[string]float64) {
	s.state.Demand = s.state.Demand[:0]
	for _, name := range s.names {

		series := s.series[name]
		if series == nil {
			series = &Series{}
			s.series[name] = series
		}
		series.Observe(demand[name])
		d := Demand{Served: name, Slots: demand[name], LongSlots: demand[name]}
		if s.forecast {
			d.Slots, d.LongSlots = series.Forecast(), series.Long()
		}
		s.state.Demand = append(s.state.Demand, d)
	}
	s.measure(demand)
}

// measure routes the demand over the copies that are ready.
func (s *simulation) measure(demand map[string]float64) {
	ready := s.state
	ready.Demand = nil
	for name, slots := range demand {
		ready.Demand = append(ready.Demand, Demand{Served: name, Slots: slots})
	}
	ready.Targets = nil
	for _, t := range s.state.Targets {
		var sure []Holding
		for _, h := range t.Holdings {
			if h.State == Sure {
				sure = append(sure, h)
			}
		}
		t.Holdings = sure
		ready.Targets = append(ready.Targets, t)
	}
	b := newBoard(&ready)
	for _, k := range b.resources() {
		x := demand[k.Served()]
		s.offered[k.Model] += x
		targets := b.serving(k)
		room := 0.0
		for _, t := range targets {
			room += min(1, b.capacity(t)/max(b.loads[t], 1e-9))
		}
		if len(targets) > 0 {
			s.served[k.Model] += x * room / float64(len(targets))
		}
		for _, t := range targets {
			b.holding(t, k).LastUsed = s.now
		}
	}
	for t := range s.state.Targets {
		for i := range s.state.Targets[t].Holdings {
			h := &s.state.Targets[t].Holdings[i]
			if x := demand[h.Served()]; x > 0.5 {
				h.LastUsed = s.now
			}
		}
	}
}

func (s *simulation) plan(p Policy) {
	loading, adapters := 0, 0
	for _, l := range s.pending {
		if l.move.IsLoad() && l.move.Adapter == "" {
			loading++
		} else if l.move.IsLoad() {
			adapters++
		}
	}
	s.state.Budget = Budget{Loads: min(int(s.tokens), s.loadsAtOnce-loading), AdapterLoads: s.adapterLoadsLimit - adapters}
	for _, m := range p.Plan(&s.state) {
		s.begin(m)
	}
}

func (s *simulation) begin(m orders.Move) {
	t := s.index(m.Target)
	l := landing{target: t, move: m, at: s.now.Add(simUnloadTime)}
	if m.IsLoad() {
		l.at = s.now.Add(simAdapterTime)
		s.state.Targets[t].FreeMB -= m.MemoryMB
		s.state.Targets[t].Holdings = append(s.state.Targets[t].Holdings, Holding{Resource: m.Resource, MemoryMB: m.MemoryMB, State: Coming, Since: s.now})
		if m.Adapter == "" {
			s.tokens--
			s.moves++
			l.at = s.now.Add(time.Duration(m.MemoryMB)*time.Second/simLoadMBps + simColdTime)
		}
	} else {
		s.holding(t, m.Resource).State = Going
	}
	s.pending = append(s.pending, l)
	Expect(s.state.Targets[t].FreeMB).To(BeNumerically(">=", 0))
}

func (s *simulation) holding(t int, k orders.Resource) *Holding {
	for i := range s.state.Targets[t].Holdings {
		if h := &s.state.Targets[t].Holdings[i]; h.Resource == k {
			return h
		}
	}
	return nil
}

func (s *simulation) land() {
	kept := s.pending[:0]
	for _, l := range s.pending {
		if l.at.After(s.now) {
			kept = append(kept, l)
			continue
		}
		s.apply(l.target, l.move)
	}
	s.pending = kept
}

func (s *simulation) apply(t int, m orders.Move) {
	target := &s.state.Targets[t]
	if m.IsLoad() {
		if s.holding(t, m.Resource) == nil {
			target.FreeMB -= m.MemoryMB
			target.Holdings = append(target.Holdings, Holding{Resource: m.Resource, MemoryMB: m.MemoryMB})
		}
		s.holding(t, m.Resource).State = Sure
		return
	}
	for i := range target.Holdings {
		if target.Holdings[i].Resource == m.Resource {
			target.FreeMB += target.Holdings[i].MemoryMB
			target.Holdings = append(target.Holdings[:i], target.Holdings[i+1:]...)
			return
		}
	}
}

// figures of one run. Attainment per accelerator is the calls at once that were
// served in time, by engine.
type figures struct {
	attainment     float64
	perAccelerator float64
	movesPerHour   float64
	worstModel     float64
}

func (s *simulation) figures() figures {
	var offered, served float64
	worst := 1.0
	for model, x := range s.offered {
		offered += x
		served += s.served[model]
		worst = min(worst, s.served[model]/x)
	}
	observations := float64(simMinutes*60) / forecastStep.Seconds()
	return figures{
		attainment:     served / offered,
		perAccelerator: served / observations / float64(s.engines),
		movesPerHour:   float64(s.moves) / (simMinutes / 60),
		worstModel:     worst,
	}
}

func simulate(d deployment, p Policy, seed uint64) figures {
	_, isForecast := p.(CostBenefit)
	s := newSimulation(d, seed, isForecast)
	s.run(p)
	return s.figures()
}

var _ = Describe("Demand moving tenfold within an hour", func() {
	policies := []struct {
		name   string
		policy Policy
	}{
		{"static", Static{}}, {"least recently used", LeastRecentlyUsed{}}, {"greedy by demand", Greedy{}}, {"priced", CostBenefit{}},
	}
	It("is followed best by priced moves", func() {
		deployments := []deployment{ingrassa}
		if *simulateAll {
			deployments = append(deployments, celula)
		}
		for _, d := range deployments {
			GinkgoWriter.Println(d.name)
			table := tablewriter.NewWriter(GinkgoWriter)
			table.SetHeader([]string{"policy", "attainment", "per accelerator", "moves/h", "worst model"})
			var all []figures
			for _, p := range policies {
				f := simulate(d, p.policy, *simulationSeed)
				all = append(all, f)
				table.Append([]string{p.name, fmt.Sprintf("%.4f", f.attainment), fmt.Sprintf("%.2f", f.perAccelerator), fmt.Sprintf("%.1f", f.movesPerHour), fmt.Sprintf("%.4f", f.worstModel)})
			}
			table.Render()
			priced := all[len(all)-1]
			for _, other := range all[:len(all)-1] {
				Expect(priced.attainment).To(BeNumerically(">=", other.attainment))
				Expect(priced.worstModel).To(BeNumerically(">=", other.worstModel))
			}
			Expect(priced.movesPerHour).To(BeNumerically("<", all[2].movesPerHour))
		}
	})
})
