// Package inventory knows what targets report of themselves: models and
// adapters in memory, load and cold start. Decisions elsewhere read its
// immutable snapshots.
package inventory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	pollInterval = 250 * time.Millisecond
	pollTimeout  = time.Second
	// StaleAfter is the age above which a report says nothing of a target.
	StaleAfter = 3 * time.Second
)

// TargetState is one target with its newest report.
type TargetState struct {
	Target *environment.Target
	Report target.Report
	// ReceivedAt is the monotonic time at which the report was asked for; zero
	// without any report.
	ReceivedAt time.Time
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

// Inventory polls the reports of engines. It is safe for concurrent use.
type Inventory struct {
	views    func() *environment.View
	reporter target.Reporter
	clock    clockwork.Clock
	log      *log.Logger

	mu      sync.Mutex
	reports map[string]dated

	snapshot atomic.Pointer[Snapshot]
}

type dated struct {
	report target.Report
	at     time.Time
}

// New returns an inventory without reports. The function views returns the view
// in force.
func New(views func() *environment.View, reporter target.Reporter, clock clockwork.Clock, logger *log.Logger) *Inventory {
	i := &Inventory{views: views, reporter: reporter, clock: clock, log: logger, reports: make(map[string]dated)}
	i.publish()
	return i
}

// Snapshot returns the newest snapshot.
func (i *Inventory) Snapshot() *Snapshot { return i.snapshot.Load() }

// Run polls until ctx ends.
func (i *Inventory) Run(ctx context.Context) error {
	ticker := i.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		i.Poll(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Poll asks every engine for its report and publishes a snapshot.
func (i *Inventory) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, t := range i.views().State.Document.Targets {
		if t.Kind != environment.TargetEngine {
			continue
		}
		wait.Go(func() { i.pollTarget(ctx, t) })
	}
	wait.Wait()
	i.publish()
}

func (i *Inventory) pollTarget(ctx context.Context, t environment.Target) {
	asked := i.clock.Now()
	report, err := i.reporter.Report(ctx, t.Address)
	if err != nil {
		i.log.Debugf("No report from %s: %v.", t.Name, err)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reports[t.Name] = dated{report: report, at: asked}
}

func (i *Inventory) publish() {
	view := i.views()
	i.mu.Lock()
	defer i.mu.Unlock()
	states := make([]*TargetState, 0, len(view.State.Document.Targets))
	for n := range view.State.Document.Targets {
		t := &view.State.Document.Targets[n]
		d := i.reports[t.Name]
		states = append(states, &TargetState{Target: t, Report: d.report, ReceivedAt: d.at})
	}
	i.snapshot.Store(NewSnapshot(view, states))
}
