package residency

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	methodAdapter = "residency.adapter"
	// adapterLoadTime is the usual time to load an adapter.
	adapterLoadTime = 15 * time.Millisecond
	// minAdapterIdle is how long an adapter must have been unused before it may be
	// evicted: calls that use it run for one to two seconds.
	minAdapterIdle = 1500 * time.Millisecond
	// zoneRequestTimeout bounds the request to the holder of one zone, so that time is
	// left to try another zone.
	zoneRequestTimeout = 350 * time.Millisecond
	// maxAdapterAttempts is the number of targets tried for one request.
	maxAdapterAttempts = 3
)

// Errors of adapter requests.
var (
	// ErrNoHolder means that no instance holds the placement lease of the zone.
	ErrNoHolder = merry.Sentinel("residency: no instance holds the placement lease")
	// ErrNoCapacity means that no target can load the adapter now.
	ErrNoCapacity = merry.Sentinel("residency: no target can load the adapter")
)

// AdapterRequest asks the holder of a placement lease to load an adapter.
type AdapterRequest struct {
	Service string `msgpack:"s"`
	Zone    string `msgpack:"z"`
	// Preferred is the target to which the call would go.
	Preferred string `msgpack:"p"`
	Model     string `msgpack:"m"`
	Adapter   string `msgpack:"a"`
}

// AdapterResponse names the target that holds the adapter.
type AdapterResponse struct {
	TargetID string `msgpack:"t"`
	BornMS   int64  `msgpack:"b"`
}

