// Package configcheck checks a configuration before it is put in force: references to
// entries that do not exist, entries that no call can reach, limits that contradict each
// other, and the differences to the configuration in force. It has no state and applies the
// same code as the parts that serve calls.
package configcheck

import (
	"fmt"
	"slices"
	"strconv"
)

// Kind is what a finding is about.
type Kind string

// Kinds of findings.
const (
	// KindError is input that is rejected or ignored, or that refers to nothing.
	KindError Kind = "error"
	// KindUnreachable is an entry that no call can reach.
	KindUnreachable Kind = "unreachable"
	// KindContradiction is a limit that conflicts with another one.
	KindContradiction Kind = "contradiction"
	// KindDifference is a difference to the configuration in force.
	KindDifference Kind = "difference"
)

// Severity is how much attention a finding needs.
type Severity string

// Severities of findings.
const (
	// SeverityError means that the configuration should not be put in force. All
	// contradictions have it, and all errors but those in input that has no effect.
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
	SeverityNote    Severity = "note"
)

// Effect is what a difference means for callers.
type Effect string

// Effects of differences.
const (
	// EffectNewCalls means that calls under way keep the value in force.
	EffectNewCalls Effect = "new_calls"
	// EffectEndsService means that calls that are served now will be refused.
	EffectEndsService Effect = "ends_service"
)

// Finding is one result of a check.
type Finding struct {
	Kind     Kind     `json:"kind"`
	Severity Severity `json:"severity"`
	// Location is At as a path into the document. Check and Compare leave it empty.
	Location string `json:"location"`
	Effect   Effect `json:"effect,omitempty"`
	Message  string `json:"message"`
	At       Place  `json:"-"`
}

// Section is one of the parts of a configuration.
type Section int

// Sections of a configuration.
const (
	Whole Section = iota
	Routes
	Services
	Accounts
	Limits
)

// Place is a section of a configuration, one of its entries, or a field of an entry.
type Place struct {
	Section Section
	// Index is that of a route or an account in catalog.State, -1 for the whole section.
	Index int
	// Service names a service, Model a model of it if IsModel is set.
	Service, Model string
	IsModel        bool
	// Field is the name of the field in package catalog, with a dot before a field of an
	// engine or of Scaling. It is empty for the entry as a whole.
	Field string
	// Part is the index in Route.Services if Field is a field of catalog.WeightedService.
	Part int
}

func section(s Section) Place { return Place{Section: s, Index: -1} }

func routeField(i int, field string) Place { return Place{Section: Routes, Index: i, Field: field} }

func accountField(i int, field string) Place {
	return Place{Section: Accounts, Index: i, Field: field}
}

func serviceField(name, field string) Place {
	return Place{Section: Services, Service: name, Field: field}
}

func modelField(service, model, field string) Place {
	return Place{Section: Services, Service: service, Model: model, IsModel: true, Field: field}
}

// maxFindings is the number of findings of one severity that are kept, since a document of a
// few megabytes may have millions of mistakes.
const maxFindings = 5000

// List collects findings.
type List struct {
	findings []Finding
	counts   map[Severity]int
}

// Add adds a finding, of which only the count is kept if there are many of its severity.
func (l *List) Add(f Finding) {
	if l.counts == nil {
		l.counts = make(map[Severity]int)
	}
	if l.counts[f.Severity]++; l.counts[f.Severity] <= maxFindings {
		l.findings = append(l.findings, f)
	}
}

// IsFull reports whether further findings of a severity are only counted.
func (l *List) IsFull(s Severity) bool { return l.counts[s] >= maxFindings }

// Findings returns the findings, with one more for those of a severity that were only counted.
func (l *List) Findings() []Finding {
	out := slices.Clone(l.findings)
	for severity, n := range l.counts {
		if n > maxFindings {
			out = append(out, Finding{Kind: KindError, Severity: severity, Message: fmt.Sprintf("%d further findings of this severity are not listed.", n-maxFindings)})
		}
	}
	return out
}

// add adds a finding with the severity that its kind usually has.
func (l *List) add(kind Kind, at Place, format string, args ...any) {
	severity := SeverityError
	switch kind {
	case KindUnreachable:
		severity = SeverityWarning
	case KindDifference:
		severity = SeverityNote
	}
	l.Add(Finding{Kind: kind, Severity: severity, At: at, Message: fmt.Sprintf(format, args...)})
}

// warn adds an error in input that has no effect, or another one than is likely meant.
func (l *List) warn(at Place, format string, args ...any) {
	l.Add(Finding{Kind: KindError, Severity: SeverityWarning, At: at, Message: fmt.Sprintf(format, args...)})
}

// entryName returns the name of the i-th entry of a list for a message.
func entryName(what, name string, i int) string {
	if name == "" {
		return what + " number " + strconv.Itoa(i+1) + " without a name"
	}
	return what + " " + strconv.Quote(name)
}
