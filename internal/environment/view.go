package environment

import (
	"slices"
	"strings"
	"time"
)

// View is an immutable state with indexes for lookups by name. Callers must not
// modify the values that it returns.
type View struct {
	State *State
	// ConfirmedAt is the instance's monotonic time at which the state was last
	// known to be the newest; zero if it never was.
	ConfirmedAt time.Time

	accounts   map[string]*Account
	models     map[string]*Model
	adapters   map[string]*Adapter
	targets    map[string]*Target
	services   map[string]*Service
	keys       map[string]*Key
	targetsOut map[string]bool
	zonesOut   map[string]bool
}

// NewView returns a view of the state.
func NewView(state *State, confirmedAt time.Time) *View {
	v := &View{State: state, ConfirmedAt: confirmedAt}
	d := &state.Document
	v.accounts = index(d.Accounts, func(a *Account) string { return a.Name })
	v.models = index(d.Models, func(m *Model) string { return m.Name })
	v.adapters = index(d.Adapters, func(a *Adapter) string { return a.Name })
	v.targets = index(d.Targets, func(t *Target) string { return t.Name })
	v.services = index(d.Services, func(s *Service) string { return s.Name })
	v.keys = index(state.Keys, func(k *Key) string { return k.ID })
	v.targetsOut = setOf(state.TargetsLeaving)
	v.zonesOut = setOf(state.ZonesOut)
	return v
}

// withConfirmation returns a copy of the view with a newer confirmation time.
func (v *View) withConfirmation(at time.Time) *View {
	next := *v
	next.ConfirmedAt = at
	return &next
}

func index[T any](items []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(items))
	for i := range items {
		out[name(&items[i])] = &items[i]
	}
	return out
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// Account returns the client account or nil.
func (v *View) Account(name string) *Account { return v.accounts[name] }

// Target returns the target or nil.
func (v *View) Target(name string) *Target { return v.targets[name] }

// Service returns the plain service or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Key returns the key with the identifier or nil.
func (v *View) Key(id string) *Key { return v.keys[id] }

// Resolve returns the model for the name in a caller's request, and the adapter
// if the name is that of an adapter. Both are nil for unknown names.
func (v *View) Resolve(name string) (*Model, *Adapter) {
	if m := v.models[name]; m != nil {
		return m, nil
	}
	if a := v.adapters[name]; a != nil {
		return v.models[a.Model], a
	}
	return nil, nil
}

// IsZoneOut reports whether the availability zone is out of service.
func (v *View) IsZoneOut(zone string) bool { return v.zonesOut[zone] }

// IsTargetOut reports whether the target or its availability zone is out of
// service, so that the target receives no new work.
func (v *View) IsTargetOut(t *Target) bool { return v.targetsOut[t.Name] || v.zonesOut[t.Zone] }

// IsTargetLeavingSoon reports whether it is announced that the target or its
// availability zone will be taken out of service.
func (v *View) IsTargetLeavingSoon(t *Target) bool {
	if t.LeavingSoon {
		return true
	}
	for i := range v.State.Document.Zones {
		if z := &v.State.Document.Zones[i]; z.Name == t.Zone {
			return z.LeavingSoon
		}
	}
	return false
}

// OpenRoute returns the first open route that matches the request, or nil.
func (v *View) OpenRoute(method, path string) *OpenRoute {
	for i := range v.State.Document.OpenRoutes {
		r := &v.State.Document.OpenRoutes[i]
		if r.Method == method && hasPathPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// IsIdempotent reports whether a call of the service may be retried.
func (s *Service) IsIdempotent(method, path string) bool {
	best := -1
	idempotent := false
	for _, c := range s.Calls {
		if c.Method == method && hasPathPrefix(path, c.PathPrefix) && len(c.PathPrefix) > best {
			best = len(c.PathPrefix)
			idempotent = c.Idempotent
		}
	}
	return idempotent
}

// hasPathPrefix reports whether path equals prefix or is below it.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Clone returns a copy whose lists can be changed without affecting s, except the
// Calls of services, which are shared.
func (s *State) Clone() *State {
	out := *s
	d := &out.Document
	d.Zones = slices.Clone(d.Zones)
	d.Accounts = slices.Clone(d.Accounts)
	d.Models = slices.Clone(d.Models)
	d.Adapters = slices.Clone(d.Adapters)
	d.Targets = slices.Clone(d.Targets)
	d.Services = slices.Clone(d.Services)
	d.OpenRoutes = slices.Clone(d.OpenRoutes)
	out.Keys = slices.Clone(s.Keys)
	out.ZonesOut = slices.Clone(s.ZonesOut)
	out.TargetsLeaving = slices.Clone(s.TargetsLeaving)
	out.RecentChanges = slices.Clone(s.RecentChanges)
	return &out
}
