package configcheck

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/dotterellink/dotterellink/internal/catalog"
)

// Check returns the findings in a configuration on its own. Index must have been called.
func Check(s *catalog.State) []Finding {
	c := &checker{state: s, reached: make(map[string]bool), lookups: make(map[address]*catalog.Route)}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	return c.Findings()
}

type checker struct {
	List
	state *catalog.State
	// reached holds the names of the services that calls reach, needsKey is set if a call
	// can reach a route that needs a key.
	reached  map[string]bool
	needsKey bool
	// lookups holds the routes found, as each search goes through all routes of a host.
	lookups map[address]*catalog.Route
}

// address is where a route takes calls.
type address struct{ host, prefix string }

func (c *checker) checkRoutes() {
	if len(c.state.Routes) == 0 {
		c.warn(section(Routes), "There are no routes, so that all calls are refused.")
	}
	names := make(map[string]bool)
	for i := range c.state.Routes {
		r := &c.state.Routes[i]
		if r.Name != "" && names[r.Name] {
			c.add(KindError, routeField(i, "Name"), "Another route has the name %q, too.", r.Name)
		}
		names[r.Name] = true
		isReachable := c.checkAddress(i)
		c.needsKey = c.needsKey || isReachable && c.state.NeedsKey(r)
		c.checkRouteServices(i, isReachable)
		c.checkTimes(i)
		if r.Repeatable() && r.MaxAttempts > catalog.MaxSends {
			c.add(KindContradiction, routeField(i, "MaxAttempts"), "%d attempts are allowed, but no call is sent more than %d times.", r.MaxAttempts, catalog.MaxSends)
		}
	}
}

// notInHosts are characters that no request can have in its host. Those up to the space are
// excluded, too.
const notInHosts = "/\\?#@^`{|}\x7f"

// anyTarget is the only target of a request that is not empty and begins with no slash.
const anyTarget = "*"

// checkAddress reports whether calls can reach a route.
func (c *checker) checkAddress(i int) bool {
	r := &c.state.Routes[i]
	isControl := func(char rune) bool { return char <= ' ' }
	switch {
	case strings.ContainsAny(r.Host, notInHosts) || strings.ContainsFunc(r.Host, isControl):
		c.add(KindUnreachable, routeField(i, "Host"), "No request can name the host %q.", r.Host)
		return false
	case r.PathPrefix == anyTarget:
		c.warn(routeField(i, "PathPrefix"), "A path prefix is no pattern, so that %q matches no path that begins with a slash.", r.PathPrefix)
	case r.PathPrefix != "" && r.PathPrefix[0] != '/':
		c.add(KindUnreachable, routeField(i, "PathPrefix"), "No path begins with %q, since all begin with a slash.", r.PathPrefix)
		return false
	}
	if found := c.lookup(r); found != r {
		c.add(KindUnreachable, routeField(i, ""), "All calls to host %q with path prefix %q go to %s.", r.Host, r.PathPrefix, nameOfRoute(c.state, found))
		return false
	}
	if r.Host == "" {
		c.warn(routeField(i, "Host"), "Without a host, a route gets only calls that name none.")
	}
	return true
}

// lookup returns the route of the shortest path that has the prefix of r. A longer path with
// this prefix goes to the same route or to one with a longer prefix.
func (c *checker) lookup(r *catalog.Route) *catalog.Route {
	key := address{r.Host, r.PathPrefix}
	found, ok := c.lookups[key]
	if !ok {
		found = c.state.Route(r.Host, r.PathPrefix)
		c.lookups[key] = found
	}
	return found
}

// nameOfRoute returns the name of a route of s for a message.
func nameOfRoute(s *catalog.State, r *catalog.Route) string {
	i := slices.IndexFunc(s.Routes, func(other catalog.Route) bool { return other.Host == r.Host && other.PathPrefix == r.PathPrefix })
	return entryName("route", r.Name, i)
}

func (c *checker) checkRouteServices(i int, isReachable bool) {
	r := &c.state.Routes[i]
	total, overflows := 0, false
	for _, s := range r.Services {
		overflows = overflows || max(0, s.Weight) > math.MaxInt-total
		total += max(0, s.Weight)
	}
	if overflows {
		c.add(KindError, routeField(i, "Services"), "The sum of the weights is too large.")
		return
	}
	for j, s := range r.Services {
		at := routeField(i, "Service")
		at.Part = j
		switch {
		case !mayPick(r, j, total):
			at.Field = "Weight"
			c.add(KindUnreachable, at, "Service %q gets no calls of the route, since its weight is %d.", s.Service, s.Weight)
		case c.state.Services[s.Service] == nil:
			c.add(KindError, at, "There is no service %q, so that its calls are refused.", s.Service)
		case isReachable:
			c.reached[s.Service] = true
		}
	}
}

