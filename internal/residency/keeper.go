package residency

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/peers"
)

const (
	// keepInterval is the time between two looks at placement.
	keepInterval = 100 * time.Millisecond
	// reportEvery is the time between reports of a target at rest; askAgain of
	// one whose state is in doubt. Each report is priced as a probe.
	reportEvery = 1500 * time.Millisecond
	askAgain    = 130 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// storeLoadBurst is the number of loads from the weight store that may begin
	// at once, beyond its steady rate. The bound of the store allows three more.
	storeLoadBurst = 2.5
	// fastLoad is the expected time of a load from the target's own copies.
	fastLoad = 800 * time.Millisecond
)

// Controller carries placement out while this instance holds the lease. It is safe
// for concurrent use.
//
// Lock order: managed.mu before Controller.mu.
type Controller struct {
	leases   *Leases
	operator call.TargetOperator
	fleet    *fleet.Table
	catalog  *catalog.Holder
	demand   *Demand
	view     *View
	node     *mesh.Node
	log      log.Interface
	now      func() time.Time
	metrics  keeperMetrics
	poke     func()
	// work returns the load of a target, for choosing among equals.
	work       func(id string) time.Duration
	zonesHeard func() map[string]bool

	mu      sync.Mutex
	targets map[string]*managed
	// loads is the number of loads from the weight store that may begin, by
	// service.
	loads map[zoneService]*loadBudget
	grown map[string]growth
	// missing notes since when a model has had no copy.
	missing map[zoneModel]absence
	// loggedAt is when the demand of a zone was last logged.
	loggedAt map[zoneService]time.Time
	// adapterUse is when each adapter, MODEL/ADAPTER, was last used.
	adapterUse map[string]time.Time
}

type loadBudget struct {
	left float64
	at   time.Time
}

type keeperMetrics struct{ orders, reports, refused prometheus.Counter }

// ControllerConfig holds what a keeper is made of.
type ControllerConfig struct {
	Leases   *Leases
	Operator call.TargetOperator
	Fleet    *fleet.Table
	Catalog  *catalog.Holder
	Demand   *Demand
	View     *View
	Node     *mesh.Node
	Log      log.Interface
	Metrics  prometheus.Registerer
	// TriggerBroadcast has the status of this instance sent soon.
	TriggerBroadcast func()
	// Work returns the load of a target.
	Work func(id string) time.Duration
	// ReachableZones returns the zones that are not cut off from this instance.
	ReachableZones func() map[string]bool
}

// NewController returns a keeper and makes it answer peers that need an adapter.
func NewController(c ControllerConfig) *Controller {
	k := &Controller{
		leases: c.Leases, zonesHeard: c.ReachableZones, operator: c.Operator, fleet: c.Fleet, catalog: c.Catalog, demand: c.Demand, view: c.View,
		node: c.Node, log: c.Log, now: time.Now, poke: c.TriggerBroadcast, work: c.Work,
		targets: make(map[string]*managed), loads: make(map[zoneService]*loadBudget), missing: make(map[zoneModel]absence), loggedAt: make(map[zoneService]time.Time), grown: make(map[string]growth), adapterUse: make(map[string]time.Time),
		metrics: keeperMetrics{
			orders:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_orders_total", Help: "Orders sent to targets."}),
			reports: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_reports_total", Help: "Reports asked of targets."}),
			refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_orders_refused_total", Help: "Orders that targets refused."}),
		},
	}
	c.Metrics.MustRegister(k.metrics.orders, k.metrics.reports, k.metrics.refused)
	mesh.Handle(c.Node, methodAdapter, k.adapterAsked)
	return k
}

