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
	// adapterSettle is the time that an adapter's load takes, as a rule.
	adapterSettle = 15 * time.Millisecond
	// adapterIdle is how long an adapter must not have been asked for before it
	// makes way for another: calls that use it run for a second or two.
	adapterIdle = 1500 * time.Millisecond
	// zoneTimeout bounds the question to the holder of one zone, so that another
	// can still be asked.
	zoneTimeout = 350 * time.Millisecond
	// adapterTries is the number of targets that are tried for an adapter.
	adapterTries = 3
)

// Errors of adapters.
var (
	// ErrNoHolder means that no instance gives orders at the moment.
	ErrNoHolder = merry.Sentinel("residency: no holder of the placement lease")
	// ErrNoPlace means that no target can take the adapter now.
	ErrNoPlace = merry.Sentinel("residency: no place for the adapter")
)

// AdapterRequest asks the holder of the placement lease for an adapter.
type AdapterRequest struct {
	Service string `msgpack:"s"`
	Zone    string `msgpack:"z"`
	// Preferred is the target at which the caller of the adapter would be served
	// first.
	Preferred string `msgpack:"p"`
	Model     string `msgpack:"m"`
	Adapter   string `msgpack:"a"`
}

// AdapterAnswer names the target that holds the adapter.
type AdapterAnswer struct {
	TargetID string `msgpack:"t"`
	BornMS   int64  `msgpack:"b"`
}