// mayPick reports whether Route.PickService may return the j-th service. total is the sum of
// the weights.
func mayPick(r *catalog.Route, j, total int) bool {
	if total == 0 {
		return j == 0
	}
	return r.Services[j].Weight > 0
}

func (c *checker) checkTimes(i int) {
	r := &c.state.Routes[i]
	if r.Timeout <= 0 {
		return
	}
	isStream := r.Kind == catalog.Stream
	if r.TargetLatency > r.Timeout {
		c.add(KindContradiction, routeField(i, "TargetLatency"), "The target latency of %v is above the timeout of %v.", r.TargetLatency, r.Timeout)
	}
	if isStream && r.EventGap > r.Timeout {
		c.add(KindContradiction, routeField(i, "EventGap"), "The longest pause between events of %v is above the timeout of %v.", r.EventGap, r.Timeout)
	}
	if max(r.TargetLatency, r.EventGap) > r.Timeout || !isStream || !r.Resumable || r.MaxAttempts < 2 {
		return
	}
	// The least stall timeout is no choice of the operator. With a shorter timeout, a stream
	// may still be moved before its first event.
	if stall := r.StallTimeout(); stall > max(r.Timeout, catalog.MinStallTimeout) {
		c.add(KindContradiction, routeField(i, "Timeout"), "A stream that stalls is moved after %v, which is above the timeout of %v.", stall, r.Timeout)
	}
}

func (c *checker) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(c.state.Services)) {
		s := c.state.Services[name]
		if !c.reached[name] {
			c.add(KindUnreachable, serviceField(name, ""), "No call reaches service %q.", name)
		}
		if s.Scaling != nil && s.Scaling.Min > s.Scaling.Max {
			c.add(KindContradiction, serviceField(name, "Scaling.Min"), "The least number of targets, %d, is above the highest, %d.", s.Scaling.Min, s.Scaling.Max)
		}
		if s.Engine != nil {
			c.checkEngine(name, s.Engine)
		}
	}
}

func (c *checker) checkEngine(service string, e *catalog.Engine) {
	space, hasAdapters := e.WeightsMB-e.AdapterReserveMB(), false
	for _, name := range slices.Sorted(maps.Keys(e.Models)) {
		m := e.Models[name]
		hasAdapters = hasAdapters || m.Adapters > 0
		if m.WeightsMB > space {
			c.add(KindContradiction, modelField(service, name, "WeightsMB"), "Model %q needs %g MB, but a target of service %q has %g MB for models and reserves %g MB of them for adapters.",
				name, m.WeightsMB, service, e.WeightsMB, e.AdapterReserveMB())
		}
	}
	if hasAdapters && e.AdapterSlots < 1 {
		c.add(KindUnreachable, serviceField(service, "Engine.AdapterSlots"), "Models of service %q have adapters, but no target has a slot for one.", service)
	}
}

func (c *checker) checkAccounts() {
	keys := make(map[int]int)
	for _, i := range c.state.KeyOwners {
		keys[i]++
	}
	if len(c.state.Accounts) > 0 && !c.needsKey {
		c.add(KindUnreachable, section(Accounts), "No route needs a key, so that no call belongs to an account.")
	}
	names := make(map[string]bool)
	for i, a := range c.state.Accounts {
		if names[a.Name] {
			c.add(KindError, accountField(i, "Name"), "Another account has the name %q, too, and both use one quota.", a.Name)
		}
		names[a.Name] = true
		if keys[i] == 0 && c.needsKey {
			c.add(KindUnreachable, accountField(i, ""), "No call belongs to %s, since no key does.", entryName("account", a.Name, i))
		}
		c.checkQuota(i)
	}
}

// checkQuota compares the burst of an account with the cost of a call that states no counts
// of tokens. A larger call is admitted once the quota is full.
func (c *checker) checkQuota(i int) {
	a := c.state.Accounts[i]
	cost, unit := 1, "call"
	if a.CountsTokens {
		cost, unit = max(1, a.PlainTokens), "token"
	}
	if a.Rate > 0 && a.Burst < float64(cost) {
		c.add(KindContradiction, accountField(i, "Burst"), "The burst of %g is below the cost of one call, %d %s.", a.Burst, cost, plural(unit, cost))
	}
}

func plural(word string, n int) string {
	if n == 1 {
		return word
	}
	return word + "s"
}
