package configcheck

import (
	"fmt"
	"iter"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dotterellink/dotterellink/internal/catalog"
)

// Compare returns the differences of a candidate to the configuration in force, matched by
// name. Index must have been called for both.
func Compare(inForce, candidate *catalog.State) []Finding {
	d := &comparison{old: inForce, new: candidate}
	d.compareFields(Place{Section: Limits}, EffectNewCalls, inForce.Limits, candidate.Limits)
	d.compareRoutes()
	d.compareServices()
	d.compareAccounts()
	switch {
	case candidate.Version > inForce.Version:
	case candidate.Version < inForce.Version:
		d.List.add(KindError, Place{Field: "Version"}, "Version %d is below version %d in force, so that instances ignore the configuration.", candidate.Version, inForce.Version)
	case len(d.counts) > 0:
		d.List.add(KindError, Place{Field: "Version"}, "Version %d is in force with other content, so that instances ignore the configuration.", candidate.Version)
	}
	return d.Findings()
}

type comparison struct {
	List
	old, new *catalog.State
}

// add adds a difference. One that ends service for callers is a warning.
func (d *comparison) add(at Place, effect Effect, format string, args ...any) {
	severity := SeverityNote
	if effect == EffectEndsService {
		severity = SeverityWarning
	}
	d.addWith(severity, at, effect, format, args...)
}

func (d *comparison) addWith(severity Severity, at Place, effect Effect, format string, args ...any) {
	d.Add(Finding{Kind: KindDifference, Severity: severity, At: at, Effect: effect, Message: fmt.Sprintf(format, args...)})
}

// compareFields adds a difference for each field that differs, but for fields that hold
// further entries.
func (d *comparison) compareFields(at Place, effect Effect, before, after any) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	prefix := at.Field
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		switch name {
		case "Name", "Engine", "Scaling", "Models":
			continue
		}
		if old, now := a.Field(i).Interface(), b.Field(i).Interface(); !equal(old, now) {
			at.Field = prefix + name
			if name == "CountsTokens" {
				old, now = unit(a.Field(i).Bool()), unit(b.Field(i).Bool())
			}
			d.add(at, effect, "Changed from %s to %s.", text(old), text(now))
		}
	}
}

// equal compares an absent list as an empty one.
func equal(a, b any) bool { return reflect.DeepEqual(a, b) || text(a) == text(b) }

// unit returns what an account counts.
func unit(countsTokens bool) string {
	if countsTokens {
		return "tokens"
	}
	return "calls"
}

// text returns the value of a field for a message.
func text(value any) string {
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case time.Duration:
		return v.String()
	case *int:
		if v == nil {
			return "none"
		}
		return strconv.Itoa(*v)
	case catalog.Kind:
		return [...]string{catalog.AtMostOnce: "at most once", catalog.Idempotent: "idempotent", catalog.Stream: "stream"}[v]
	case []catalog.WeightedService:
		parts := make([]string, 0, len(v))
		for _, s := range v {
			parts = append(parts, fmt.Sprintf("%q with weight %d", s.Service, s.Weight))
		}
		return strings.Join(parts, ", ")
	case []string:
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprint(value)
}

// identity is a name with the number of entries of this name before it.
type identity struct {
	name  string
	count int
}

// identities returns the index of each entry of a list.
func identities[T any](list []T, name func(*T) string) map[identity]int {
	counts := make(map[string]int)
	out := make(map[identity]int, len(list))
	for i := range list {
		n := name(&list[i])
		out[identity{n, counts[n]}] = i
		counts[n]++
	}
	return out
}

func (d *comparison) compareRoutes() {
	name := func(r *catalog.Route) string { return r.Name }
	before, after := identities(d.old.Routes, name), identities(d.new.Routes, name)
	for id, i := range sortedByIndex(after) {
		now := &d.new.Routes[i]
		at := routeField(i, "")
		if j, ok := before[id]; ok {
			old := &d.old.Routes[j]
			d.compareFields(at, EffectNewCalls, *old, *now)
			d.compareNeedForKey(i, old, now)
			if (old.Host != now.Host || old.PathPrefix != now.PathPrefix) && d.old.Route(old.Host, old.PathPrefix) == old {
				d.addDestination(at, old, "Calls to its former host and path prefix")
			}
			continue
		}
		text := "Added"
		if former := d.old.Route(now.Host, now.PathPrefix); former != nil {
			text += ", it takes calls that go to " + nameOfRoute(d.old, former) + " now"
		}
		d.add(at, "", "%s.", text)
	}
	for id, j := range sortedByIndex(before) {
		if _, ok := after[id]; ok {
			continue
		}
		old := &d.old.Routes[j]
		if d.old.Route(old.Host, old.PathPrefix) != old {
			d.add(section(Routes), "", "Removed %s, to which no call goes.", entryName("route", old.Name, j))
			continue
		}
		d.addDestination(section(Routes), old, fmt.Sprintf("Removed %s. Calls to it", entryName("route", old.Name, j)))
	}
}

// addDestination adds where calls to the host and path prefix of a former route go.
func (d *comparison) addDestination(at Place, old *catalog.Route, subject string) {
	now := d.new.Route(old.Host, old.PathPrefix)
	if now == nil {
		d.add(at, EffectEndsService, "%s, %q and %q, find no route.", subject, old.Host, old.PathPrefix)
		return
	}
	d.add(at, EffectNewCalls, "%s, %q and %q, go to %s.", subject, old.Host, old.PathPrefix, nameOfRoute(d.new, now))
}

