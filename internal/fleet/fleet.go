// Package fleet knows the targets that announce themselves in the platform's
// store. Entries lapse while the store is away and return after it; a target
// that was draining stays so. The table is a pure state machine; the time is
// passed in.
package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ReturnGrace is how long after the return of the store a lapsed entry of a
// living target may stay away. Source: the platform's page on announcements.
const ReturnGrace = 2 * time.Second

// Announcement is what a target says of itself.
type Announcement struct {
	// ID names one incarnation of a target, mostly.
	ID      string
	Service string
	// Address is IP:PORT.
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Remaining is the time until a target that was called back is gone; 0 if
	// not told.
	Remaining time.Duration
	// ColdLeft is how long the target stayed cold when it wrote this.
	ColdLeft time.Duration
	// BornMS is the start of the incarnation, in Unix milliseconds of the
	// target; 0 if not told.
	BornMS int64
	Models []HeldModel
	// InMemory and OnDisk name models with copies at hand.
	InMemory []string
	OnDisk   []string
}

// HeldModel is a model that a target holds.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Holds reports whether the target announced the model.
func (a *Announcement) Holds(model string) bool {
	return slices.ContainsFunc(a.Models, func(m HeldModel) bool { return m.Name == model })
}

// Target is an announced target as the instance believes it to be. It is
// immutable.
type Target struct {
	Announcement
	// SeenAt is when the instance learned this announcement.
	SeenAt time.Time
	// FirstSeenAt is when the instance learned of this incarnation.
	FirstSeenAt time.Time
	// Lapsed is set while the entry is missing but may return.
	Lapsed bool
}

// ColdUntil returns when the cold start ends, as announced.
func (t *Target) ColdUntil() time.Time { return t.SeenAt.Add(t.ColdLeft) }

// Usable reports whether new work may be sent.
func (t *Target) Usable() bool { return !t.Draining }

// View is a snapshot of the table.
type View struct {
	Targets map[string]*Target
	// ByService lists usable targets outside of evacuated zones, sorted by ID.
	ByService map[string][]*Target
	Evacuated map[string]bool

	holders map[holding][]*Target
}

// holding names a model of a service.
type holding struct{ service, model string }

// Holders lists the targets of ByService that announce the model; without a
// model, all of the service.
func (v *View) Holders(service, model string) []*Target {
	if model == "" {
		return v.ByService[service]
	}
	return v.holders[holding{service, model}]
}

// Table keeps the targets. Readers take View without locking.
type Table struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	targets   map[string]*Target
	evacuated map[string]bool
	// storeLost is set while calls to the store fail; storeBackAt is when they
	// last succeeded again.
	storeLost   bool
	storeBackAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{targets: make(map[string]*Target), evacuated: make(map[string]bool)}
	t.publish()
	return t
}

// View returns the current snapshot.
func (t *Table) View() *View { return t.view.Load() }

// Change is one change of the entries.
type Change struct {
	Announcement
	// Removed is set if the entry of the ID has ended.
	Removed bool
}

// Apply takes changes in their order. The view is made once: making it takes a
// millisecond with thousands of targets, all of which announce themselves when a
// fleet starts.
func (t *Table) Apply(list []Change, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range list {
		if c.Removed {
			t.remove(c.ID, now)
			continue
		}
		t.put(c.Announcement, now)
	}
	t.publish()
}

// Upsert takes the newest announcement of a target.
func (t *Table) Upsert(a Announcement, now time.Time) {
	t.Apply([]Change{{Announcement: a}}, now)
}

// put requires t.mu.
func (t *Table) put(a Announcement, now time.Time) {
	next := &Target{Announcement: a, SeenAt: now, FirstSeenAt: now}
	if old := t.targets[a.ID]; old != nil {
		if old.BornMS > a.BornMS {
			return
		}
		if old.BornMS == a.BornMS {
			next.FirstSeenAt = old.FirstSeenAt
			next.Draining = next.Draining || old.Draining
			if old.ColdLeft == a.ColdLeft {
				next.SeenAt = old.SeenAt
			}
		}
	}
	t.targets[a.ID] = next
}

// Remove takes the end of an entry. Near an outage of the store a target is
// kept as lapsed, unless it was draining.
func (t *Table) Remove(id string, now time.Time) {
	t.Apply([]Change{{Announcement: Announcement{ID: id}, Removed: true}}, now)
}

// remove requires t.mu.
func (t *Table) remove(id string, now time.Time) {
	old := t.targets[id]
	if old == nil {
		return
	}
	if old.Draining || !t.nearOutage(now) {
		delete(t.targets, id)
		return
	}
	lapsed := *old
	lapsed.Lapsed = true
	t.targets[id] = &lapsed
}

// nearOutage requires t.mu.
func (t *Table) nearOutage(now time.Time) bool {
	return t.storeLost || now.Sub(t.storeBackAt) < ReturnGrace
}

// Replace takes a complete list of entries.
func (t *Table) Replace(all []Announcement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, a := range all {
		listed[a.ID] = true
		t.put(a, now)
	}
	for id := range t.targets {
		if !listed[id] {
			t.remove(id, now)
		}
	}
	t.publish()
}

// StoreLost notes that the store does not answer.
func (t *Table) StoreLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeLost = true
}

// StoreBack notes that the store answers, and reports whether it did not before.
func (t *Table) StoreBack(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.storeLost
	if was {
		t.storeLost, t.storeBackAt = false, now
	}
	return was
}

// Expire drops lapsed targets whose time to return has passed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nearOutage(now) {
		return
	}
	changed := false
	for id, target := range t.targets {
		if target.Lapsed {
			delete(t.targets, id)
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// Evacuate replaces the set of zones that get no new work.
func (t *Table) Evacuate(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.evacuated[z] = true
	}
	t.publish()
}

// EvacuateZone adds or removes one zone.
func (t *Table) EvacuateZone(zone string, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]bool, len(t.evacuated)+1)
	for z := range t.evacuated {
		next[z] = true
	}
	delete(next, zone)
	if out {
		next[zone] = true
	}
	t.evacuated = next
	t.publish()
}

// publish requires t.mu.
func (t *Table) publish() {
	v := &View{
		Targets:   make(map[string]*Target, len(t.targets)),
		ByService: make(map[string][]*Target),
		Evacuated: t.evacuated,
		holders:   make(map[holding][]*Target),
	}
	for id, target := range t.targets {
		v.Targets[id] = target
		if target.Usable() && !t.evacuated[target.Zone] {
			v.ByService[target.Service] = append(v.ByService[target.Service], target)
		}
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b *Target) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	for service, list := range v.ByService {
		for _, target := range list {
			for _, m := range target.Models {
				key := holding{service, m.Name}
				v.holders[key] = append(v.holders[key], target)
			}
		}
	}
	t.view.Store(v)
}

// Report is a target's answer to a question for its state. It lags by some
// hundred milliseconds.
type Report struct {
	// At is when the report was received.
	At     time.Time
	BornMS int64
	Models []HeldModel
	// LoadingAdapters lists adapters under way, as MODEL/NAME@VERSION.
	LoadingAdapters []string
	OrderInProgress bool
	// Orders counts the orders accepted by this incarnation.
	Orders   int64
	Queued   int
	Running  int
	InMemory []string
	OnDisk   []string
}