// Run keeps the placement until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		k.keep(k.leases.HeldZones())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// keep looks at all targets of engine services in the zones once.
func (k *Controller) keep(zones []string) {
	state := k.catalog.Current()
	if state == nil {
		return
	}
	view := k.fleet.View()
	for _, t := range view.Targets {
		k.leases.Zone(t.Zone)
	}
	k.track(view, state, zones)
	now := k.now()
	for name, service := range state.Services {
		if service.Engine == nil {
			continue
		}
		for _, zone := range zones {
			list := k.ofService(name, zone)
			k.refresh(list, now)
			k.planZone(zone, name, service.Engine, view, list, now)
			k.advanceAll(list, service.Engine)
			k.spreadAdapters(list, service.Engine, now)
		}
	}
}

// track follows the list of targets in the zones. What it knew of others is
// forgotten: another holder may change it.
func (k *Controller) track(view *fleet.View, state *catalog.State, zones []string) {
	for id, t := range view.Targets {
		service := state.Services[t.Service]
		if service == nil || service.Engine == nil || !slices.Contains(zones, t.Zone) {
			continue
		}
		k.mu.Lock()
		m := k.targets[id]
		if m == nil {
			m = &managed{id: id, service: t.Service, zone: t.Zone, target: t, adapters: make(map[string]time.Time), dropping: make(map[string]bool), changed: true}
			k.targets[id] = m
		}
		k.mu.Unlock()
		m.mu.Lock()
		if m.target.BornMS != t.BornMS {
			m.forget()
		}
		m.target = t
		m.mu.Unlock()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, m := range k.targets {
		if view.Targets[id] == nil || !slices.Contains(zones, m.zone) {
			delete(k.targets, id)
		}
	}
	for key := range k.loads {
		if !slices.Contains(zones, key.zone) {
			delete(k.loads, key)
		}
	}
}

// ofService lists the targets of a service in a zone, sorted.
func (k *Controller) ofService(service, zone string) []*managed {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*managed
	for _, m := range k.targets {
		if m.service == service && m.zone == zone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *managed) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// refresh asks the targets whose knowledge is old for their state.
func (k *Controller) refresh(list []*managed, now time.Time) {
	var group sync.WaitGroup
	for _, m := range list {
		m.mu.Lock()
		age := now.Sub(m.askedAt)
		due := age >= reportEvery || age >= askAgain && (!m.known || m.busy || m.move != nil)
		t := m.target
		if due {
			// An unanswered question is not asked again at once.
			m.askedAt = now
		}
		m.mu.Unlock()
		if due {
			group.Add(1)
			go func() {
				defer group.Done()
				k.ask(m, t)
			}()
		}
	}
	group.Wait()
}

// ask reads the report of one target.
func (k *Controller) ask(m *managed, t *fleet.Target) {
	asked := k.now()
	k.metrics.reports.Inc()
	r, err := k.operator.Report(t.Address, t.ID, reportTimeout)
	if err != nil {
		k.log.WithField("target", t.ID).WithError(err).Info("residency: No report from target.")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(r, asked)
}

// advanceAll gives the orders that are due, side by side: an unreachable target
// must not hold up the others.
func (k *Controller) advanceAll(list []*managed, engine *catalog.Engine) {
	var group sync.WaitGroup
	for _, m := range list {
		group.Add(1)
		go func() {
			defer group.Done()
			k.advance(m, engine)
		}()
	}
	group.Wait()
}

// advance gives the order that the move of a target needs next.
func (k *Controller) advance(m *managed, engine *catalog.Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := k.now()
	o, ok := m.due(now)
	if !ok || !k.mayOrder(m) || o.Kind == call.LoadModel && !k.fits(m, o.Model, engine) {
		return
	}
	if o.Kind == call.LoadModel && !slices.Contains(m.atHand, o.Model) && !k.takeLoad(zoneService{m.zone, m.service}, engine, now) {
		return
	}
	m.sentAt = now
	if k.order(m, o) == call.OrderAccepted && o.Kind == call.LoadModel {
		m.move.loadFrom = now
	}
}

// mayOrder requires m.mu.
func (k *Controller) mayOrder(m *managed) bool {
	_, ok := k.leases.Zone(m.zone).MayOrder(m.id)
	return ok
}

// fits requires m.mu. It checks the memory of the target once more before a
// load: too much of it ends the target.
func (k *Controller) fits(m *managed, model string, engine *catalog.Engine) bool {
	slot := Slot{Held: m.models}
	p := planning{Situation: Situation{Engine: engine}}
	return p.room(slot, "") >= engine.Models[model].WeightsMB
}

// order requires m.mu. It gives one order if the lease is held.
func (k *Controller) order(m *managed, o call.Order) call.OrderResult {
	token, ok := k.leases.Zone(m.zone).MayOrder(m.id)
	if !ok {
		return call.OrderRefused
	}
	o.Holder, o.FencingToken = k.node.Self().Name, token
	k.metrics.orders.Inc()
	k.leases.Zone(m.zone).Ordered(m.id)
	timeout := orderTimeout
	if o.Adapter != "" {
		timeout = adapterOrderTimeout
	}
	result, err := k.operator.Order(m.target.Address, m.target.ID, o, timeout)
	fields := log.Fields{
		"target": m.id, "kind": int(o.Kind), "model": o.Model, "adapter": o.Adapter,
		"expected": o.ExpectedOrders, "token": token, "result": int(result),
	}
	if err != nil {
		k.metrics.refused.Inc()
		k.log.WithFields(fields).WithError(err).Info("residency: Order without effect yet.")
		m.askedAt = time.Time{}
		return result
	}
	k.log.WithFields(fields).Info("residency: Order given.")
	m.accepted(o, result, k.now())
	return result
}

// forget requires m.mu. The target has begun anew.
func (m *managed) forget() {
	m.known, m.orders, m.busy, m.models, m.atHand, m.move = false, 0, false, nil, nil, nil
	m.adapters, m.dropping = make(map[string]time.Time), make(map[string]bool)
	m.askedAt, m.reportedAt, m.acceptedAt, m.sentAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	m.changed = true
}

// Updates returns what the targets hold, for the status of this instance.
func (k *Controller) Updates(full bool) []peers.Placed {
	k.mu.Lock()
	list := make([]*managed, 0, len(k.targets))
	for _, m := range k.targets {
		list = append(list, m)
	}
	k.mu.Unlock()
	now := k.now()
	var out []peers.Placed
	for _, m := range list {
		// A target that is being given an order is told of next time.
		if !m.mu.TryLock() {
			continue
		}
		if m.known && (m.changed || full) {
			out = append(out, m.told(now))
			m.changed = false
		}
		m.mu.Unlock()
	}
	for _, p := range out {
		k.view.Apply(p)
	}
	return out
}

// told requires m.mu.
func (m *managed) told(now time.Time) peers.Placed {
	p := peers.Placed{TargetID: m.id, BornMS: m.target.BornMS}
	for name := range m.adapters {
		if m.dropping[name] {
			continue
		}
		p.Adapters = append(p.Adapters, name)
	}
	slices.Sort(p.Adapters)
	if m.move != nil {
		if m.move.Unload != "" {
			p.Leaving = []string{m.move.Unload}
		}
		left := m.move.eta
		if !m.move.loadFrom.IsZero() {
			left = max(0, left-now.Sub(m.move.loadFrom))
		}
		p.Coming = map[string]int64{m.move.Load: left.Milliseconds()}
	}
	return p
}

// Pending reports whether Updates would return changes.
func (k *Controller) Pending() bool {
	k.mu.Lock()
	list := make([]*managed, 0, len(k.targets))
	for _, m := range k.targets {
		list = append(list, m)
	}
	k.mu.Unlock()
	for _, m := range list {
		if !m.mu.TryLock() {
			continue
		}
		changed := m.known && m.changed
		m.mu.Unlock()
		if changed {
			return true
		}
	}
	return false
}
