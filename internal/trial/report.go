package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

// Severity is how much attention a finding needs.
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

// Report describes what a promotion would change.
type Report struct {
	Differences []environment.Difference `json:"differences"`
	Findings    []Finding                `json:"findings"`
	// ModelsToLoad lists models and adapters that no engine in service reports as
	// ready.
	ModelsToLoad []string `json:"models_to_load"`
	// LoadSeconds is the minimum time to load them, which the load rate of the
	// weight store determines.
	LoadSeconds float64 `json:"load_seconds"`
}

// Evaluate reports what promoting the document would change. It compares the
// current configuration with a copy that holds the document, and uses the latest
// reports of the targets. It does not change the configuration.
func Evaluate(state *environment.State, snapshot *inventory.Snapshot, document *environment.Document, now time.Time) (*Report, error) {
	differences, err := environment.Diff(&state.Document, document)
	if err != nil {
		return nil, err
	}
	candidate := state.Clone()
	candidate.Document = *document
	prune(candidate)
	e := &evaluation{
		before:   environment.NewView(state, now),
		after:    environment.NewView(candidate, now),
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
		e.add(SeverityWarning, "keys of removed accounts stop working: %s", joinNames(orphaned))
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
		isFresh := state != nil && state.IsFresh(e.now)
		if t.Kind == environment.TargetEngine && !isFresh {
			e.add(SeverityNote, "target %s gives no report yet", t.Name)
		}
	}
}

// checkMemory finds engines that already use more memory than the document under
// trial gives them.
func (e *evaluation) checkMemory() {
	for _, t := range e.after.State.Document.Targets {
		state := e.snapshot.Target(t.Name)
		if state != nil && t.Kind == environment.TargetEngine && state.Report.MemoryMB > t.MemoryMB {
			e.add(SeverityWarning, "target %s holds %d MB, more than its %d MB", t.Name, state.Report.MemoryMB, t.MemoryMB)
		}
	}
}

// checkModels finds the models and adapters that would have to be loaded, the
// time that loading takes, and those that would be removed.
func (e *evaluation) checkModels() {
	for _, name := range modelAndAdapterNames(&e.after.State.Document) {
		if !e.isReady(name) {
			e.report.ModelsToLoad = append(e.report.ModelsToLoad, name)
		}
	}
	if rate := e.after.State.Document.WeightStore.LoadsPerSecond; rate > 0 {
		e.report.LoadSeconds = float64(len(e.report.ModelsToLoad)) / rate
	}
	after := modelAndAdapterNames(&e.after.State.Document)
	for _, name := range modelAndAdapterNames(&e.before.State.Document) {
		if !slices.Contains(after, name) {
			e.add(SeverityWarning, "model or adapter %s is removed", name)
		}
	}
}

// isReady reports whether an engine that is in the document under trial and in
// service reports the model or adapter as ready.
func (e *evaluation) isReady(name string) bool {
	for _, state := range e.snapshot.Serving(name) {
		if t := e.after.Target(state.Target.Name); t != nil && !e.after.IsTargetOut(t) {
			return true
		}
	}
	return false
}

func modelAndAdapterNames(d *environment.Document) []string {
	var out []string
	for _, m := range d.Models {
		out = append(out, m.Name)
	}
	for _, a := range d.Adapters {
		out = append(out, a.Name)
	}
	return out
}
