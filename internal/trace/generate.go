package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Shape of generated requests.
const (
	popularityExponent = 0.9
	tokenSpread        = 0.6
	minPrompt          = 32
	maxPrompt          = 6000
	minGenerated       = 4
	maxGenerated       = 800
	prefixTokens       = 256
	interactiveMS      = 30_000
	batchMS            = 300_000
	serviceMS          = 10_000
	// burstParts is the number of stretches in which a bench is busy or not.
	burstParts = 40
	// drift is how many ranks popularity moves over the trace.
	drift = 6
)

// GenerateOptions control the size of a generated trace.
type GenerateOptions struct {
	Seed       uint64
	DurationMS int64
	// RequestsPerSecond is the mean at the peak of the day.
	RequestsPerSecond float64
}

// Generate returns a trace of one day squeezed into the duration.
func Generate(d Deployment, o GenerateOptions) *Trace {
	g := &generator{
		deployment: d,
		options:    o,
		random:     rand.New(rand.NewPCG(o.Seed, 0x7472616365)),
	}
	g.served = g.servedNames()
	g.busy = g.busyParts()
	t := &Trace{Header: Header{Version: Version, Deployment: d.Name, Seed: o.Seed, DurationMS: o.DurationMS, Made: true}}
	peak := g.peakRate()
	for at := g.gap(peak); at < float64(o.DurationMS); at += g.gap(peak) {
		t.Records = append(t.Records, g.arrivals(at, peak)...)
	}
	return t
}

type generator struct {
	deployment Deployment
	options    GenerateOptions
	random     *rand.Rand
	served     []string
	// busy[i][p] is set if served name i is busy in part p.
	busy [][]bool
}

// servedNames interleaves adapters and base models by popularity.
func (g *generator) servedNames() []string {
	d := &g.deployment
	names := make([]string, 0, d.Models+d.Adapters)
	for i := range d.Adapters {
		names = append(names, d.AdapterName(i))
	}
	for i := range d.Models {
		names = append(names, d.ModelName(i))
	}
	g.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (g *generator) busyParts() [][]bool {
	out := make([][]bool, len(g.served))
	for i := range out {
		out[i] = make([]bool, burstParts)
		for p := range out[i] {
			out[i][p] = g.random.Float64() < g.deployment.BurstShare
		}
	}
	return out
}

// peakRate is an upper bound of the arrivals per millisecond, for thinning.
func (g *generator) peakRate() float64 {
	return g.options.RequestsPerSecond / 1000 * max(1, g.deployment.Surge.Factor)
}

func (g *generator) gap(rate float64) float64 { return g.random.ExpFloat64() / rate }

// part returns the fraction of the trace at a time in milliseconds.
func (g *generator) part(at float64) float64 { return at / float64(g.options.DurationMS) }

// arrivals thins a candidate arrival to the demand at its time.
func (g *generator) arrivals(at, peak float64) []Record {
	account := g.pickAccount()
	demand := g.options.RequestsPerSecond / 1000 * g.dayFactor(at)
	if surge := g.deployment.Surge; account == surge.Account && g.part(at) >= surge.From && g.part(at) < surge.To {
		demand *= surge.Factor
	}
	if g.random.Float64() >= demand/peak {
		return nil
	}
	return []Record{g.record(int64(at), account)}
}

func (g *generator) dayFactor(at float64) float64 {
	day := g.deployment.Day
	return day[min(len(day)-1, int(g.part(at)*float64(len(day))))]
}

func (g *generator) pickAccount() string {
	x := g.random.Float64()
	for _, a := range g.deployment.Accounts {
		if x < a.Share {
			return a.Name
		}
		x -= a.Share
	}
	return g.deployment.Accounts[0].Name
}

func (g *generator) record(at int64, account string) Record {
	if g.random.Float64() < g.deployment.ServiceShare {
		return g.serviceRecord(at, account)
	}
	return g.chatRecord(at, account)
}

func (g *generator) serviceRecord(at int64, account string) Record {
	r := Record{AtMS: at, Account: account, Kind: KindService, Service: ServiceName, DeadlineMS: serviceMS, Method: "GET", Path: "/stock", Idempotent: true}
	if g.random.Float64() < g.deployment.BookingShare {
		r.Method, r.Path, r.Idempotent = "POST", "/bookings", false
	}
	return r
}

func (g *generator) chatRecord(at int64, account string) Record {
	d := &g.deployment
	served := g.pickServed(at)
	r := Record{
		AtMS:         at,
		Account:      account,
		Kind:         KindChat,
		Model:        served,
		Class:        "interactive",
		DeadlineMS:   interactiveMS,
		PrefixGroup:  fmt.Sprintf("%s/%s", account, served),
		PrefixTokens: prefixTokens,
	}
	prompt, generated := d.MedianPrompt, d.MedianGenerated
	part := min(len(d.BatchShare)-1, int(g.part(float64(at))*float64(len(d.BatchShare))))
	if g.random.Float64() < d.BatchShare[part] {
		r.Class, r.DeadlineMS = "batch", batchMS
		prompt, generated = d.BatchMedianPrompt, d.BatchMedianGenerated
	}
	r.PromptTokens = max(prefixTokens, g.tokens(prompt, minPrompt, maxPrompt))
	r.GeneratedTokens = g.tokens(generated, minGenerated, maxGenerated)
	return r
}

// tokens draws a log-normal size.
func (g *generator) tokens(median float64, low, high int) int {
	n := int(median * math.Exp(g.random.NormFloat64()*tokenSpread))
	return min(high, max(low, n))
}

// pickServed draws a model or adapter: popularity by rank, ranks that drift over
// the trace, and busy stretches.
func (g *generator) pickServed(at int64) string {
	part := g.part(float64(at))
	burst := min(burstParts-1, int(part*burstParts))
	shift := int(part * drift)
	weights := make([]float64, len(g.served))
	for i := range weights {
		rank := 1 + (i+shift)%len(g.served)
		weights[i] = math.Pow(float64(rank), -popularityExponent)
		if g.busy[i][burst] {
			weights[i] *= g.deployment.BurstFactor
		}
	}
	return g.served[g.draw(weights)]
}

func (g *generator) draw(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := g.random.Float64() * total
	return max(0, slices.IndexFunc(weights, func(w float64) bool {
		x -= w
		return x < 0
	}))
}
