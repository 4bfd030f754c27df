package fleet

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Evacuation is the store's object that takes a zone out.
type Evacuation struct {
	Zone    string
	Version platform.Version
}

// evacuation is an Evacuation in force. It has lapsed if the store's list of a new era
// lacks it: operators may write it again.
type evacuation struct {
	Evacuation
	lapsed bool
}

// Evacuate replaces the evacuated zones, which get no new work, and returns those that
// are no longer evacuated.
func (t *Table) Evacuate(list []Evacuation, now time.Time) (ended []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		if t.isRestored(e) {
			continue
		}
		listed[e.Zone] = true
		t.beginEvacuation(e)
	}
	for zone, e := range t.evacuations {
		switch {
		case listed[zone]:
		case now.Before(t.eraChangedAt.Add(EraGrace)):
			e.lapsed = true
			t.evacuations[zone] = e
		default:
			t.endEvacuation(zone)
			ended = append(ended, zone)
		}
	}
	t.publish()
	return ended
}

// BeginEvacuation adds a zone to the evacuated ones.
func (t *Table) BeginEvacuation(e Evacuation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isRestored(e) {
		t.beginEvacuation(e)
		t.publish()
	}
}

// EndEvacuation removes a zone from the evacuated ones.
func (t *Table) EndEvacuation(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endEvacuation(zone)
	t.publish()
}

// beginEvacuation requires t.mu.
func (t *Table) beginEvacuation(e Evacuation) {
	t.evacuations[e.Zone] = evacuation{Evacuation: e}
	delete(t.endedEvacuations, e.Zone)
}

// endEvacuation requires t.mu.
func (t *Table) endEvacuation(zone string) {
	if e, ok := t.evacuations[zone]; ok {
		t.endedEvacuations[zone] = e.Version
		delete(t.evacuations, zone)
	}
}

// isRestored requires t.mu. It reports whether an object is one that was known to be
// removed and came back with the store's copy: it has the same revision, in a later era.
func (t *Table) isRestored(e Evacuation) bool {
	old, ok := t.endedEvacuations[e.Zone]
	return ok && e.Version.Era() > old.Era() && e.Version.Revision() == old.Revision()
}

// endLapsedEvacuations requires t.mu. It returns the zones whose evacuation operators
// have not written again.
func (t *Table) endLapsedEvacuations(now time.Time) (ended []string) {
	if now.Before(t.eraChangedAt.Add(EraGrace)) {
		return nil
	}
	for zone, e := range t.evacuations {
		if e.lapsed {
			t.endEvacuation(zone)
			ended = append(ended, zone)
		}
	}
	return ended
}

// Evacuations lists the evacuations in force.
func (t *Table) Evacuations() []Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Evacuation, 0, len(t.evacuations))
	for _, e := range t.evacuations {
		out = append(out, e.Evacuation)
	}
	return out
}

// evacuatedZones requires t.mu.
func (t *Table) evacuatedZones() map[string]bool {
	out := make(map[string]bool, len(t.evacuations))
	for zone := range t.evacuations {
		out[zone] = true
	}
	return out
}
