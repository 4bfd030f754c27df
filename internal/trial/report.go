package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

// Severity tells how much attention a finding needs.
type Severity string

// Severities of findings.
const (
	SeverityNote    Severity = "note"
	SeverityWarning Severity = "warning"
)

// Finding is one consequence of a promotion.
type Finding struct {
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// Report tells what a promotion would change.
type Report struct {
	Differences []environment.Difference `json:"differences"`
	Findings    []Finding                `json:"findings"`
	// ModelsToLoad are models and adapters that no engine holds now.
	ModelsToLoad []string `json:"models_to_load"`
	// LoadSeconds is the least time that the weight store needs for them.
	LoadSeconds float64 `json:"load_seconds"`
}

// Evaluate runs the decisions of the tried document on a copy of the decision
// state: the keys and decisions in force, and the targets as they report now.
func Evaluate(state *environment.State, snapshot *inventory.Snapshot, document *environment.Document, now time.Time) (*Report, error) {
	differences, err := environment.Diff(&state.Document, document)
	if err != nil {
		return nil, err
	}
	copied := state.Clone()
	copied.Document = *document
	prune(copied)
	e := &evaluation{
		before:   environment.NewView(state, now),
		after:    environment.NewView(copied, now),
		snapshot: snapshot,
		now:      now,
		report:   &Report{Differences: differences, Findings: []Finding{}, ModelsToLoad: []string{}},
	}
	e.checkKeys()
	e.checkRates()
	e.checkTargets()
	e.checkMemory()
	e.checkModels()
	return e.report, nil
}

type evaluation struct {
	before, after *environment.View
	snapshot      *inventory.Snapshot
	now           time.Time
	report        *Report
}

func (e *evaluation) add(severity Severity, format string, args ...any) {
	e.report.Findings = append(e.report.Findings, Finding{severity, fmt.Sprintf(format, args...)})
}

func (e *evaluation) checkKeys() {
	var orphaned []string
	for _, k := range e.after.State.Keys {
		if e.after.Account(k.Account) == nil {
			orphaned = append(orphaned, k.ID)
		}
	}
	if len(orphaned) > 0 {
		e.add(SeverityWarning, "keys of removed accounts stop working: %s", names(orphaned))
	}
}

func (e *evaluation) checkRates() {
	for _, a := range e.after.State.Document.Accounts {
		before := e.before.Account(a.Name)
		if before == nil {
			e.add(SeverityNote, "account %s is new", a.Name)
			continue
		}
		if a.RateTokensPerSecond < before.RateTokensPerSecond || a.BurstTokens < before.BurstTokens {
			e.add(SeverityWarning, "account %s gets less: rate %d to %d tokens/s, burst %d to %d tokens", a.Name,
				before.RateTokensPerSecond, a.RateTokensPerSecond, before.BurstTokens, a.BurstTokens)
		}
	}
	for _, a := range e.before.State.Document.Accounts {
		if e.after.Account(a.Name) == nil {
			e.add(SeverityWarning, "account %s is removed", a.Name)
		}
	}
}

func (e *evaluation) checkTargets() {
	for _, t := range e.before.State.Document.Targets {
		if e.after.Target(t.Name) == nil {
			e.add(SeverityWarning, "target %s is removed; mark it leaving first so that its models move", t.Name)
		}
	}
	for _, t := range e.after.State.Document.Targets {
		state := e.snapshot.Target(t.Name)
		known := state != nil && state.IsFresh(e.now)
		if t.Kind == environment.TargetEngine && !known {
			e.add(SeverityNote, "target %s gives no report yet", t.Name)
		}
	}
}

// checkMemory compares what engines hold now with the memory that the tried
// document gives them.
func (e *evaluation) checkMemory() {
	for _, t := range e.after.State.Document.Targets {
		state := e.snapshot.Target(t.Name)
		if state != nil && t.Kind == environment.TargetEngine && state.Report.MemoryMB > t.MemoryMB {
			e.add(SeverityWarning, "target %s holds %d MB, more than its %d MB", t.Name, state.Report.MemoryMB, t.MemoryMB)
		}
	}
}

// checkModels finds what would have to be loaded and what would lose its last
// copy.
func (e *evaluation) checkModels() {
	for _, name := range servedNames(&e.after.State.Document) {
		if !e.isServed(name) {
			e.report.ModelsToLoad = append(e.report.ModelsToLoad, name)
		}
	}
	if rate := e.after.State.Document.WeightStore.LoadsPerSecond; rate > 0 {
		e.report.LoadSeconds = float64(len(e.report.ModelsToLoad)) / rate
	}
	after := servedNames(&e.after.State.Document)
	for _, name := range servedNames(&e.before.State.Document) {
		if !slices.Contains(after, name) {
			e.add(SeverityWarning, "model or adapter %s is removed", name)
		}
	}
}

// isServed reports whether an engine of the tried document that is not out
// holds the model or adapter.
func (e *evaluation) isServed(name string) bool {
	for _, state := range e.snapshot.Serving(name) {
		if t := e.after.Target(state.Target.Name); t != nil && !e.after.IsTargetOut(t) {
			return true
		}
	}
	return false
}

func servedNames(d *environment.Document) []string {
	var out []string
	for _, m := range d.Models {
		out = append(out, m.Name)
	}
	for _, a := range d.Adapters {
		out = append(out, a.Name)
	}
	return out
}