// EnsureAdapter loads an adapter, on the preferred target if possible, and returns
// the target that holds it. If the zone of the preferred target has no lease holder
// or no capacity, it tries the other zones that hold the model.
func (c *Controller) EnsureAdapter(ctx context.Context, service, preferred, model, adapter string) (string, error) {
	request := &AdapterRequest{Service: service, Preferred: preferred, Model: model, Adapter: adapter}
	err := error(merry.Wrap(ErrNoCapacity))
	for _, zone := range c.candidateZones(service, preferred, model) {
		request.Zone = zone
		var response *AdapterResponse
		if response, err = c.requestFromZone(ctx, request); err == nil {
			c.view.AdapterLoaded(response.TargetID, response.BornMS, model+"/"+adapter)
			return response.TargetID, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", err
}

// requestFromZone sends the request to the holder of the zone's lease, or handles
// it if this instance is the holder.
func (c *Controller) requestFromZone(ctx context.Context, request *AdapterRequest) (*AdapterResponse, error) {
	switch holder := c.leases.Zone(request.Zone).Holder(); holder {
	case "":
		return nil, merry.Wrap(ErrNoHolder)
	case c.node.Self().Name:
		return c.placeAdapter(ctx, request)
	default:
		ctx, cancel := context.WithTimeout(ctx, zoneRequestTimeout)
		defer cancel()
		return mesh.Call[AdapterRequest, AdapterResponse](ctx, c.node, holder, methodAdapter, request)
	}
}

// candidateZones lists the zones with targets that hold the model. The zone of the
// preferred target comes first.
func (c *Controller) candidateZones(service, preferred, model string) []string {
	view := c.fleet.View()
	var out []string
	if t := view.Targets[preferred]; t != nil {
		out = append(out, t.Zone)
	}
	for _, t := range view.ByService[service] {
		if holds, _ := c.view.Holds(t, model, ""); holds && !slices.Contains(out, t.Zone) {
			out = append(out, t.Zone)
		}
	}
	return out
}

func (c *Controller) handleAdapterRequest(ctx context.Context, _ mesh.Peer, r *AdapterRequest) (*AdapterResponse, error) {
	return c.placeAdapter(ctx, r)
}

// placeAdapter loads the adapter on the first candidate target that accepts it.
func (c *Controller) placeAdapter(ctx context.Context, r *AdapterRequest) (*AdapterResponse, error) {
	if _, ok := c.leases.Zone(r.Zone).Held(); !ok {
		return nil, merry.Wrap(ErrNoHolder)
	}
	state := c.catalog.Current()
	if state == nil || state.Services[r.Service] == nil || state.Services[r.Service].Engine == nil {
		return nil, merry.Wrap(ErrNoCapacity, merry.AppendMessage("unknown service or service without an engine"))
	}
	engine := state.Services[r.Service].Engine
	tried := 0
	for _, m := range c.candidateTargets(r) {
		if ctx.Err() != nil || tried == maxAdapterAttempts {
			break
		}
		tried++
		if response := c.loadAdapterAt(m, r, engine); response != nil {
			return response, nil
		}
	}
	return nil, merry.Wrap(ErrNoCapacity, merry.AppendMessagef("%d targets tried", tried))
}

// candidateTargets lists the targets that hold the model, are not about to unload it
// and can take an adapter order now: the preferred one first, then those that hold the
// adapter, then the others by queued work.
func (c *Controller) candidateTargets(r *AdapterRequest) []*managedTarget {
	usable := make(map[string]bool)
	for _, t := range c.fleet.View().ByService[r.Service] {
		usable[t.ID] = true
	}
	type ranked struct {
		m    *managedTarget
		rank time.Duration
	}
	var list []ranked
	for _, m := range c.targetsOf(r.Service, r.Zone) {
		m.mu.Lock()
		eligible := usable[m.id] && m.hasReport && !m.busy && slices.Contains(m.models, r.Model) &&
			(m.move == nil || m.move.Unload != r.Model)
		_, holdsAdapter := m.adapters[r.Model+"/"+r.Adapter]
		id := m.id
		m.mu.Unlock()
		if !eligible {
			continue
		}
		rank := c.queuedWork(id)
		switch {
		case id == r.Preferred:
			rank = -2
		case holdsAdapter:
			rank = -1
		}
		list = append(list, ranked{m, rank})
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return int(a.rank - b.rank) })
	out := make([]*managedTarget, 0, len(list))
	for _, l := range list {
		out = append(out, l.m)
	}
	return out
}

// loadAdapterAt loads the adapter on one target. It returns nil if another target
// must be tried.
func (c *Controller) loadAdapterAt(m *managedTarget, r *AdapterRequest, engine *catalog.Engine) *AdapterResponse {
	m.mu.Lock()
	name := r.Model + "/" + r.Adapter
	response := &AdapterResponse{TargetID: m.id, BornMS: m.target.BornMS}
	if _, has := m.adapters[name]; has && !m.unloadingAdapters[name] {
		m.adapters[name] = c.now()
		m.mu.Unlock()
		return response
	}
	if m.adapterCount() >= engine.AdapterSlots && !c.evictAdapter(m) {
		m.mu.Unlock()
		return nil
	}
	result := c.sendOrder(m, call.Order{Kind: call.LoadAdapter, Model: r.Model, Adapter: r.Adapter, ExpectedOrders: m.orderCount})
	m.mu.Unlock()
	switch result {
	case call.OrderNoChange:
		return response
	case call.OrderAccepted:
		c.triggerBroadcast()
		time.Sleep(adapterLoadTime)
		return response
	}
	return nil
}

// evictAdapter requires m.mu. It unloads the least recently used idle adapter and
// reports whether its slot is free already: the target answers OrderNoChange if the
// adapter is gone, OrderAccepted if calls still use it.
func (c *Controller) evictAdapter(m *managedTarget) bool {
	name := m.leastRecentlyUsedAdapter(c.now().Add(-minAdapterIdle))
	if name == "" {
		return false
	}
	model, adapter := splitAdapterName(name)
	result := c.sendOrder(m, call.Order{Kind: call.UnloadAdapter, Model: model, Adapter: adapter, ExpectedOrders: m.orderCount})
	return result == call.OrderNoChange
}

const (
	// maxAdapterCopies is the number of targets that hold an adapter in use, so that
	// one of them can be busy or lost.
	maxAdapterCopies = 3
	// adapterUseWindow is how long after its last use an adapter counts as in use.
	adapterUseWindow = 10 * time.Second
	// maxReplicationsPerPass bounds the loads for replication in one pass over the
	// targets of a service in a zone.
	maxReplicationsPerPass = 3
	// reservedAdapterSlots is the number of slots on each target that replication leaves
	// free for adapters that calls request.
	reservedAdapterSlots = 1
)

// replicateAdapters loads adapters in use on more targets. The copies of an adapter
// are limited to maxAdapterCopies and to its equal share of the slots for the model.
func (c *Controller) replicateAdapters(list []*managedTarget, engine *catalog.Engine, now time.Time) {
	copies := make(map[string]int)
	// slots counts the adapter slots on targets that hold a model, inUse the adapters
	// of the model that are in use.
	slots, inUse := make(map[string]int), make(map[string]int)
	for _, m := range list {
		m.mu.Lock()
		for name := range m.adapters {
			copies[name]++
		}
		for _, model := range m.models {
			slots[model] += engine.AdapterSlots
		}
		m.mu.Unlock()
	}
	c.mu.Lock()
	var candidates []string
	for name, at := range c.adapterUsedAt {
		if now.Sub(at) > adapterUseWindow {
			delete(c.adapterUsedAt, name)
			continue
		}
		model, _ := splitAdapterName(name)
		inUse[model]++
	}
	for name := range c.adapterUsedAt {
		model, _ := splitAdapterName(name)
		if n := copies[name]; n > 0 && n < min(maxAdapterCopies, slots[model]/max(1, inUse[model])) {
			candidates = append(candidates, name)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(candidates, func(a, b string) int { return copies[a] - copies[b] })
	for _, name := range candidates[:min(len(candidates), maxReplicationsPerPass)] {
		c.replicateAdapter(list, name, engine)
	}
}

// replicateAdapter loads an adapter on the target with the least queued work that
// has a free slot for it.
func (c *Controller) replicateAdapter(list []*managedTarget, name string, engine *catalog.Engine) {
	model, adapter := splitAdapterName(name)
	// fits requires m.mu.
	fits := func(m *managedTarget) bool {
		_, has := m.adapters[name]
		return m.target.Usable() && m.hasReport && !m.busy && !has && m.move == nil &&
			m.adapterCount() < engine.AdapterSlots-reservedAdapterSlots && slices.Contains(m.models, model)
	}
	var best *managedTarget
	var least time.Duration
	for _, m := range list {
		m.mu.Lock()
		ok := fits(m)
		m.mu.Unlock()
		if work := c.queuedWork(m.id); ok && (best == nil || work < least) {
			best, least = m, work
		}
	}
	if best == nil {
		return
	}
	best.mu.Lock()
	defer best.mu.Unlock()
	// Calls may have filled the target while the others were looked at.
	if fits(best) {
		c.sendOrder(best, call.Order{Kind: call.LoadAdapter, Model: model, Adapter: adapter, ExpectedOrders: best.orderCount})
	}
}

// AdapterUsed records that a call uses an adapter on a target.
func (c *Controller) AdapterUsed(targetID, name string) {
	c.mu.Lock()
	m := c.targets[targetID]
	c.adapterUsedAt[name] = c.now()
	c.mu.Unlock()
	if m == nil || !m.mu.TryLock() {
		return
	}
	defer m.mu.Unlock()
	if _, ok := m.adapters[name]; ok {
		m.adapters[name] = c.now()
	}
}
