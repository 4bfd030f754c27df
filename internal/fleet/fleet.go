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

	"github.com/dotterellink/dotterellink/internal/platform"
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
	Address string
	Zone    string
	// Version is that of the target's software; targets that announce none share the empty
	// one.
	Version  string
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
	// Announcements counts the announcements of the incarnation.
	Announcements int64
	Models        []HeldModel
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
	// Leaving is set once an answer of this incarnation said that it leaves.
	Leaving bool
	// GoneAt is when a target that the platform reclaims is gone, whatever it is running;
	// zero if that was not announced. It is late by the age of the announcement.
	GoneAt time.Time
}

// ColdUntil returns the announced end of the cold start.
func (t *Target) ColdUntil() time.Time { return t.SeenAt.Add(t.ColdLeft) }

// Usable reports whether the target accepts new work.
func (t *Target) Usable() bool { return !t.Draining && !t.Leaving }

// Reclaimed reports whether the platform reclaims the target.
func (t *Target) Reclaimed() bool { return !t.GoneAt.IsZero() }

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

	mu      sync.Mutex
	targets map[string]*Target
	// departed holds the targets that have left, withheld the entries of some of them that
	// are back.
	departed map[string]departure
	withheld map[string]withheld
	// evacuations are in force, endedEvacuations were last ended, by zone.
	evacuations      map[string]evacuation
	endedEvacuations map[string]platform.Version
	// storeLost is set while calls to the store fail. Until graceUntil, entries may still be
	// missing after the store has recovered or came back from a copy of itself; the latter
	// was last at eraChangedAt.
	storeLost    bool
	graceUntil   time.Time
	eraChangedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		targets: make(map[string]*Target), departed: make(map[string]departure), withheld: make(map[string]withheld),
		evacuations: make(map[string]evacuation), endedEvacuations: make(map[string]platform.Version),
	}
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
	// Stale is set if the announcement may be older than what is known of its run. It is
	// then used only if it is not.
	Stale bool
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
		if c.Stale && t.knowsLater(c.Announcement) {
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

// knowsLater requires t.mu. It reports whether the table knows a later announcement of the
// same run, or that the run has left since.
func (t *Table) knowsLater(a Announcement) bool {
	if old := t.targets[a.ID]; old != nil {
		return old.BornMS == a.BornMS && old.Announcements > a.Announcements
	}
	d, ok := t.departed[a.ID]
	return ok && d.BornMS == a.BornMS && d.Announcements >= a.Announcements
}

// upsert requires t.mu.
func (t *Table) upsert(a Announcement, now time.Time) {
	old := t.targets[a.ID]
	if old == nil {
		var used bool
		if a, used = t.afterDeparture(a, now); !used {
			return
		}
	}
	next := &Target{Announcement: a, SeenAt: now, FirstSeenAt: now}
	if a.Remaining != 0 {
		next.GoneAt = now.Add(max(0, a.Remaining))
	}
	if old != nil {
		if old.BornMS > a.BornMS {
			return
		}
		if old.BornMS == a.BornMS {
			next.FirstSeenAt = old.FirstSeenAt
			next.Draining = next.Draining || old.Draining
			next.Leaving = old.Leaving
			next.GoneAt = goneAt(old.GoneAt, next.GoneAt, now)
			if old.ColdLeft == a.ColdLeft {
				next.SeenAt = old.SeenAt
			}
		}
	}
	t.targets[a.ID] = next
}

// goneAt returns when a target is gone that announced so before and now, or at one of the two
// times alone. The earliest announced time counts, as announcements arrive late by different
// times. It no longer counts if the target announces itself without an end after it.
func goneAt(before, announced, now time.Time) time.Time {
	switch {
	case before.IsZero() || !announced.IsZero() && announced.Before(before):
		return announced
	case announced.IsZero() && now.After(before):
		return time.Time{}
	}
	return before
}

// Remove removes the target of an entry that has ended. During an outage of the
// store and for ReturnGrace after it, the target is kept as lapsed, unless it was
// draining.
func (t *Table) Remove(id string, now time.Time) {
	t.Apply([]Change{{Announcement: Announcement{ID: id}, Removed: true}}, now)
}

// remove requires t.mu.
func (t *Table) remove(id string, now time.Time) {
	delete(t.withheld, id)
	old := t.targets[id]
	if old == nil {
		return
	}
	if !old.Usable() || !t.nearOutage(now) {
		t.drop(old, now)
		return
	}
	lapsed := *old
	lapsed.Lapsed = true
	t.targets[id] = &lapsed
}

// drop requires t.mu. It removes a target that has left.
func (t *Table) drop(old *Target, now time.Time) {
	delete(t.targets, old.ID)
	t.recordDeparture(Departed{ID: old.ID, BornMS: old.BornMS, Announcements: old.Announcements, Final: !old.Usable()}, now)
}

// nearOutage reports whether the store is lost, or was until a short time ago, so that
// entries may be missing. It requires t.mu.
func (t *Table) nearOutage(now time.Time) bool { return t.storeLost || now.Before(t.graceUntil) }

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
	for id := range t.withheld {
		if !listed[id] {
			delete(t.withheld, id)
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
		t.storeLost = false
		t.extendGrace(now.Add(ReturnGrace))
	}
	return wasLost
}

// Expire removes the lapsed targets and evacuations, unless entries may still be missing,
// and returns the zones that are no longer evacuated.
func (t *Table) Expire(now time.Time) (ended []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneDeparted(now)
	changed := t.releaseWithheld(now)
	if !t.nearOutage(now) {
		for _, target := range t.targets {
			if target.Lapsed {
				t.drop(target, now)
				changed = true
			}
		}
	}
	ended = t.endLapsedEvacuations(now)
	if changed || len(ended) > 0 {
		t.publish()
	}
	return ended
}

// publish rebuilds the view. It requires t.mu.
func (t *Table) publish() {
	v := &View{
		Targets:   make(map[string]*Target, len(t.targets)),
		ByService: make(map[string][]*Target),
		Evacuated: t.evacuatedZones(),
		holders:   make(map[serviceModel][]*Target),
	}
	for id, target := range t.targets {
		v.Targets[id] = target
		if target.Usable() && !v.Evacuated[target.Zone] {
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
