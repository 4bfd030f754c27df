// Package environment defines the configuration document of an environment,
// keeps the current state on every instance, synchronizes it with the platform
// and between instances, and decides whether it is fresh enough to serve.
package environment

import "slices"

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// Kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// CutOffPolicy selects how a client account's requests with a key are handled by
// an instance whose verdict is VerdictCutOff, so that its state may be outdated.
// The empty policy means CutOffRefuse.
type CutOffPolicy string

// Policies for instances that are cut off.
const (
	CutOffRefuse CutOffPolicy = "refuse"
	CutOffServe  CutOffPolicy = "serve"
)

// Document is the configuration that operators declare for one environment.
type Document struct {
	Zones       []Zone      `json:"zones"`
	Accounts    []Account   `json:"accounts"`
	Models      []Model     `json:"models"`
	Adapters    []Adapter   `json:"adapters,omitempty"`
	Targets     []Target    `json:"targets"`
	Services    []Service   `json:"services,omitempty"`
	OpenRoutes  []OpenRoute `json:"open_routes,omitempty"`
	WeightStore WeightStore `json:"weight_store"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// LeavingSoon announces that the zone will be taken out of service. Its
	// targets keep serving while their models and adapters are loaded elsewhere.
	LeavingSoon bool `json:"leaving_soon,omitempty"`
}

// HasZone reports whether the document has the availability zone.
func (d *Document) HasZone(name string) bool {
	return slices.ContainsFunc(d.Zones, func(z Zone) bool { return z.Name == name })
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// RateTokensPerSecond and BurstTokens limit the prompt and generated tokens
	// of the account across all instances.
	RateTokensPerSecond int64        `json:"rate_tokens_per_second"`
	BurstTokens         int64        `json:"burst_tokens"`
	WhenCutOff          CutOffPolicy `json:"when_cut_off,omitempty"`
}

// Model is a base model.
type Model struct {
	Name string `json:"name"`
	// Version of the weights.
	Version  string `json:"version,omitempty"`
	MemoryMB int64  `json:"memory_mb"`
	// ContextTokens limits the prompt and generated tokens of one call.
	ContextTokens int64 `json:"context_tokens"`
	// DefaultMaxTokens applies to calls that set no limit.
	DefaultMaxTokens int64 `json:"default_max_tokens"`
	// PromptTokensPerByte is the maximum number of tokens per byte of the prompt
	// that the tokenizer produces; 0 means 1.
	PromptTokensPerByte float64 `json:"prompt_tokens_per_byte,omitempty"`
	// MinCopies is the number of copies kept loaded even without demand; 0 means 1.
	MinCopies int `json:"min_copies,omitempty"`
}

// Adapter is a fine-tuned variant of a model that callers request by its own name.
type Adapter struct {
	Name     string `json:"name"`
	Model    string `json:"model"`
	Version  string `json:"version,omitempty"`
	MemoryMB int64  `json:"memory_mb"`
}

// Target is a model engine or a server that runs a plain service.
type Target struct {
	Name string     `json:"name"`
	Kind TargetKind `json:"kind"`
	// Address is IP:PORT.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is the plain service that a target of kind service runs.
	Service string `json:"service,omitempty"`
	// MemoryMB is the accelerator memory available for weights and adapters.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Concurrency is the number of concurrent calls that a warm target handles.
	Concurrency int `json:"concurrency"`
	// ColdConcurrency is the number of concurrent calls that a cold target handles.
	ColdConcurrency int `json:"cold_concurrency,omitempty"`
	// ChecksFencing reports whether the target rejects orders with an old
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MaxOrderDelayMS is the maximum time in milliseconds between sending an
	// order and its effect.
	MaxOrderDelayMS int `json:"max_order_delay_ms,omitempty"`
	// LeavingSoon announces that the target will be taken out of service, as
	// Zone.LeavingSoon does for a zone.
	LeavingSoon bool `json:"leaving_soon,omitempty"`
}

// Service is a plain service reached under /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// Calls tells which calls are idempotent and may be retried. All others run
	// at most once.
	Calls []ServiceCall `json:"calls,omitempty"`
}

// ServiceCall describes the calls of one method under a path prefix. The
// longest matching prefix takes precedence.
type ServiceCall struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// OpenRoute admits matching requests without a key.
type OpenRoute struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Account is charged for the tokens of model calls on the route.
	Account string `json:"account,omitempty"`
}

// WeightStore limits the loads from the weight store across all instances.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	LoadsAtOnce    int     `json:"loads_at_once"`
	// AdapterLoadsAtOnce is the number of concurrent adapter loads above which
	// the loads slow down.
	AdapterLoadsAtOnce int `json:"adapter_loads_at_once,omitempty"`
}

// Key is the stored form of a caller's key. The key itself is shown only once,
// to the operator who creates it.
type Key struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// SHA256 is the hash of the key's secret in hexadecimal.
	SHA256    string `json:"sha256"`
	CreatedMS int64  `json:"created_ms"`
}

// Change records who made a revision, and by which action.
type Change struct {
	// Nonce is random. It lets the writer find out whether a write whose response
	// was lost took effect.
	Nonce    string `json:"nonce"`
	Operator string `json:"operator"`
	Action   string `json:"action"`
	AtMS     int64  `json:"at_ms"`
}

// State is the whole configuration of an environment: the current document, the
// keys, and the zones and targets that are out of service. It is a single object
// of the platform, so that all accepted changes are totally ordered.
type State struct {
	// Revision increases by one with each accepted change.
	Revision uint64   `json:"revision"`
	Document Document `json:"document"`
	Keys     []Key    `json:"keys,omitempty"`
	// ZonesOut lists availability zones that receive no new work.
	ZonesOut []string `json:"zones_out,omitempty"`
	// TargetsLeaving lists targets that receive no new work.
	TargetsLeaving []string `json:"targets_leaving,omitempty"`
	// TrialID identifies the trial from which the current document was promoted.
	TrialID string `json:"trial_id,omitempty"`
	Change  Change `json:"change"`
	// RecentChanges lists the latest changes including Change, oldest first.
	RecentChanges []RecentChange `json:"recent_changes,omitempty"`
}

// RecentChange is an accepted change. The writer of a change whose response was
// lost finds it here after later changes, and operators see the history.
type RecentChange struct {
	Revision uint64 `json:"revision"`
	Change
}
