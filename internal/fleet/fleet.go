// Package fleet tracks the targets that announce themselves in the platform's
// store. A target whose entry disappears around an outage of the store is kept as
// lapsed, since the entry may return. An incarnation seen draining stays draining.
// Table has no clock; callers pass the time.
package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ReturnGrace is how long the entry of a live target may still be missing after
// the store has recovered, according to the platform's page on announcements.
const ReturnGrace = 2 * time.Second

// Announcement is the state that a target publishes about itself.
type Announcement struct {
	// ID identifies a target. Usually each incarnation has its own ID, but a new
	// incarnation may reuse it; BornMS tells them apart.
	ID      string
	Service string
	// Address is IP:PORT.
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Remaining is the time until a target that the platform reclaims is gone; 0
	// if not announced.
	Remaining time.Duration
	// ColdLeft is the remaining cold-start time when the target wrote the
	// announcement.
	ColdLeft time.Duration
	// BornMS is the start time of the incarnation, in Unix milliseconds by the
	// target's clock; 0 if not announced.
	BornMS int64
	Models []HeldModel
	// InMemory and OnDisk list the models cached by the target.
	InMemory []string
	OnDisk   []string
}

// HeldModel is a model held by a target, with its loaded adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// Holds reports whether the target announced the model.
func (a *Announcement) Holds(model string) bool {
	return slices.ContainsFunc(a.Models, func(m HeldModel) bool { return m.Name == model })
}

// Target is the instance's immutable view of an announced target.
type Target struct {
	Announcement
	// SeenAt is when the instance received the announcement. A later one of the
	// same incarnation with the same ColdLeft does not change it.
	SeenAt time.Time
	// FirstSeenAt is when the instance received the first announcement of this
	// incarnation.
	FirstSeenAt time.Time
	// Lapsed is set while the entry is missing but may return.
	Lapsed bool
}

// ColdUntil returns the announced end of the cold start.
func (t *Target) ColdUntil() time.Time { return t.SeenAt.Add(t.ColdLeft) }

// Usable reports whether the target accepts new work.
func (t *Target) Usable() bool { return !t.Draining }

// View is a snapshot of the table.
type View struct {
	Targets map[string]*Target
	// ByService lists, by service, the usable targets outside of evacuated zones,
	// sorted by ID.
	ByService map[string][]*Target
	Evacuated map[string]bool

	holders map[serviceModel][]*Target
}

// serviceModel identifies a model of a service.
type serviceModel struct{ service, model string }

// Holders returns the targets in ByService that announce the model, or all targets
// of the service if model is empty.
func (v *View) Holders(service, model string) []*Target {
	if model == "" {
		return v.ByService[service]
	}
	return v.holders[serviceModel{service, model}]
}

// Table stores the announced targets. View reads a snapshot without locking.
type Table struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	targets   map[string]*Target
	evacuated map[string]bool
	// storeLost is set while calls to the store fail. storeBackAt is when the store
	// last recovered.
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

// Change is the update or the removal of one entry.
type Change struct {
	Announcement
	// Removed is set if the entry was removed. Only the ID is used then.
	Removed bool
}

// Apply applies changes in order and rebuilds the view once. Rebuilding takes a
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
		t.upsert(c.Announcement, now)
	}
	t.publish()
}

// Upsert adds or updates a target. It ignores an announcement of an incarnation
// older than the known one.
func (t *Table) Upsert(a Announcement, now time.Time) {
	t.Apply([]Change{{Announcement: a}}, now)
}

// upsert requires t.mu.
func (t *Table) upsert(a Announcement, now time.Time) {
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

// Remove removes the target of an entry that has ended. During an outage of the
// store and for ReturnGrace after it, the target is kept as lapsed, unless it was
// draining.
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

// nearOutage reports whether the store is lost or recovered less than ReturnGrace
// ago. It requires t.mu.
func (t *Table) nearOutage(now time.Time) bool {
	return t.storeLost || now.Sub(t.storeBackAt) < ReturnGrace
}

// Replace applies a complete list of entries. Targets that it does not list are
// removed as by Remove.
func (t *Table) Replace(all []Announcement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, a := range all {
		listed[a.ID] = true
		t.upsert(a, now)
	}
	for id := range t.targets {
		if !listed[id] {
			t.remove(id, now)
		}
	}
	t.publish()
}

// StoreLost records that the store does not respond.
func (t *Table) StoreLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeLost = true
}

// StoreBack records that the store responds, and reports whether it was lost
// before.
func (t *Table) StoreBack(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasLost := t.storeLost
	if wasLost {
		t.storeLost, t.storeBackAt = false, now
	}
	return wasLost
}

// Expire removes the lapsed targets, unless the store is lost or recovered less
// than ReturnGrace ago.
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

// Evacuate replaces the set of evacuated zones, which get no new work.
func (t *Table) Evacuate(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.evacuated[z] = true
	}
	t.publish()
}

// EvacuateZone adds one zone to the evacuated zones or removes it.
func (t *Table) EvacuateZone(zone string, evacuated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]bool, len(t.evacuated)+1)
	for z := range t.evacuated {
		next[z] = true
	}
	delete(next, zone)
	if evacuated {
		next[zone] = true
	}
	t.evacuated = next
	t.publish()
}

// publish rebuilds the view. It requires t.mu.
func (t *Table) publish() {
	v := &View{
		Targets:   make(map[string]*Target, len(t.targets)),
		ByService: make(map[string][]*Target),
		Evacuated: t.evacuated,
		holders:   make(map[serviceModel][]*Target),
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
				key := serviceModel{service, m.Name}
				v.holders[key] = append(v.holders[key], target)
			}
		}
	}
	t.view.Store(v)
}

// Report is a target's response to a query for its state. It lags behind the state
// by some hundred milliseconds.
type Report struct {
	// At is when the report was received.
	At     time.Time
	BornMS int64
	Models []HeldModel
	// LoadingAdapters lists the adapters being loaded, as MODEL/NAME@VERSION.
	LoadingAdapters []string
	OrderInProgress bool
	// Orders counts the orders accepted by this incarnation.
	Orders   int64
	Queued   int
	Running  int
	InMemory []string
	OnDisk   []string
}
