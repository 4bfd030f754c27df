// Package catalog holds the state in force that decides which call may go
// where: routes, services, client accounts and models. A state is immutable;
// a Holder replaces it as a whole and never goes back to an older version.
package catalog

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Kind says what may be repeated of a call.
type Kind int

// Kinds of calls.
const (
	// AtMostOnce calls may run at one target at most.
	AtMostOnce Kind = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Stream calls answer with a series of events. They may run once at most,
	// unless the route is resumable.
	Stream
)

// Route tells where calls of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting; 0 means no
	// limit but the caller's own.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, of a stream the first
	// event, earns its full worth.
	TargetLatency time.Duration
	// EventGap is the longest pause between events of a stream that is on time.
	EventGap time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets on which one call may run.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another target.
	Resumable bool
	Services  []WeightedService
	// HomeRegions limits the regions of targets; empty means any.
	HomeRegions []string
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
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
	// MaxConnections is what one target accepts from all callers together.
	MaxConnections int
	// ColdStart is how long a target stays cold after its start; ColdRate is
	// the number of calls a second that it bears meanwhile, 0 for no bound.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int
	KVTokens     int
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond bounds loads from the weight store over all targets.
	LoadsPerSecond float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	Models      map[string]Model
}

// Model is one set of weights.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime is the time of a load from the weight store.
	LoadTime  time.Duration
	Adapters  int
	AdapterMB float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority, if set, goes before the priority of the route.
	Priority *int
	// Rate and Burst bound the units a second over all instances; a Rate of 0
	// means no limit.
	Rate  float64
	Burst float64
	// CountsTokens makes the unit a token in place of a call; a call that does
	// not tell its tokens counts as PlainTokens.
	CountsTokens bool
	PlainTokens  int
}

// Limits bounds what callers send.
type Limits struct {
	MaxBodyBytes int64
	IdleTimeout  time.Duration
}

// KeyHash is the SHA-256 of a caller's key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// State is one version of the state in force.
type State struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Accounts []Account
	Limits   Limits
	// KeyOwners gives the index in Accounts by the hash of a key.
	KeyOwners map[KeyHash]int

	byHost map[string][]*Route
}

// Index prepares lookups. It is called once, before the state is shared.
func (s *State) Index() {
	s.byHost = make(map[string][]*Route)
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
}

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

// Account returns the holder of a key, or nil.
func (s *State) Account(key string) *Account {
	i, ok := s.KeyOwners[HashKey(key)]
	if !ok {
		return nil
	}
	return &s.Accounts[i]
}

// NeedsKey reports whether calls on the route have to show a key.
func (s *State) NeedsKey(r *Route) bool { return len(s.Accounts) > 0 && !r.Anonymous }
