package residency

import (
	"math"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/peers"
)

const (
	// demandHalfLife is how fast demand for a model is forgotten. The busy models
	// change within seconds, and a load takes as long.
	demandHalfLife = 2 * time.Second
	// wantedFor is how long a model counts as wanted after a call found no copy.
	wantedFor = 5 * time.Second
)

// modelKey names a model of a service.
type modelKey struct{ service, model string }

// demandCount is the work for a model that one instance counted.
type demandCount struct {
	work     float64
	unserved uint64
}

// Demand sums the work for each model over all instances. It is safe for
// concurrent use.
type Demand struct {
	mu sync.Mutex
	// own counts since the start; peers by run.
	own   map[modelKey]demandCount
	peers map[string]map[modelKey]demandCount
	// fresh is the work since the last fold; rate decays.
	fresh    map[modelKey]float64
	rate     map[modelKey]float64
	foldedAt time.Time
	wanted   map[modelKey]time.Time
	// untold are the own counts that changed since they were last told.
	untold map[modelKey]bool
}

// NewDemand returns no demand.
func NewDemand() *Demand {
	return &Demand{
		own: make(map[modelKey]demandCount), peers: make(map[string]map[modelKey]demandCount),
		fresh: make(map[modelKey]float64), rate: make(map[modelKey]float64), wanted: make(map[modelKey]time.Time),
		untold: make(map[modelKey]bool),
	}
}

// Add counts work of this instance.
func (d *Demand) Add(service, model string, work time.Duration, unserved bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := modelKey{service, model}
	c := d.own[key]
	c.work += float64(work) / float64(time.Millisecond)
	d.fresh[key] += work.Seconds()
	if unserved {
		c.unserved++
		d.wanted[key] = now
	}
	d.own[key] = c
	d.untold[key] = true
}

// Updates returns the counts of this instance that changed since the last call, or
// all.
func (d *Demand) Updates(all bool) []peers.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []peers.ModelDemand
	for key, c := range d.own {
		if !all && !d.untold[key] {
			continue
		}
		delete(d.untold, key)
		out = append(out, peers.ModelDemand{Service: key.service, Model: key.model, WorkMS: c.work, Unserved: c.unserved})
	}
	return out
}

// Observe takes the counts of one run of a peer.
func (d *Demand) Observe(run string, list []peers.ModelDemand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.peers[run]
	first := known == nil
	if first {
		known = make(map[modelKey]demandCount)
		d.peers[run] = known
	}
	for _, m := range list {
		key := modelKey{m.Service, m.Model}
		before := known[key]
		if !first {
			d.fresh[key] += max(0, m.WorkMS-before.work) / 1000
			if m.Unserved > before.unserved {
				d.wanted[key] = now
			}
		}
		known[key] = demandCount{m.WorkMS, m.Unserved}
	}
}

// RemoveRun forgets a run of a peer.
func (d *Demand) RemoveRun(run string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, run)
}

// UpdateRates brings the rates up to date. It is called regularly, so that an instance
// that takes over knows them.
func (d *Demand) UpdateRates(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fold(now)
}

// Rates returns the work for each model of a service in engines, and the models
// that calls asked for in vain.
func (d *Demand) Rates(service string, now time.Time) (map[string]float64, map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fold(now)
	rates, wanted := make(map[string]float64), make(map[string]bool)
	for key, r := range d.rate {
		if key.service == service {
			rates[key.model] = r
		}
	}
	for key, at := range d.wanted {
		if key.service == service && now.Sub(at) < wantedFor {
			wanted[key.model] = true
		}
	}
	return rates, wanted
}

// fold requires d.mu. It moves the rates by the work since the last fold.
func (d *Demand) fold(now time.Time) {
	passed := now.Sub(d.foldedAt).Seconds()
	if d.foldedAt.IsZero() {
		d.foldedAt = now
		return
	}
	if passed < 0.1 {
		return
	}
	keep := math.Exp2(-passed / demandHalfLife.Seconds())
	for key := range d.rate {
		d.rate[key] *= keep
	}
	for key, work := range d.fresh {
		d.rate[key] += (1 - keep) * work / passed
	}
	clear(d.fresh)
	d.foldedAt = now
}
