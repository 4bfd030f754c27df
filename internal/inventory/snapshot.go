// Package inventory knows what targets report of themselves: models and
// adapters in memory, load and cold start. Decisions elsewhere read its
// immutable snapshots.
package inventory

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

// StaleAfter is the age above which a report says nothing of a target.
const StaleAfter = 3 * time.Second

// TargetState is one target with its newest report.
type TargetState struct {
	Target *environment.Target
	Report target.Report
	// ReceivedAt is the monotonic time at which the report was asked for; zero
	// without any report.
	ReceivedAt time.Time
	// Unreachable is set while the last polls or probes of the target failed.
	Unreachable bool
}

// IsFresh reports whether the report still counts.
func (s *TargetState) IsFresh(now time.Time) bool {
	return !s.ReceivedAt.IsZero() && now.Sub(s.ReceivedAt) < StaleAfter
}

// Serves reports whether the model or adapter with the name is ready.
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

// Snapshot is an immutable view of all targets of the document in force.
type Snapshot struct {
	View    *environment.View
	Targets []*TargetState
	byName  map[string]*TargetState
	// serving lists the engines on which a model or adapter is ready.
	serving map[string][]*TargetState
	// services lists the targets of each plain service.
	services map[string][]*TargetState
}

// Target returns the state of the target or nil.
func (s *Snapshot) Target(name string) *TargetState { return s.byName[name] }

// Serving returns the engines that report the model or adapter as ready.
func (s *Snapshot) Serving(name string) []*TargetState { return s.serving[name] }

// ServiceTargets returns the targets of a plain service.
func (s *Snapshot) ServiceTargets(service string) []*TargetState { return s.services[service] }

// NewSnapshot indexes the states of targets.
func NewSnapshot(view *environment.View, states []*TargetState) *Snapshot {
	s := &Snapshot{
		View:     view,
		Targets:  states,
		byName:   make(map[string]*TargetState, len(states)),
		serving:  make(map[string][]*TargetState),
		services: make(map[string][]*TargetState),
	}
	for _, state := range states {
		s.byName[state.Target.Name] = state
		if state.Target.Kind == environment.TargetService {
			s.services[state.Target.Service] = append(s.services[state.Target.Service], state)
		}
		for i := range state.Report.Residents {
			r := &state.Report.Residents[i]
			if r.State == target.ResidencyReady {
				s.serving[servedName(r)] = append(s.serving[servedName(r)], state)
			}
		}
	}
	return s
}
