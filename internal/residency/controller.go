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
	// reconcileInterval is the time between two reconciliations of the placement.
	reconcileInterval = 100 * time.Millisecond
	// reportInterval is the time between reports of an idle target,
	// uncertainReportInterval of one without a report or with an order or move in
	// progress. Each report has the price of a probe.
	reportInterval          = 1500 * time.Millisecond
	uncertainReportInterval = 130 * time.Millisecond
	// reportTimeout bounds the request for one report.
	reportTimeout = 400 * time.Millisecond
	// storeLoadBurst is the number of loads from the weight store that may start at
	// once, beyond its steady rate. The limit of the store is three beyond that rate.
	storeLoadBurst = 2.5
	// cachedLoadTime is the expected time to load a model from the target's own cache.
	cachedLoadTime = 800 * time.Millisecond
)

// Controller carries out placement in the zones whose placement lease this instance
// holds. It is safe for concurrent use.
//
// Lock order: managedTarget.mu before Controller.mu.
type Controller struct {
	leases           *Leases
	operator         call.TargetOperator
	fleet            *fleet.Table
	catalog          *catalog.Holder
	demand           *Demand
	view             *View
	node             *mesh.Node
	log              log.Interface
	now              func() time.Time
	metrics          controllerMetrics
	triggerBroadcast func()
	// queuedWork returns the queued work of a target, to choose among equal targets.
	queuedWork     func(id string) time.Duration
	reachableZones func() map[string]bool
	// onNotice is called for each answer of a target. quiet reports whether a target wants
	// no request of this instance for now, admit whether its request rate allows one.
	onNotice  func(t *fleet.Target, n call.Notice, sentAt time.Time)
	onRestart func(t *fleet.Target)
	quiet     func(id string) bool
	admit     func(id string) bool

	mu      sync.Mutex
	targets map[string]*managedTarget
	// loadBuckets limits the loads from the weight store, by zone and service.
	loadBuckets map[zoneService]*loadBucket
	// growth tracks the number of known targets, by service.
	growth map[string]growth
	// absences tracks since when a model has had no copy.
	absences map[zoneModel]absence
	// demandLoggedAt is when the demand was last logged, by zone and service.
	demandLoggedAt map[zoneService]time.Time
	// adapterUsedAt is when each adapter, MODEL/ADAPTER, was last used.
	adapterUsedAt map[string]time.Time
	// sparesWantedAt is when WantSpares was last called.
	sparesWantedAt map[zoneService]time.Time
}

// loadBucket is a token bucket; one token allows one load.
type loadBucket struct {
	tokens    float64
	updatedAt time.Time
}

// controllerMetrics are the counters of a Controller. refused also counts the orders
// without an answer.
type controllerMetrics struct{ orders, reports, refused prometheus.Counter }

// ControllerConfig holds the dependencies of a Controller.
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
	// TriggerBroadcast makes this instance broadcast its status soon.
	TriggerBroadcast func()
	// Work returns the queued work of a target.
	Work func(id string) time.Duration
	// ReachableZones returns the zones that are not cut off from this instance.
	ReachableZones func() map[string]bool
	// OnNotice is called with what an answer of a target says about the target, and when the
	// request was sent.
	OnNotice func(t *fleet.Target, n call.Notice, sentAt time.Time)
	// OnRestart is called if the report of a target is of another run than the announced one.
	OnRestart func(t *fleet.Target)
	// Quiet reports whether a target wants no request of this instance for now.
	Quiet func(id string) bool
	// Admit takes one request from the rate of a target, and reports whether it could.
	Admit func(id string) bool
}

// NewController returns a Controller and registers the mesh handler for adapter
// requests of peers.
func NewController(config ControllerConfig) *Controller {
	c := &Controller{
		leases: config.Leases, reachableZones: config.ReachableZones, operator: config.Operator, fleet: config.Fleet, catalog: config.Catalog, demand: config.Demand, view: config.View,
		node: config.Node, log: config.Log, now: time.Now, triggerBroadcast: config.TriggerBroadcast, queuedWork: config.Work, onNotice: config.OnNotice, onRestart: config.OnRestart, quiet: config.Quiet, admit: config.Admit,
		targets: make(map[string]*managedTarget), loadBuckets: make(map[zoneService]*loadBucket), absences: make(map[zoneModel]absence), demandLoggedAt: make(map[zoneService]time.Time), growth: make(map[string]growth), adapterUsedAt: make(map[string]time.Time), sparesWantedAt: make(map[zoneService]time.Time),
		metrics: controllerMetrics{
			orders:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_orders_total", Help: "Orders sent to targets."}),
			reports: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_reports_total", Help: "Reports asked of targets."}),
			refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_orders_refused_total", Help: "Orders that targets refused."}),
		},
	}
	config.Metrics.MustRegister(c.metrics.orders, c.metrics.reports, c.metrics.refused)
	mesh.Handle(config.Node, methodAdapter, c.handleAdapterRequest)
	return c
}