func (d *comparison) compareNeedForKey(i int, old, now *catalog.Route) {
	switch before, after := d.old.NeedsKey(old), d.new.NeedsKey(now); {
	case !before && after:
		d.add(routeField(i, "Anonymous"), EffectEndsService, "Calls without a key are refused.")
	case before && !after:
		d.addWith(SeverityWarning, routeField(i, "Anonymous"), EffectNewCalls, "Calls need no key any more.")
	}
}

func (d *comparison) compareServices() {
	for _, name := range slices.Sorted(maps.Keys(d.new.Services)) {
		now, old := d.new.Services[name], d.old.Services[name]
		if old == nil {
			d.add(serviceField(name, ""), "", "Added.")
			continue
		}
		d.compareFields(serviceField(name, ""), EffectNewCalls, *old, *now)
		d.compareEngines(name, old.Engine, now.Engine)
		d.compareScaling(name, old.Scaling, now.Scaling)
	}
	for _, name := range slices.Sorted(maps.Keys(d.old.Services)) {
		if d.new.Services[name] != nil {
			continue
		}
		effect := Effect("")
		if slices.ContainsFunc(d.new.Routes, func(r catalog.Route) bool {
			return slices.ContainsFunc(r.Services, func(s catalog.WeightedService) bool { return s.Service == name })
		}) {
			effect = EffectEndsService
		}
		d.add(section(Services), effect, "Removed service %q.", name)
	}
}

func (d *comparison) compareScaling(service string, old, now *catalog.Scaling) {
	at := serviceField(service, "Scaling")
	switch {
	case old == nil && now == nil:
	case old == nil:
		d.add(at, "", "The number of targets will be changed by demand.")
	case now == nil:
		d.add(at, "", "The number of targets will not be changed any more.")
	default:
		d.compareFields(serviceField(service, "Scaling."), "", *old, *now)
	}
}

// compareEngines compares the engines of a service, which may be nil. Placement follows a
// change at once.
func (d *comparison) compareEngines(service string, old, now *catalog.Engine) {
	if (old == nil) != (now == nil) {
		state := "have"
		if now == nil {
			state = "do not have"
		}
		d.add(serviceField(service, "Engine"), "", "Targets %s an engine.", state)
	}
	if old == nil {
		old = &catalog.Engine{}
	} else if now != nil {
		d.compareFields(serviceField(service, "Engine."), "", *old, *now)
	}
	if now == nil {
		now = &catalog.Engine{}
	}
	for _, name := range slices.Sorted(maps.Keys(now.Models)) {
		if m, ok := old.Models[name]; ok {
			d.compareFields(modelField(service, name, ""), "", m, now.Models[name])
		} else {
			d.add(modelField(service, name, ""), "", "Added.")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old.Models)) {
		if _, ok := now.Models[name]; !ok {
			d.add(serviceField(service, "Engine.Models"), EffectEndsService, "Removed model %q, so that no target loads it any more.", name)
		}
	}
}

func (d *comparison) compareAccounts() {
	name := func(a *catalog.Account) string { return a.Name }
	before, after := identities(d.old.Accounts, name), identities(d.new.Accounts, name)
	for id, i := range sortedByIndex(after) {
		if j, ok := before[id]; ok {
			d.compareFields(accountField(i, ""), EffectNewCalls, d.old.Accounts[j], d.new.Accounts[i])
		} else {
			d.add(accountField(i, ""), "", "Added.")
		}
	}
	for id, j := range sortedByIndex(before) {
		if _, ok := after[id]; !ok {
			d.add(section(Accounts), "", "Removed %s.", entryName("account", d.old.Accounts[j].Name, j))
		}
	}
	d.compareKeys()
}

// compareKeys counts the keys that were added, removed or given to another account. Keys are
// known by their hashes only.
func (d *comparison) compareKeys() {
	owner := func(s *catalog.State, hash catalog.KeyHash) (string, bool) {
		i, ok := s.KeyOwners[hash]
		if !ok {
			return "", false
		}
		return s.Accounts[i].Name, true
	}
	added, removed, moved := make(map[string]int), make(map[string]int), make(map[string]int)
	for hash := range d.old.KeyOwners {
		old, _ := owner(d.old, hash)
		if now, ok := owner(d.new, hash); !ok {
			removed[old]++
		} else if now != old {
			moved[now]++
		}
	}
	for hash := range d.new.KeyOwners {
		if _, ok := owner(d.old, hash); !ok {
			now, _ := owner(d.new, hash)
			added[now]++
		}
	}
	at := func(account string) Place {
		i := slices.IndexFunc(d.new.Accounts, func(a catalog.Account) bool { return a.Name == account })
		if i < 0 {
			return section(Accounts)
		}
		return accountField(i, "Keys")
	}
	// Without accounts, no route needs a key.
	ends := EffectEndsService
	if len(d.new.Accounts) == 0 {
		ends = ""
	}
	for _, account := range slices.Sorted(maps.Keys(removed)) {
		d.add(at(account), ends, "Removed %d %s of account %q.", removed[account], plural("key", removed[account]), account)
	}
	for _, account := range slices.Sorted(maps.Keys(moved)) {
		d.add(at(account), EffectNewCalls, "Account %q gets %d %s of other accounts.", account, moved[account], plural("key", moved[account]))
	}
	for _, account := range slices.Sorted(maps.Keys(added)) {
		d.add(at(account), "", "Added %d %s of account %q.", added[account], plural("key", added[account]), account)
	}
}

// sortedByIndex iterates over identities in the order of their list.
func sortedByIndex(m map[identity]int) iter.Seq2[identity, int] {
	ids := slices.SortedFunc(maps.Keys(m), func(a, b identity) int { return m[a] - m[b] })
	return func(yield func(identity, int) bool) {
		for _, id := range ids {
			if !yield(id, m[id]) {
				return
			}
		}
	}
}
