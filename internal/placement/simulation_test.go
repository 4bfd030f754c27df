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
	simMinutes         = 180
	simEngineMB        = 48_000
	simAdapterMB       = 200
	simConcurrency     = 32
	simPeakUtilization = 0.75
	simLoadMBps        = 1000
	simWarmUpTime      = 20 * time.Second
	simAdapterLoadTime = 2 * time.Second
	simUnloadTime      = 6 * time.Second
)

// simulation is a queueing model of a fleet. Calls beyond the concurrency of their
// target are not served in time.
type simulation struct {
	deployment
	rng        *rand.Rand
	state      State
	now        time.Time
	base       map[string]float64
	surges     map[string]surge
	series     map[string]*Series
	pending    []completion
	loadTokens float64
	// offeredCalls and servedCalls are the sums, over all observations, of the
	// concurrent calls that were demanded and served in time, by model with its
	// adapters.
	offeredCalls map[string]float64
	servedCalls  map[string]float64
	// moves is the number of model loads.
	moves int
	// forecast is whether the policy gets forecasts instead of the current demand.
	forecast bool
	names    []string
}

// surge is a temporary tenfold rise in demand. Its fields are in minutes.
type surge struct{ start, rise, hold, fall float64 }

type completion struct {
	completesAt time.Time
	target      int
	move        orders.Move
}

