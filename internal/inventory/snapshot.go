// Package inventory collects what targets report about themselves: models and
// adapters in memory, load and cold start. Other packages base their decisions on
// its immutable snapshots.
package inventory

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

// StaleAfter is the age from which a report is no longer used.
const StaleAfter = 3 * time.Second

// TargetState is one target with its newest report.
type TargetState struct {
	Target *environment.Target
	Report target.Report
	// RequestedAt is the monotonic time at which the report was requested; zero if
	// there is no report.
	RequestedAt time.Time
	// Unreachable is set while the most recent polls or probes of the target have
	// failed.
	Unreachable bool
}

// IsFresh reports whether there is a report younger than StaleAfter.
func (s *TargetState) IsFresh(now time.Time) bool {
	return !s.RequestedAt.IsZero() && now.Sub(s.RequestedAt) < StaleAfter
}

// Serves reports whether the target reports the named model or adapter as ready.
func (s *TargetState) Serves(name string) bool {
	for i := range s.Report.Residents {
		r := &s.Report.Residents[i]
		if r.State == target.ResidencyReady && servedName(r) == name {
			return true
		}
	}
	return false
}

func servedName(r *target.Resident) string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

// Snapshot is an immutable view of all targets of the current document.
type Snapshot struct {
	View    *environment.View
	Targets []*TargetState
	lookup  *lookup
	// serving lists the engines on which a model or adapter is ready.
	serving map[string][]*TargetState
	// services lists the targets of each plain service.
	services map[string][]*TargetState
}

// lookup holds positions in Snapshot.Targets by name. It is reused while only
// loads change, so that not every snapshot goes through all residents again.
type lookup struct {
	byName   map[string]int
	serving  map[string][]int
	services map[string][]int
}

// Target returns the state of the target or nil.
func (s *Snapshot) Target(name string) *TargetState {
	index, ok := s.lookup.byName[name]
	if !ok {
		return nil
	}
	return s.Targets[index]
}

// Serving returns the engines that report the model or adapter as ready.
func (s *Snapshot) Serving(name string) []*TargetState { return s.serving[name] }

// ServiceTargets returns the targets of a plain service.
func (s *Snapshot) ServiceTargets(service string) []*TargetState { return s.services[service] }

// NewSnapshot returns a snapshot of the states and builds its lookup.
func NewSnapshot(view *environment.View, states []*TargetState) *Snapshot {
	return newSnapshot(view, states, newLookup(states))
}

func newSnapshot(view *environment.View, states []*TargetState, l *lookup) *Snapshot {
	return &Snapshot{
		View:     view,
		Targets:  states,
		lookup:   l,
		serving:  resolve(l.serving, states),
		services: resolve(l.services, states),
	}
}

func newLookup(states []*TargetState) *lookup {
	l := &lookup{
		byName:   make(map[string]int, len(states)),
		serving:  make(map[string][]int),
		services: make(map[string][]int),
	}
	for index, state := range states {
		l.byName[state.Target.Name] = index
		if state.Target.Kind == environment.TargetService {
			l.services[state.Target.Service] = append(l.services[state.Target.Service], index)
		}
		for i := range state.Report.Residents {
			r := &state.Report.Residents[i]
			if r.State == target.ResidencyReady {
				l.serving[servedName(r)] = append(l.serving[servedName(r)], index)
			}
		}
	}
	return l
}

// resolve replaces positions by states. All lists share one array.
func resolve(positions map[string][]int, states []*TargetState) map[string][]*TargetState {
	total := 0
	for _, list := range positions {
		total += len(list)
	}
	all := make([]*TargetState, 0, total)
	out := make(map[string][]*TargetState, len(positions))
	for name, list := range positions {
		from := len(all)
		for _, index := range list {
			all = append(all, states[index])
		}
		out[name] = all[from:len(all):len(all)]
	}
	return out
}
