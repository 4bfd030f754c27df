// Package catalog holds the configuration in force: routes, services, client
// accounts and models. A State is immutable. A Holder replaces it as a whole and
// never returns to an older version.
package catalog

import (
	"crypto/sha256"
	"math"
	"strings"
	"time"
)

// Kind is the kind of a call, which decides whether it may run more than once.
type Kind int

// Kinds of calls.
const (
	// AtMostOnce calls may run on one target at most.
	AtMostOnce Kind = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Stream calls are answered with a series of events. They may run once at most,
	// unless the route is resumable.
	Stream
)

// MaxSends bounds the sends of one call that reached a target, including those that the
// target did not run.
const MaxSends = 4

// Route defines where calls of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller waits; 0 means no limit but the
	// caller's own.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a
	// stream, has its full value.
	TargetLatency time.Duration
	// EventGap is the longest pause between events of a stream that is on time.
	EventGap time.Duration
	// Priority is the rank of calls; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of targets on which one call may run.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may continue on another target.
	Resumable bool
	Services  []WeightedService
	// HomeRegions lists the regions whose targets are allowed; empty means all.
	HomeRegions []string
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

const (
	// Callers wait for each event of a stream for minCallerWait or for these
	// multiples of the route's target latency and event gap, whichever is longest.
	// Source: the platform's documentation of streams.
	minCallerWait             = 2 * time.Second
	callerWaitTargetLatencies = 4
	callerWaitEventGaps       = 8
	// MinStallTimeout and stallShareOfWait bound the time without an event after which a
	// resumable stream is moved to another target: a share of the time that its caller
	// waits for an event, which is two seconds or more.
	MinStallTimeout  = 1500 * time.Millisecond
	stallShareOfWait = 0.3
)

// CallerWait returns how long a caller waits for each event of a stream.
func (r *Route) CallerWait() time.Duration {
	return max(minCallerWait, callerWaitTargetLatencies*r.TargetLatency, callerWaitEventGaps*r.EventGap)
}

// StallTimeout returns the time without an event after which a resumable stream is moved to
// another target.
func (r *Route) StallTimeout() time.Duration {
	return max(MinStallTimeout, time.Duration(stallShareOfWait*float64(r.CallerWait())))
}

// PickService returns a service of the route by weight. draw returns a random number from 0
// to n-1. Negative weights count as 0. If all weights are 0, the first service is picked.
func (r *Route) PickService(draw func(n int) int) string {
	// Bounded weights keep their sum from overflowing.
	most := math.MaxInt / max(1, len(r.Services))
	weight := func(s WeightedService) int { return min(max(0, s.Weight), most) }
	total := 0
	for _, s := range r.Services {
		total += weight(s)
	}
	if total == 0 {
		return r.Services[0].Service
	}
	at := draw(total)
	for _, s := range r.Services {
		if at -= weight(s); at < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}

// WeightedService is one service behind a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of targets that serve the same calls.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one target accepts from all callers
	// together.
	MaxConnections int
	// ColdStart is how long a target stays cold after its start; ColdRate is the
	// number of calls a second that it can serve in that time, 0 for no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for plain services, which serve no models.
	Engine *Engine
	// Scaling is nil if the number of targets is not ours to change.
	Scaling *Scaling
}

// Scaling bounds the number of targets of a service in each availability zone.
type Scaling struct {
	Min, Max int
	// Boot is the time from the order of a target until it serves.
	Boot time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int
	KVTokens int
	// WeightsMB is the memory of one target for the weights of models and adapters.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store, over all targets.
	LoadsPerSecond float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	Models      map[string]Model
}

// AdapterReserveMB returns the memory of the largest adapters that fill all slots of a
// target, in megabytes.
func (e *Engine) AdapterReserveMB() float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(e.AdapterSlots)
}

// Model is one set of weights.
type Model struct {
	Name string
	// WeightsMB is the size of the weights, without adapters.
	WeightsMB float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime  time.Duration
	Adapters  int
	AdapterMB float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority, if set, overrides the priority of the route.
	Priority *int
	// Rate, in units a second, and Burst limit the account over all instances. A
	// Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// CountsTokens makes the unit a token instead of a call. A call without token
	// counts costs PlainTokens.
	CountsTokens bool
	PlainTokens  int
}

// Limits limits what callers send.
type Limits struct {
	MaxBodyBytes int64
	IdleTimeout  time.Duration
}

// Serves reports whether the engines of a service may hold a model.
func (s *State) Serves(service, model string) bool {
	found := s.Services[service]
	if found == nil || found.Engine == nil {
		return false
	}
	_, ok := found.Engine.Models[model]
	return ok
}

// KeyHash is the SHA-256 of a caller's key. The keys themselves are not stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// State is one version of the configuration.
type State struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Accounts []Account
	Limits   Limits
	// KeyOwners maps the hash of a key to an index in Accounts.
	KeyOwners map[KeyHash]int

	byHost map[string][]*Route
	// scales is set if any service has Scaling.
	scales bool
}

// Index builds the lookup tables. It is called once, before the state is shared.
func (s *State) Index() {
	s.byHost = make(map[string][]*Route)
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
	for _, service := range s.Services {
		s.scales = s.scales || service.Scaling != nil
	}
}

// Scales reports whether the number of targets of any service changes, so that targets may
// be taken away in operation.
func (s *State) Scales() bool { return s.scales }

// Route returns the route of the host with the longest prefix of path, or nil.
func (s *State) Route(host, path string) *Route {
	var best *Route
	for _, r := range s.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account that owns a key, or nil.
func (s *State) Account(key string) *Account {
	i, ok := s.KeyOwners[HashKey(key)]
	if !ok {
		return nil
	}
	return &s.Accounts[i]
}

// NeedsKey reports whether calls on the route require a key.
func (s *State) NeedsKey(r *Route) bool { return len(s.Accounts) > 0 && !r.Anonymous }