func newSimulation(d deployment, seed uint64, forecast bool) *simulation {
	s := &simulation{
		deployment: d, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), forecast: forecast,
		base: make(map[string]float64), surges: make(map[string]surge), series: make(map[string]*Series),
		offeredCalls: make(map[string]float64), servedCalls: make(map[string]float64),
	}
	for i := range d.models {
		m := environment.Model{Name: fmt.Sprintf("m%02d", i), MemoryMB: int64(12_000 + s.rng.IntN(5)*3000)}
		s.state.Models = append(s.state.Models, m)
		s.base[m.Name] = 1 / float64(i+2)
		if s.rng.Float64() < 0.6 {
			s.surges[m.Name] = surge{s.rng.Float64() * 90, 30 + 30*s.rng.Float64(), 20, 30}
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
	s.scaleDemand()
	s.loadInitialCopies()
	return s
}

// modelDemand returns the total demand for a model and its adapters at a minute.
func (s *simulation) modelDemand(model string, minute float64) float64 {
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

// scaleDemand scales the demand so that its total peaks at simPeakUtilization of the
// fleet's concurrency.
func (s *simulation) scaleDemand() {
	peak := 0.0
	for minute := range simMinutes {
		sum := 0.0
		for _, m := range s.state.Models {
			sum += s.modelDemand(m.Name, float64(minute))
		}
		peak = max(peak, sum)
	}
	for name := range s.base {
		s.base[name] *= simPeakUtilization * simConcurrency * float64(s.engines) / peak
	}
}

// loadInitialCopies loads one copy of each resource before the clock starts.
func (s *simulation) loadInitialCopies() {
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

// demand returns the demand for each served name at the current second, with random
// noise.
func (s *simulation) demand() map[string]float64 {
	minute := s.now.Sub(time.Unix(0, 0)).Minutes()
	out := make(map[string]float64)
	adapters := make(map[string][]string)
	for _, a := range s.state.Adapters {
		adapters[a.Model] = append(adapters[a.Model], a.Name)
	}
	for _, m := range s.state.Models {
		x := s.modelDemand(m.Name, minute) * math.Exp(0.1*s.rng.NormFloat64())
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
		s.completeMoves()
		s.loadTokens = min(max(1, s.loadsPerSecond), s.loadTokens+s.loadsPerSecond)
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
		d := Demand{Served: name, Slots: demand[name], LongTermSlots: demand[name]}
		if s.forecast {
			d.Slots, d.LongTermSlots = series.Forecast(), series.LongAverage()
		}
		s.state.Demand = append(s.state.Demand, d)
	}
	s.recordServed(demand)
}

// recordServed routes the demand to the confirmed copies and adds up the offered
// and the served demand.
func (s *simulation) recordServed(demand map[string]float64) {
	ready := s.state
	ready.Demand = nil
	for name, slots := range demand {
		ready.Demand = append(ready.Demand, Demand{Served: name, Slots: slots})
	}
	ready.Targets = nil
	for _, t := range s.state.Targets {
		var confirmed []Copy
		for _, c := range t.Copies {
			if c.State == Confirmed {
				confirmed = append(confirmed, c)
			}
		}
		t.Copies = confirmed
		ready.Targets = append(ready.Targets, t)
	}
	b := newPlanBuilder(&ready)
	for _, k := range b.resources() {
		x := demand[k.Served()]
		s.offeredCalls[k.Model] += x
		targets := b.serving(k)
		servedFraction := 0.0
		for _, t := range targets {
			servedFraction += min(1, b.capacity(t)/max(b.targetLoads[t], 1e-9))
		}
		if len(targets) > 0 {
			s.servedCalls[k.Model] += x * servedFraction / float64(len(targets))
		}
		for _, t := range targets {
			b.copyOn(t, k).LastUsed = s.now
		}
	}
	for t := range s.state.Targets {
		for i := range s.state.Targets[t].Copies {
			c := &s.state.Targets[t].Copies[i]
			if x := demand[c.Served()]; x > 0.5 {
				c.LastUsed = s.now
			}
		}
	}
}

func (s *simulation) plan(p Policy) {
	loading, adapters := 0, 0
	for _, c := range s.pending {
		if c.move.IsLoad() && c.move.Adapter == "" {
			loading++
		} else if c.move.IsLoad() {
			adapters++
		}
	}
	s.state.Budget = Budget{Loads: min(int(s.loadTokens), s.loadsAtOnce-loading), AdapterLoads: s.adapterLoadsLimit - adapters}
	for _, m := range p.Plan(&s.state) {
		s.startMove(m)
	}
}

func (s *simulation) startMove(m orders.Move) {
	t := s.index(m.Target)
	c := completion{target: t, move: m, completesAt: s.now.Add(simUnloadTime)}
	if m.IsLoad() {
		c.completesAt = s.now.Add(simAdapterLoadTime)
		s.state.Targets[t].FreeMB -= m.MemoryMB
		s.state.Targets[t].Copies = append(s.state.Targets[t].Copies, Copy{Resource: m.Resource, MemoryMB: m.MemoryMB, State: Loading, FirstSeenAt: s.now})
		if m.Adapter == "" {
			s.loadTokens--
			s.moves++
			c.completesAt = s.now.Add(time.Duration(m.MemoryMB)*time.Second/simLoadMBps + simWarmUpTime)
		}
	} else {
		s.copyOn(t, m.Resource).State = Unloading
	}
	s.pending = append(s.pending, c)
	Expect(s.state.Targets[t].FreeMB).To(BeNumerically(">=", 0))
}

func (s *simulation) copyOn(t int, k orders.Resource) *Copy {
	for i := range s.state.Targets[t].Copies {
		if c := &s.state.Targets[t].Copies[i]; c.Resource == k {
			return c
		}
	}
	return nil
}

func (s *simulation) completeMoves() {
	remaining := s.pending[:0]
	for _, c := range s.pending {
		if c.completesAt.After(s.now) {
			remaining = append(remaining, c)
			continue
		}
		s.apply(c.target, c.move)
	}
	s.pending = remaining
}

func (s *simulation) apply(t int, m orders.Move) {
	target := &s.state.Targets[t]
	if m.IsLoad() {
		if s.copyOn(t, m.Resource) == nil {
			target.FreeMB -= m.MemoryMB
			target.Copies = append(target.Copies, Copy{Resource: m.Resource, MemoryMB: m.MemoryMB})
		}
		s.copyOn(t, m.Resource).State = Confirmed
		return
	}
	for i := range target.Copies {
		if target.Copies[i].Resource == m.Resource {
			target.FreeMB += target.Copies[i].MemoryMB
			target.Copies = append(target.Copies[:i], target.Copies[i+1:]...)
			return
		}
	}
}

// simulationResult is the result of one run. attainment is the fraction of the demand
// that was served in time, worstModel the same for the model where it is lowest.
// perEngine is the average number of concurrent calls served in time per engine.
// movesPerHour counts model loads only.
type simulationResult struct {
	attainment   float64
	perEngine    float64
	movesPerHour float64
	worstModel   float64
}

func (s *simulation) result() simulationResult {
	var offered, served float64
	worst := 1.0
	for model, x := range s.offeredCalls {
		offered += x
		served += s.servedCalls[model]
		worst = min(worst, s.servedCalls[model]/x)
	}
	observations := float64(simMinutes*60) / forecastStep.Seconds()
	return simulationResult{
		attainment:   served / offered,
		perEngine:    served / observations / float64(s.engines),
		movesPerHour: float64(s.moves) / (simMinutes / 60),
		worstModel:   worst,
	}
}

func simulate(d deployment, p Policy, seed uint64) simulationResult {
	_, isForecast := p.(CostBenefit)
	s := newSimulation(d, seed, isForecast)
	s.run(p)
	return s.result()
}

var _ = Describe("Demand moving tenfold within an hour", func() {
	policies := []struct {
		name   string
		policy Policy
	}{
		{"static", Static{}}, {"least recently used", LeastRecentlyUsed{}}, {"greedy by demand", Greedy{}}, {"priced", CostBenefit{}},
	}
	It("is served best by the cost-benefit policy", func() {
		deployments := []deployment{ingrassa}
		if *simulateAll {
			deployments = append(deployments, celula)
		}
		for _, d := range deployments {
			GinkgoWriter.Println(d.name)
			table := tablewriter.NewWriter(GinkgoWriter)
			table.SetHeader([]string{"policy", "attainment", "per engine", "moves/h", "worst model"})
			var all []simulationResult
			for _, p := range policies {
				r := simulate(d, p.policy, *simulationSeed)
				all = append(all, r)
				table.Append([]string{p.name, fmt.Sprintf("%.4f", r.attainment), fmt.Sprintf("%.2f", r.perEngine), fmt.Sprintf("%.1f", r.movesPerHour), fmt.Sprintf("%.4f", r.worstModel)})
			}
			table.Render()
			costBenefit := all[len(all)-1]
			for _, other := range all[:len(all)-1] {
				Expect(costBenefit.attainment).To(BeNumerically(">=", other.attainment))
				Expect(costBenefit.worstModel).To(BeNumerically(">=", other.worstModel))
			}
			Expect(costBenefit.movesPerHour).To(BeNumerically("<", all[2].movesPerHour))
		}
	})
})
