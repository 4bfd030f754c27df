// Package environment holds the document of an environment, the state in force
// that instances serve by, and its way from and to the platform.
package environment

import "slices"

// TargetKind tells model engines from plain services.
type TargetKind string

// Kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// CutOffPolicy tells what becomes of a client account's requests in an
// availability zone that is cut off from the platform and all other zones.
type CutOffPolicy string

// Policies for cut-off zones.
const (
	CutOffRefuse CutOffPolicy = "refuse"
	CutOffServe  CutOffPolicy = "serve"
)

// Document is what operators declare for one environment.
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
	// LeavingSoon announces that the zone will be taken out: its targets go on
	// serving while what they hold is made ready elsewhere.
	LeavingSoon bool `json:"leaving_soon,omitempty"`
}

// HasZone reports whether the document has the availability zone.
func (d *Document) HasZone(name string) bool {
	return slices.ContainsFunc(d.Zones, func(z Zone) bool { return z.Name == name })
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// RateTokensPerSecond and BurstTokens bound the prompt and generated tokens
	// of the account over all instances together.
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
	// ContextTokens bounds prompt and generated tokens of one call.
	ContextTokens int64 `json:"context_tokens"`
	// DefaultMaxTokens limits a call that states no limit.
	DefaultMaxTokens int64 `json:"default_max_tokens"`
	// PromptTokensPerByte is the most tokens that the tokenizer makes of a byte
	// of the prompt; 0 means 1.
	PromptTokensPerByte float64 `json:"prompt_tokens_per_byte,omitempty"`
	// MinCopies is the number of copies kept even without demand; 0 means 1.
	MinCopies int `json:"min_copies,omitempty"`
}

// Adapter is a fine-tuned variant of a model, asked for by its own name.
type Adapter struct {
	Name     string `json:"name"`
	Model    string `json:"model"`
	Version  string `json:"version,omitempty"`
	MemoryMB int64  `json:"memory_mb"`
}

// Target is a model engine or an instance of a plain service.
type Target struct {
	Name string     `json:"name"`
	Kind TargetKind `json:"kind"`
	// Address is IP:PORT.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is the plain service that a target of kind service runs.
	Service string `json:"service,omitempty"`
	// MemoryMB is the accelerator memory for weights and adapters.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Concurrency is the number of calls that a warm target bears.
	Concurrency int `json:"concurrency"`
	// ColdConcurrency is the number of calls that a cold target bears.
	ColdConcurrency int `json:"cold_concurrency,omitempty"`
	// ChecksFencing tells that the target refuses orders with an old fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MaxOrderDelayMS is the longest time in milliseconds between sending an
	// order and its effect.
	MaxOrderDelayMS int `json:"max_order_delay_ms,omitempty"`
	// LeavingSoon announces that the target will be taken out, as for a zone.
	LeavingSoon bool `json:"leaving_soon,omitempty"`
}

// Service is a plain service reached under /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// Calls lists the calls whose repetition is harmless. All others run at
	// most once.
	Calls []ServiceCall `json:"calls,omitempty"`
}

// ServiceCall describes the calls of one method under a path prefix. The
// longest matching prefix decides.
type ServiceCall struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// OpenRoute lets requests without a key in.
type OpenRoute struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Account pays for the tokens of model calls on the route.
	Account string `json:"account,omitempty"`
}

// WeightStore bounds the loads from the weight store over all instances.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	LoadsAtOnce    int     `json:"loads_at_once"`
	// AdapterLoadsAtOnce is the number of adapter loads above which they slow
	// down.
	AdapterLoadsAtOnce int `json:"adapter_loads_at_once,omitempty"`
}

// Key is a caller's key as it is kept: the key itself is shown once, to the
// operator who creates it.
type Key struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// SHA256 is the hash of the key's secret in hexadecimal.
	SHA256    string `json:"sha256"`
	CreatedMS int64  `json:"created_ms"`
}

// Change tells who made a revision and why.
type Change struct {
	// Nonce is random; the writer finds by it whether a write whose answer was
	// lost took effect.
	Nonce    string `json:"nonce"`
	Operator string `json:"operator"`
	Action   string `json:"action"`
	AtMS     int64  `json:"at_ms"`
}

// State is all that operators have decided for an environment: the document in
// force, the keys, and what is taken out. It is one object of the platform, so
// that every accepted change has a place in one order.
type State struct {
	// Revision rises by one with each accepted change.
	Revision uint64   `json:"revision"`
	Document Document `json:"document"`
	Keys     []Key    `json:"keys,omitempty"`
	// ZonesOut lists availability zones that get no new work.
	ZonesOut []string `json:"zones_out,omitempty"`
	// TargetsLeaving lists targets that get no new work.
	TargetsLeaving []string `json:"targets_leaving,omitempty"`
	// TrialID names the trial that the document in force was promoted from.
	TrialID string `json:"trial_id,omitempty"`
	Change  Change `json:"change"`
	// RecentChanges lists the newest changes, this one included, oldest first.
	RecentChanges []RecentChange `json:"recent_changes,omitempty"`
}

// RecentChange is an accepted change. It lets the writer of a change whose answer
// was lost find it after later changes replaced it, and operators look back.
type RecentChange struct {
	Revision uint64 `json:"revision"`
	Change
}
