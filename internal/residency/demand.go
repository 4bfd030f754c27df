package residency

import (
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/forecast"
	"github.com/dotterellink/dotterellink/internal/peers"
)

const (
	// demandAhead is how far ahead forecast rates are: about the time in which an order of a
	// model takes effect.
	demandAhead = 2 * time.Second
	// forecastHalfLife is the half-life of the level of forecasts.
	forecastHalfLife = time.Second
	// unservedWindow is how long a model counts as unserved after a call found no copy.
	unservedWindow = 5 * time.Second
)

// demandAverage is the smoothing of the work for a model without a forecast. The set of busy
// models changes within seconds, and a model load takes as long.
var demandAverage = forecast.Config{Interval: 100 * time.Millisecond, LevelHalfLife: 2 * time.Second}

// demandForecast is the smoothing with a forecast. A trend with four times the half-life of the
// level is the quickest that does not swing around a steady demand.
var demandForecast = forecast.Config{
	Interval: 500 * time.Millisecond, LevelHalfLife: forecastHalfLife, TrendHalfLife: 4 * forecastHalfLife,
	TrendReach: demandAhead, MaxChange: 0.6,
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// demandZone identifies the callers of a service at the instances of a zone.
type demandZone struct{ service, zone string }

// demandCount holds the cumulative counts of one instance for a model. Work is in
// milliseconds.
type demandCount struct {
	work     float64
	unserved uint64
}

// peerDemand holds the counts of one run of a peer. complete is set once a report has
// listed all models with work.
type peerDemand struct {
	counts   map[modelKey]demandCount
	complete bool
}

// Demand sums the work for each model over all instances. It is safe for
// concurrent use.
type Demand struct {
	zone      string
	smoothing forecast.Config

	mu sync.Mutex
	// zoneWork is the work in seconds that was asked of the instances of each zone.
	zoneWork map[demandZone]float64
	// own holds the counts of this instance since its start, peers the last reported
	// counts by run.
	own   map[modelKey]demandCount
	peers map[string]*peerDemand
	// series holds the rate of work for each model in engines.
	series     map[modelKey]*forecast.Series
	unservedAt map[modelKey]time.Time
	// usedAt is when work for a model was last counted.
	usedAt map[modelKey]time.Time
	// changed marks the own counts that changed since Updates last returned them.
	changed map[modelKey]bool
}

// NewDemand returns an empty Demand of an instance in a zone. Its rates are forecasts if ahead is
// set, else averages of the last seconds.
func NewDemand(zone string, ahead bool) *Demand {
	smoothing := demandAverage
	if ahead {
		smoothing = demandForecast
	}
	return &Demand{
		zone: zone, smoothing: smoothing, zoneWork: make(map[demandZone]float64),
		own: make(map[modelKey]demandCount), peers: make(map[string]*peerDemand),
		series: make(map[modelKey]*forecast.Series), unservedAt: make(map[modelKey]time.Time), usedAt: make(map[modelKey]time.Time),
		changed: make(map[modelKey]bool),
	}
}

// Add counts work of this instance; unserved marks a call for which no target held
// the model.
func (d *Demand) Add(service, model string, work time.Duration, unserved bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := modelKey{service, model}
	c := d.own[key]
	c.work += float64(work) / float64(time.Millisecond)
	d.addWork(key, d.zone, work.Seconds(), now)
	d.usedAt[key] = now
	if unserved {
		c.unserved++
		d.unservedAt[key] = now
	}
	d.own[key] = c
	d.changed[key] = true
}

// Updates returns the counts of this instance that changed since the last call, or
// all of them.
func (d *Demand) Updates(all bool) []peers.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []peers.ModelDemand
	for key, c := range d.own {
		if !all && !d.changed[key] {
			continue
		}
		delete(d.changed, key)
		out = append(out, peers.ModelDemand{Service: key.service, Model: key.model, WorkMS: c.work, Unserved: c.unserved})
	}
	return out
}

// Observe applies the cumulative counts that one run of a peer in a zone reports. The first
// counts of a model are only a baseline, as they include earlier work, unless an earlier
// report was complete: a model that it did not list had no work then.
func (d *Demand) Observe(zone, run string, list []peers.ModelDemand, complete bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[run]
	if p == nil {
		p = &peerDemand{counts: make(map[modelKey]demandCount)}
		d.peers[run] = p
	}
	for _, m := range list {
		key := modelKey{m.Service, m.Model}
		before, known := p.counts[key]
		if (known || p.complete) && (m.WorkMS > before.work || m.Unserved > before.unserved) {
			d.usedAt[key] = now
			d.addWork(key, zone, max(0, m.WorkMS-before.work)/1000, now)
			if m.Unserved > before.unserved {
				d.unservedAt[key] = now
			}
		}
		p.counts[key] = demandCount{m.WorkMS, m.Unserved}
	}
	p.complete = p.complete || complete
}

// WorkAsked returns the engine time in seconds for a service that callers have asked of the
// instances of a zone since the start of this instance, refused work included.
func (d *Demand) WorkAsked(service, zone string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.zoneWork[demandZone{service, zone}]
}

// RemoveRun drops the counts of a run of a peer.
func (d *Demand) RemoveRun(run string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, run)
}

// addWork requires d.mu. It counts work in seconds that was asked of the instances of a zone.
func (d *Demand) addWork(key modelKey, zone string, work float64, now time.Time) {
	d.zoneWork[demandZone{key.service, zone}] += work
	s := d.series[key]
	if s == nil {
		// The work was done before it is counted here.
		s = forecast.New(d.smoothing, now.Add(-d.smoothing.Interval))
		d.series[key] = s
	}
	s.Add(work, now)
}

// Rates returns the work for each model of a service, in engines, as an average or as expected
// after demandAhead, and the models with recent unserved calls.
func (d *Demand) Rates(service string, now time.Time) (map[string]float64, map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates, unserved := make(map[string]float64), make(map[string]bool)
	for key, s := range d.series {
		if key.service == service {
			rates[key.model] = s.At(demandAhead, now)
		}
	}
	for key, at := range d.unservedAt {
		if key.service == service && now.Sub(at) < unservedWindow {
			unserved[key.model] = true
		}
	}
	return rates, unserved
}

// IdleFor returns how long each model of a service has had no demand. Models that never
// had any are missing.
func (d *Demand) IdleFor(service string, now time.Time) map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]time.Duration)
	for key, at := range d.usedAt {
		if key.service == service {
			out[key.model] = now.Sub(at)
		}
	}
	return out
}