// EnsureAdapter has an adapter loaded, at the preferred target if it can take
// it, and returns the target that holds it. If the zone of the preferred target
// has no holder or no place, another zone that holds the model is asked.
func (k *Controller) EnsureAdapter(ctx context.Context, service, preferred, model, adapter string) (string, error) {
	request := &AdapterRequest{Service: service, Preferred: preferred, Model: model, Adapter: adapter}
	err := error(merry.Wrap(ErrNoPlace))
	for _, zone := range k.adapterZones(service, preferred, model) {
		request.Zone = zone
		var answer *AdapterAnswer
		if answer, err = k.askZone(ctx, request); err == nil {
			k.view.AdapterLoaded(answer.TargetID, answer.BornMS, model+"/"+adapter)
			return answer.TargetID, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", err
}

// askZone asks the holder of a zone's lease.
func (k *Controller) askZone(ctx context.Context, request *AdapterRequest) (*AdapterAnswer, error) {
	switch holder := k.leases.Zone(request.Zone).Holder(); holder {
	case "":
		return nil, merry.Wrap(ErrNoHolder)
	case k.node.Self().Name:
		return k.place(ctx, request)
	default:
		ctx, cancel := context.WithTimeout(ctx, zoneTimeout)
		defer cancel()
		return mesh.Call[AdapterRequest, AdapterAnswer](ctx, k.node, holder, methodAdapter, request)
	}
}

// adapterZones lists the zones of targets that hold the model, that of the
// preferred one first.
func (k *Controller) adapterZones(service, preferred, model string) []string {
	view := k.fleet.View()
	var out []string
	if t := view.Targets[preferred]; t != nil {
		out = append(out, t.Zone)
	}
	for _, t := range view.ByService[service] {
		if holds, _ := k.view.Holds(t, model, ""); holds && !slices.Contains(out, t.Zone) {
			out = append(out, t.Zone)
		}
	}
	return out
}

func (k *Controller) adapterAsked(ctx context.Context, _ mesh.Peer, r *AdapterRequest) (*AdapterAnswer, error) {
	return k.place(ctx, r)
}

// place loads the adapter at the first target that takes it.
func (k *Controller) place(ctx context.Context, r *AdapterRequest) (*AdapterAnswer, error) {
	if _, ok := k.leases.Zone(r.Zone).Held(); !ok {
		return nil, merry.Wrap(ErrNoHolder)
	}
	state := k.catalog.Current()
	if state == nil || state.Services[r.Service] == nil || state.Services[r.Service].Engine == nil {
		return nil, merry.Wrap(ErrNoPlace, merry.AppendMessage("no such service"))
	}
	engine := state.Services[r.Service].Engine
	tried := 0
	for _, m := range k.adapterTargets(r) {
		if ctx.Err() != nil || tried == adapterTries {
			break
		}
		tried++
		if answer := k.placeAt(m, r, engine); answer != nil {
			return answer, nil
		}
	}
	return nil, merry.Wrap(ErrNoPlace, merry.AppendMessagef("%d targets tried", tried))
}

// adapterTargets lists the targets that hold the model: the preferred one first,
// then those with the adapter, then the least loaded.
func (k *Controller) adapterTargets(r *AdapterRequest) []*managed {
	usable := make(map[string]bool)
	for _, t := range k.fleet.View().ByService[r.Service] {
		usable[t.ID] = true
	}
	type ranked struct {
		m    *managed
		rank time.Duration
	}
	var list []ranked
	for _, m := range k.ofService(r.Service, r.Zone) {
		m.mu.Lock()
		holds := usable[m.id] && m.known && !m.busy && slices.Contains(m.models, r.Model) &&
			(m.move == nil || m.move.Unload != r.Model)
		_, has := m.adapters[r.Model+"/"+r.Adapter]
		id := m.id
		m.mu.Unlock()
		if !holds {
			continue
		}
		rank := k.work(id)
		switch {
		case id == r.Preferred:
			rank = -2
		case has:
			rank = -1
		}
		list = append(list, ranked{m, rank})
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return int(a.rank - b.rank) })
	out := make([]*managed, 0, len(list))
	for _, l := range list {
		out = append(out, l.m)
	}
	return out
}

// placeAt loads the adapter at one target. A nil answer means that another one
// has to be tried.
func (k *Controller) placeAt(m *managed, r *AdapterRequest, engine *catalog.Engine) *AdapterAnswer {
	m.mu.Lock()
	name := r.Model + "/" + r.Adapter
	answer := &AdapterAnswer{TargetID: m.id, BornMS: m.target.BornMS}
	if _, has := m.adapters[name]; has && !m.dropping[name] {
		m.adapters[name] = k.now()
		m.mu.Unlock()
		return answer
	}
	if m.adapterCount() >= engine.AdapterSlots && !k.evict(m) {
		m.mu.Unlock()
		return nil
	}
	result := k.order(m, call.Order{Kind: call.LoadAdapter, Model: r.Model, Adapter: r.Adapter, ExpectedOrders: m.orders})
	m.mu.Unlock()
	switch result {
	case call.OrderNoChange:
		return answer
	case call.OrderAccepted:
		k.poke()
		time.Sleep(adapterSettle)
		return answer
	}
	return nil
}

// evict requires m.mu. It unloads the adapter that was asked for longest ago, and
// reports whether its place is free now.
func (k *Controller) evict(m *managed) bool {
	name := m.oldestAdapter(k.now().Add(-adapterIdle))
	if name == "" {
		return false
	}
	model, adapter := cutAdapter(name)
	result := k.order(m, call.Order{Kind: call.UnloadAdapter, Model: model, Adapter: adapter, ExpectedOrders: m.orders})
	return result == call.OrderNoChange
}

const (
	// adapterCopies is the number of targets that hold an adapter in use, so that
	// one can be busy or lost.
	adapterCopies = 3
	// adapterSpread is how lately an adapter must have been asked for.
	adapterSpread = 10 * time.Second
	// spreadSteps bounds the loads of one look.
	spreadSteps = 3
	// slotsKept are left for adapters that are asked for.
	slotsKept = 1
)

// spreadAdapters loads adapters in use at further targets with room.
func (k *Controller) spreadAdapters(list []*managed, engine *catalog.Engine, now time.Time) {
	copies := make(map[string]int)
	// room counts the places for adapters at targets that hold a model, used the
	// adapters of it that are in use.
	room, used := make(map[string]int), make(map[string]int)
	for _, m := range list {
		m.mu.Lock()
		for name := range m.adapters {
			copies[name]++
		}
		for _, model := range m.models {
			room[model] += engine.AdapterSlots
		}
		m.mu.Unlock()
	}
	k.mu.Lock()
	var wanted []string
	for name, at := range k.adapterUse {
		if now.Sub(at) > adapterSpread {
			delete(k.adapterUse, name)
			continue
		}
		model, _ := cutAdapter(name)
		used[model]++
	}
	for name := range k.adapterUse {
		model, _ := cutAdapter(name)
		if n := copies[name]; n > 0 && n < min(adapterCopies, room[model]/max(1, used[model])) {
			wanted = append(wanted, name)
		}
	}
	k.mu.Unlock()
	slices.SortFunc(wanted, func(a, b string) int { return copies[a] - copies[b] })
	for _, name := range wanted[:min(len(wanted), spreadSteps)] {
		k.spread(list, name, engine)
	}
}

// spread loads an adapter at the least loaded target that has room for it.
func (k *Controller) spread(list []*managed, name string, engine *catalog.Engine) {
	model, adapter := cutAdapter(name)
	var best *managed
	var least time.Duration
	for _, m := range list {
		m.mu.Lock()
		_, has := m.adapters[name]
		fits := m.target.Usable() && m.known && !m.busy && !has && m.move == nil &&
			m.adapterCount() < engine.AdapterSlots-slotsKept && slices.Contains(m.models, model)
		m.mu.Unlock()
		if work := k.work(m.id); fits && (best == nil || work < least) {
			best, least = m, work
		}
	}
	if best != nil {
		best.mu.Lock()
		defer best.mu.Unlock()
		k.order(best, call.Order{Kind: call.LoadAdapter, Model: model, Adapter: adapter, ExpectedOrders: best.orders})
	}
}

// AdapterUsed notes that a call uses an adapter at a target.
func (k *Controller) AdapterUsed(targetID, name string) {
	k.mu.Lock()
	m := k.targets[targetID]
	k.adapterUse[name] = k.now()
	k.mu.Unlock()
	if m == nil || !m.mu.TryLock() {
		return
	}
	defer m.mu.Unlock()
	if _, ok := m.adapters[name]; ok {
		m.adapters[name] = k.now()
	}
}
