package fleet

import "time"

const (
	// EraGrace is how long after the store came back from a copy of itself an entry may be
	// missing that operators or targets write again. Targets write every 1.2 s.
	EraGrace = 3 * time.Second
	// returnProbation is how long after that, or after it came back otherwise, an entry of a
	// target that had left is not trusted. The store removes the entry of a target that is
	// gone after three missed announcements.
	returnProbation = 6 * time.Second
	// departedRetention bounds the memory of targets that have left, and maxDeparted their
	// number.
	departedRetention = 10 * time.Minute
	maxDeparted       = 20_000
)

// Departed is a target that has left. Its run is not used again.
type Departed struct {
	ID     string `msgpack:"i"`
	BornMS int64  `msgpack:"b"`
	// Announcements is the number of announcements that the run had made.
	Announcements int64 `msgpack:"n,omitempty"`
	// Final is set if the run said itself that it leaves. Otherwise its entry was removed,
	// and an announcement made since shows that it is still there.
	Final bool `msgpack:"f,omitempty"`
}

// departure is a Departed and when it was recorded.
type departure struct {
	Departed
	at time.Time
}

// withheld is the entry of a departed target that came back without a later announcement.
type withheld struct {
	Announcement
	until time.Time
}

// MarkLeaving records that a run of a target says in its answers that it leaves, and
// reports whether it was still used. From then on it gets no new work, whatever the store
// says of it; only another run, with another BornMS, is used again.
func (t *Table) MarkLeaving(id string, bornMS int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.targets[id]
	if old != nil && old.BornMS != bornMS {
		return false
	}
	if old == nil {
		if d, ok := t.departed[id]; ok && (d.BornMS > bornMS || d.BornMS == bornMS && d.Final) {
			return false
		}
		t.recordDeparture(Departed{ID: id, BornMS: bornMS, Final: true}, now)
		return true
	}
	if old.Leaving {
		return false
	}
	next := *old
	next.Leaving = true
	t.targets[id] = &next
	t.publish()
	return old.Usable()
}

// Departures lists the runs that leave or have left, for instances that start without
// having seen it.
func (t *Table) Departures() []Departed {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Departed, 0, len(t.departed))
	for _, d := range t.departed {
		out = append(out, d.Departed)
	}
	for id, target := range t.targets {
		if target.Leaving || target.Draining {
			out = append(out, Departed{ID: id, BornMS: target.BornMS, Final: true})
		}
	}
	return out
}

// Leaving lists the runs that said in their answers that they leave and are still
// announced.
func (t *Table) Leaving() []Departed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Departed
	for id, target := range t.targets {
		if target.Leaving {
			out = append(out, Departed{ID: id, BornMS: target.BornMS, Final: true})
		}
	}
	return out
}

// AddDepartures records what another instance knows of runs that have left.
func (t *Table) AddDepartures(list []Departed, now time.Time) {
	for _, d := range list {
		if d.Final {
			t.MarkLeaving(d.ID, d.BornMS, now)
			continue
		}
		t.addRemoval(d, now)
	}
}

// addRemoval records that another instance saw the entry of a run removed. The run stays if
// it has announced itself since.
func (t *Table) addRemoval(d Departed, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.targets[d.ID]
	if old == nil {
		t.recordDeparture(d, now)
		return
	}
	if old.BornMS == d.BornMS && d.Announcements > 0 && old.Announcements <= d.Announcements {
		t.drop(old, now)
		t.publish()
	}
}

// recordDeparture requires t.mu. Runs without a start time cannot be told apart, so that
// nothing is recorded for them.
func (t *Table) recordDeparture(d Departed, now time.Time) {
	known := t.departed[d.ID]
	if d.BornMS == 0 || known.BornMS > d.BornMS {
		return
	}
	if known.BornMS == d.BornMS {
		d.Final = d.Final || known.Final
		d.Announcements = max(d.Announcements, known.Announcements)
	}
	if len(t.departed) >= maxDeparted {
		t.pruneDeparted(now.Add(departedRetention))
	}
	t.departed[d.ID] = departure{d, now}
}

// pruneDeparted requires t.mu. It forgets departures older than departedRetention.
func (t *Table) pruneDeparted(now time.Time) {
	for id, d := range t.departed {
		if now.Sub(d.at) >= departedRetention {
			delete(t.departed, id)
		}
	}
}

// afterDeparture requires t.mu. It decides on the announcement of a target that is not in
// the table. It returns false if the announcement is not used now, and otherwise the
// announcement to use: a run that said that it leaves stays out.
func (t *Table) afterDeparture(a Announcement, now time.Time) (Announcement, bool) {
	d, ok := t.departed[a.ID]
	if !ok || d.BornMS < a.BornMS {
		delete(t.departed, a.ID)
		return a, true
	}
	if d.BornMS > a.BornMS {
		return a, false
	}
	if d.Final {
		a.Draining = true
		return a, true
	}
	if a.Announcements > d.Announcements {
		delete(t.departed, a.ID)
		delete(t.withheld, a.ID)
		return a, true
	}
	// The entry came back with the store's copy, or the list that has it is older than the
	// departure. Runs that count no announcements are withheld only in the first case.
	since := now
	if now.Before(t.eraChangedAt.Add(returnProbation)) {
		since = t.eraChangedAt
	} else if d.Announcements == 0 {
		delete(t.departed, a.ID)
		return a, true
	}
	until := since.Add(returnProbation)
	if w, ok := t.withheld[a.ID]; ok {
		until = w.until
	}
	t.withheld[a.ID] = withheld{a, until}
	return a, false
}

// releaseWithheld requires t.mu. It uses the entries that the store still holds at the end
// of their probation, and reports whether there were any.
func (t *Table) releaseWithheld(now time.Time) bool {
	released := false
	for id, w := range t.withheld {
		if now.Before(w.until) {
			continue
		}
		delete(t.withheld, id)
		delete(t.departed, id)
		t.upsert(w.Announcement, now)
		released = true
	}
	return released
}

// EraChanged records that the store came back from a copy of itself. Entries that are
// missing since may be written again, and entries of targets that had left may be back.
func (t *Table) EraChanged(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eraChangedAt = now
	t.extendGrace(now.Add(EraGrace))
}

// extendGrace requires t.mu.
func (t *Table) extendGrace(until time.Time) {
	if until.After(t.graceUntil) {
		t.graceUntil = until
	}
}
