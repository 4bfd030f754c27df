package operator

import (
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/trial"
)

// Revision is the answer to an accepted change.
type Revision struct {
	Revision uint64 `json:"revision"`
}

// Validation is the answer to a valid document.
type Validation struct {
	SHA256 string `json:"sha256"`
}

// TrialAnswer describes a trial and what its promotion would change now.
type TrialAnswer struct {
	ID           string        `json:"id"`
	BaseRevision uint64        `json:"base_revision"`
	SHA256       string        `json:"sha256"`
	Operator     string        `json:"operator"`
	AtMS         int64         `json:"at_ms"`
	Report       *trial.Report `json:"report"`
}

// EnvironmentAnswer is the state in force without the hashes of keys.
type EnvironmentAnswer struct {
	Revision       uint64               `json:"revision"`
	Document       environment.Document `json:"document"`
	ZonesOut       []string             `json:"zones_out"`
	TargetsLeaving []string             `json:"targets_leaving"`
	TrialID        string               `json:"trial_id"`
	Change         environment.Change   `json:"change"`
}

// History lists accepted changes, newest first.
type History struct {
	Changes []ChangeRow `json:"changes"`
}

// ChangeRow is one accepted change.
type ChangeRow struct {
	Revision uint64 `json:"revision"`
	Operator string `json:"operator"`
	Action   string `json:"action"`
	AtMS     int64  `json:"at_ms"`
}

// NewKeyRequest asks for a key of a client account.
type NewKeyRequest struct {
	Account string `json:"account"`
}

// NewKeyAnswer holds a new key, which is not shown again.
type NewKeyAnswer struct {
	ID       string `json:"id"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// KeyList lists keys without their secrets.
type KeyList struct {
	Keys []KeyRow `json:"keys"`
}

// KeyRow is one key.
type KeyRow struct {
	ID        string `json:"id"`
	Account   string `json:"account"`
	CreatedMS int64  `json:"created_ms"`
}

// TargetList lists targets as the asked instance sees them.
type TargetList struct {
	Targets []TargetRow `json:"targets"`
}

// TargetRow is one target.
type TargetRow struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is "serving", "leaving" or "zone out".
	State string `json:"state"`
	// ReportAgeMS is -1 without a report.
	ReportAgeMS int64 `json:"report_age_ms"`
	Cold        bool  `json:"cold"`
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	MemoryMB    int64 `json:"memory_mb"`
	CapacityMB  int64 `json:"capacity_mb"`
}

// ZoneList lists availability zones.
type ZoneList struct {
	Zones []ZoneRow `json:"zones"`
}

// ZoneRow is one availability zone.
type ZoneRow struct {
	Name      string `json:"name"`
	Out       bool   `json:"out"`
	Instances int    `json:"instances"`
	Targets   int    `json:"targets"`
}

// ModelList lists models and adapters.
type ModelList struct {
	Models []ModelRow `json:"models"`
}

// ModelRow is one model or adapter.
type ModelRow struct {
	Name     string `json:"name"`
	Base     string `json:"base,omitempty"`
	MemoryMB int64  `json:"memory_mb"`
	// Targets are the engines on which it is ready.
	Targets []string `json:"targets"`
}

// AccountList lists client accounts.
type AccountList struct {
	Accounts []AccountRow `json:"accounts"`
}

// AccountRow is one client account.
type AccountRow struct {
	Name                string `json:"name"`
	RateTokensPerSecond int64  `json:"rate_tokens_per_second"`
	BurstTokens         int64  `json:"burst_tokens"`
	WhenCutOff          string `json:"when_cut_off"`
	Keys                int    `json:"keys"`
}

// ShareList lists who holds which part of the client accounts.
type ShareList struct {
	Shares []ShareRow `json:"shares"`
}

// ShareRow is an account's share at one process of an instance.
type ShareRow struct {
	Account             string  `json:"account"`
	Zone                string  `json:"zone"`
	Instance            string  `json:"instance"`
	Incarnation         string  `json:"incarnation"`
	State               string  `json:"state"`
	RateTokensPerSecond float64 `json:"rate_tokens_per_second"`
	BurstTokens         float64 `json:"burst_tokens"`
}

// Status describes the asked instance.
type Status struct {
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Environment string `json:"environment"`
	Revision    uint64 `json:"revision"`
	// ConfirmationAgeMS is the time since the revision was last known to be the
	// newest; -1 if never.
	ConfirmationAgeMS int64       `json:"confirmation_age_ms"`
	Members           []MemberRow `json:"members"`
	Targets           int         `json:"targets"`
	TargetsReporting  int         `json:"targets_reporting"`
}

// MemberRow is one instance that is alive.
type MemberRow struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// Problem is an error answer.
type Problem struct {
	Error string `json:"error"`
	// Hint says what to do next.
	Hint string `json:"hint,omitempty"`
}