// Run reconciles the placement until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		c.reconcile(c.leases.HeldZones())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// reconcile runs one pass over the targets of engine services in the zones.
func (c *Controller) reconcile(zones []string) {
	state := c.catalog.Current()
	if state == nil {
		return
	}
	view := c.fleet.View()
	for _, t := range view.Targets {
		// Creates the lease of the zone, so that this instance becomes a candidate for it.
		c.leases.Zone(t.Zone)
	}
	c.trackTargets(view, state, zones)
	now := c.now()
	for name, service := range state.Services {
		if service.Engine == nil {
			continue
		}
		for _, zone := range zones {
			list := c.targetsOf(name, zone)
			c.refreshReports(list, now)
			c.planZone(zone, name, service.Engine, view, list, now)
			c.advanceMoves(list, service.Engine)
			c.replicateAdapters(list, service.Engine, now)
		}
	}
}

// trackTargets updates the managed targets of the zones. It drops the state of all
// other targets, as another holder may change them.
func (c *Controller) trackTargets(view *fleet.View, state *catalog.State, zones []string) {
	for id, t := range view.Targets {
		service := state.Services[t.Service]
		if service == nil || service.Engine == nil || !slices.Contains(zones, t.Zone) {
			continue
		}
		c.mu.Lock()
		m := c.targets[id]
		if m == nil {
			m = &managedTarget{id: id, service: t.Service, zone: t.Zone, target: t, adapters: make(map[string]time.Time), unloadingAdapters: make(map[string]bool), changed: true}
			c.targets[id] = m
		}
		c.mu.Unlock()
		m.mu.Lock()
		if m.target.BornMS != t.BornMS {
			m.reset()
		}
		m.target = t
		m.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.targets {
		if view.Targets[id] == nil || !slices.Contains(zones, m.zone) {
			delete(c.targets, id)
		}
	}
	for key := range c.loadBuckets {
		if !slices.Contains(zones, key.zone) {
			delete(c.loadBuckets, key)
		}
	}
}

// targetsOf lists the managed targets of a service in a zone, sorted by identifier.
func (c *Controller) targetsOf(service, zone string) []*managedTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*managedTarget
	for _, m := range c.targets {
		if m.service == service && m.zone == zone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *managedTarget) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// refreshReports requests reports from the targets whose last one is too old.
func (c *Controller) refreshReports(list []*managedTarget, now time.Time) {
	var group sync.WaitGroup
	for _, m := range list {
		m.mu.Lock()
		age := now.Sub(m.reportRequestedAt)
		due := !c.quiet(m.id) && (age >= reportInterval || age >= uncertainReportInterval && (!m.hasReport || m.busy || m.move != nil)) && c.admit(m.id)
		t := m.target
		if due {
			// A failed request is not repeated at once.
			m.reportRequestedAt = now
		}
		m.mu.Unlock()
		if due {
			group.Add(1)
			go func() {
				defer group.Done()
				c.readReport(m, t)
			}()
		}
	}
	group.Wait()
}

// readReport requests and applies the report of one target.
func (c *Controller) readReport(m *managedTarget, t *fleet.Target) {
	requestedAt := c.now()
	c.metrics.reports.Inc()
	r, notice, err := c.operator.Report(t.Address, t.ID, reportTimeout)
	c.onNotice(t, notice, requestedAt)
	if err != nil {
		c.log.WithField("target", t.ID).WithError(err).Info("residency: Failed to get report from target.")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyReport(r, requestedAt)
	if r.BornMS > 0 && t.BornMS > 0 && r.BornMS != t.BornMS && r.BornMS != m.unannouncedBornMS {
		m.unannouncedBornMS = r.BornMS
		c.onRestart(t)
	}
}

// advanceMoves sends the next orders of all moves in parallel, so that an unreachable
// target does not delay the others.
func (c *Controller) advanceMoves(list []*managedTarget, engine *catalog.Engine) {
	var group sync.WaitGroup
	for _, m := range list {
		group.Add(1)
		go func() {
			defer group.Done()
			c.advanceMove(m, engine)
		}()
	}
	group.Wait()
}

// advanceMove sends the next order of a target's move, if one is due.
func (c *Controller) advanceMove(m *managedTarget, engine *catalog.Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := c.now()
	o, ok := m.nextOrder(now)
	if !ok || !c.mayOrder(m) || o.Kind == call.LoadModel && !c.fitsInMemory(m, o.Model, engine) {
		return
	}
	if o.Kind == call.LoadModel && !slices.Contains(m.cachedModels, o.Model) && !c.takeLoad(zoneService{m.zone, m.service}, engine, now) {
		return
	}
	m.sentAt = now
	if c.sendOrder(m, o) == call.OrderAccepted && o.Kind == call.LoadModel {
		m.move.loadAcceptedAt = now
	}
}

// mayOrder reports whether the lease allows an order to the target now.
func (c *Controller) mayOrder(m *managedTarget) bool {
	_, ok := c.leases.Zone(m.zone).MayOrder(m.id)
	return ok
}

// fitsInMemory requires m.mu. It checks the memory of the target again before a load:
// a target that runs out of memory crashes.
func (c *Controller) fitsInMemory(m *managedTarget, model string, engine *catalog.Engine) bool {
	target := TargetState{Models: m.models}
	p := planner{PlanInput: PlanInput{Engine: engine}}
	return p.freeMemoryMB(target, "") >= engine.Models[model].WeightsMB
}

// sendOrder requires m.mu. It sends one order if the lease allows it.
func (c *Controller) sendOrder(m *managedTarget, o call.Order) call.OrderResult {
	token, ok := c.leases.Zone(m.zone).MayOrder(m.id)
	if !ok || c.quiet(m.id) || !c.admit(m.id) || !c.leases.Zone(m.zone).RecordOrder(m.id, token) {
		return call.OrderRefused
	}
	o.Holder, o.FencingToken = c.node.Self().Name, token
	c.metrics.orders.Inc()
	timeout := orderTimeout
	if o.Adapter != "" {
		timeout = adapterOrderTimeout
	}
	sentAt := c.now()
	result, notice, err := c.operator.Order(m.target.Address, m.target.ID, o, timeout)
	c.onNotice(m.target, notice, sentAt)
	fields := log.Fields{
		"target": m.id, "kind": int(o.Kind), "model": o.Model, "adapter": o.Adapter,
		"expected": o.ExpectedOrders, "token": token, "result": int(result),
	}
	if err != nil {
		c.metrics.refused.Inc()
		c.log.WithFields(fields).WithError(err).Info("residency: Order refused or not answered.")
		// The next pass requests a report.
		m.reportRequestedAt = time.Time{}
		return result
	}
	c.log.WithFields(fields).Info("residency: Order acknowledged by target.")
	m.applyOrder(o, result, c.now())
	return result
}

// reset requires m.mu. It clears the state after a restart of the target.
func (m *managedTarget) reset() {
	m.hasReport, m.orderCount, m.busy, m.models, m.cachedModels, m.move = false, 0, false, nil, nil, nil
	m.adapters, m.unloadingAdapters = make(map[string]time.Time), make(map[string]bool)
	m.reportRequestedAt, m.reportedAt, m.acknowledgedAt, m.sentAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	m.changed = true
}

// Updates returns the placement of the targets that changed since the last call, or of
// all if full is set, for the status of this instance. It also applies them to the
// View of this instance.
func (c *Controller) Updates(full bool) []peers.Placement {
	c.mu.Lock()
	list := make([]*managedTarget, 0, len(c.targets))
	for _, m := range c.targets {
		list = append(list, m)
	}
	c.mu.Unlock()
	now := c.now()
	var out []peers.Placement
	for _, m := range list {
		// A target that is locked, as during an order, is reported next time.
		if !m.mu.TryLock() {
			continue
		}
		if m.hasReport && (m.changed || full) {
			out = append(out, m.status(now))
			m.changed = false
		}
		m.mu.Unlock()
	}
	for _, p := range out {
		c.view.Apply(p)
	}
	return out
}

// status requires m.mu. It returns the placement to report to peers.
func (m *managedTarget) status(now time.Time) peers.Placement {
	p := peers.Placement{TargetID: m.id, BornMS: m.target.BornMS}
	for name := range m.adapters {
		if m.unloadingAdapters[name] {
			continue
		}
		p.Adapters = append(p.Adapters, name)
	}
	slices.Sort(p.Adapters)
	if m.move != nil {
		if m.move.Unload != "" {
			p.Unloading = []string{m.move.Unload}
		}
		left := m.move.loadTime
		if !m.move.loadAcceptedAt.IsZero() {
			left = max(0, left-now.Sub(m.move.loadAcceptedAt))
		}
		p.Loading = map[string]int64{m.move.Load: left.Milliseconds()}
	}
	return p
}

// Pending reports whether Updates would return changes.
func (c *Controller) Pending() bool {
	c.mu.Lock()
	list := make([]*managedTarget, 0, len(c.targets))
	for _, m := range c.targets {
		list = append(list, m)
	}
	c.mu.Unlock()
	for _, m := range list {
		if !m.mu.TryLock() {
			continue
		}
		changed := m.hasReport && m.changed
		m.mu.Unlock()
		if changed {
			return true
		}
	}
	return false
}
