package gateway

import (
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/settings"
)

// Settings configure an instance that forwards calls to announced targets.
type Settings struct {
	// Name is unique among all instances.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone   string         `json:"zone"`
	Listen ListenSettings `json:"listen"`
	// Seeds are mesh addresses at which other instances may be found.
	Seeds []string `json:"seeds"`
	// Bootstrap is set if the whole system starts for the first time, so that no earlier
	// instance can still rely on a lease.
	Bootstrap bool `json:"bootstrap"`
	// Store is the address of the platform's store, IP:PORT.
	Store  string        `json:"store"`
	Log    LogSettings   `json:"log"`
	Drain  DrainSettings `json:"drain"`
	Bounds Bounds        `json:"bounds"`
	// Duties configures the calls of the platform that are the duty of one instance.
	Duties DutySettings `json:"duties"`
	// Overload configures which calls are accepted during a shortage of engine time.
	Overload OverloadSettings `json:"overload"`
	Limits   LimitSettings    `json:"limits"`
	Zones    ZonesSettings    `json:"zones"`
	Dispatch DispatchSettings `json:"dispatch"`
	// Placement configures where copies of models and adapters are.
	Placement PlacementSettings `json:"placement"`
}

// PlacementSettings configures where copies of models and adapters are.
type PlacementSettings struct {
	// Forecast places copies by the demand that is expected in two seconds instead of that of the
	// last ones.
	Forecast bool `json:"forecast"`
}

// OverloadSettings configures which calls are accepted during a shortage of engine time.
type OverloadSettings struct {
	Enabled bool `json:"enabled"`
	// RankWeights are the weights of ranks 0, 1 and so on. The last one is that of all
	// further ranks. If empty, overload.DefaultRankWeights apply.
	RankWeights []float64 `json:"rank_weights"`
}

// Names of duties in DutySettings.Calls. Others are ignored.
const (
	dutyUsageReport = "usage_report"
	dutyAutoscale   = "autoscale"
)

// DutySettings configures the calls of the platform that are the duty of one instance at a
// time.
type DutySettings struct {
	// Address accepts the calls, IP:PORT. If empty, there is no duty and nothing is counted.
	Address string `json:"address"`
	// Calls lists the calls that exist: "usage_report" and "autoscale".
	Calls []string `json:"calls"`
	// CallsPerSecond is what the platform accepts from all instances together.
	CallsPerSecond float64 `json:"calls_per_second"`
	// ReportWindowSeconds is the length of the window of a usage report. The report is due
	// ReportDueSeconds after the end of its window.
	ReportWindowSeconds float64 `json:"report_window_seconds"`
	ReportDueSeconds    float64 `json:"report_due_seconds"`
}

// has reports whether a call exists.
func (d DutySettings) has(call string) bool { return d.Address != "" && slices.Contains(d.Calls, call) }

// ListenSettings holds addresses, each IP:PORT.
type ListenSettings struct {
	Callers string `json:"callers"`
	// Ready answers the readiness checks of the balancer.
	Ready string `json:"ready"`
	Mesh  string `json:"mesh"`
	// MeshAdvertised is the mesh address that peers dial if it differs from Mesh, as
	// behind network address translation.
	MeshAdvertised string `json:"mesh_advertised"`
	// Metrics serves the metrics of the instance. If empty, they are not served.
	Metrics string `json:"metrics"`
}

// advertisedMesh returns the mesh address that peers dial.
func (l ListenSettings) advertisedMesh() string {
	if l.MeshAdvertised != "" {
		return l.MeshAdvertised
	}
	return l.Mesh
}

// LogSettings configures the log.
type LogSettings struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
	// LinesPerSecond bounds the lines written. Further lines are dropped and counted.
	LinesPerSecond int `json:"lines_per_second"`
}

// DrainSettings configures the planned stop.
type DrainSettings struct {
	// GraceSeconds is the time between the stop signal and the kill.
	GraceSeconds float64 `json:"grace_seconds"`
}

// Bounds are limits that all instances keep together.
type Bounds struct {
	RetryRatio         float64 `json:"retry_ratio"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// RetrySlack is the number of retries in a window beyond the ratio.
	RetrySlack float64 `json:"retry_slack"`
	// ColdOvershoot and ColdSlack raise the limit on the call rate of a cold target.
	ColdOvershoot float64 `json:"cold_overshoot"`
	ColdSlack     float64 `json:"cold_slack"`
	// QuotaOvershoot and QuotaSlack raise the limit on what an account may use in a
	// window of QuotaWindowSeconds. QuotaSlack is in units of the account.
	QuotaWindowSeconds float64 `json:"quota_window_seconds"`
	QuotaOvershoot     float64 `json:"quota_overshoot"`
	QuotaSlack         float64 `json:"quota_slack"`
	// TargetRateOvershoot and TargetRateSlack raise the limit on what a target gets in a
	// window of TargetRateWindowSeconds that names a request rate. TargetRateSlack is in
	// requests.
	TargetRateWindowSeconds float64 `json:"target_rate_window_seconds"`
	TargetRateOvershoot     float64 `json:"target_rate_overshoot"`
	TargetRateSlack         float64 `json:"target_rate_slack"`
	// OrderGapMS is the minimum time between orders of two instances to one target, in
	// milliseconds.
	OrderGapMS float64 `json:"order_gap_ms"`
}

// ZonesSettings configures calls to targets of other zones.
type ZonesSettings struct {
	// Spill lets calls leave a zone only if it is short and another one grants it room, or if
	// the zone has no target for them. If it is not set, a call to another zone costs a
	// constant of 8 ms.
	Spill bool `json:"spill"`
	// ByteCostMSPerKB is the price of 1,024 bytes between zones, in milliseconds of time to
	// the first answer. 0 means that they are free.
	ByteCostMSPerKB float64 `json:"byte_cost_ms_per_kb"`
}

// DispatchSettings configures the choice among the targets of a call.
type DispatchSettings struct {
	// Spread distributes calls over the targets by what all instances are expected to send
	// before they hear of each other's sends. If it is not set, a call goes to the target with
	// the lowest score. It has no effect with Zones.Spill.
	Spread bool `json:"spread"`
}

// DefaultSettings returns the defaults of settings that a file may omit.
func DefaultSettings() Settings {
	return Settings{
		Log:   LogSettings{Level: "info", LinesPerSecond: 400},
		Drain: DrainSettings{GraceSeconds: 8},
		Bounds: Bounds{
			RetryRatio: 0.1, RetryWindowSeconds: 10,
			ColdOvershoot: 1, ColdSlack: 0, OrderGapMS: 3000,
			TargetRateWindowSeconds: 4, TargetRateOvershoot: 1.5, TargetRateSlack: 5,
		},
		Duties: DutySettings{CallsPerSecond: 5, ReportWindowSeconds: 5, ReportDueSeconds: 10},
	}
}

// LoadSettings reads and validates a settings file. Its errors wrap
// settings.ErrInvalid.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Wrap(settings.ErrInvalid, merry.AppendMessagef("%s: %v", path, err))
	}
	return ParseSettings(path, data)
}

// ParseSettings decodes and validates settings. The path is used in errors only.
func ParseSettings(path string, data []byte) (Settings, error) {
	s := DefaultSettings()
	if err := settings.Decode(path, data, &s); err != nil {
		return Settings{}, err
	}
	for _, p := range s.problems() {
		return Settings{}, merry.Wrap(settings.ErrInvalid, merry.AppendMessagef("%s: %s", path, p))
	}
	return s, nil
}

func (s Settings) problems() []string {
	var out []string
	check := func(ok bool, problem string) {
		if !ok {
			out = append(out, problem)
		}
	}
	check(s.Name != "", "name: must not be empty")
	check(s.Zone != "", "zone: must not be empty")
	check(settings.IsAddress(s.Listen.Callers), "listen.callers: must be IP:PORT")
	check(settings.IsAddress(s.Listen.Ready), "listen.ready: must be IP:PORT")
	check(settings.IsAddress(s.Listen.Mesh), "listen.mesh: must be IP:PORT")
	check(s.Listen.MeshAdvertised == "" || settings.IsAddress(s.Listen.MeshAdvertised), "listen.mesh_advertised: must be IP:PORT")
	check(s.Listen.Metrics == "" || settings.IsAddress(s.Listen.Metrics), "listen.metrics: must be IP:PORT")
	check(settings.IsAddress(s.Store), "store: must be IP:PORT")
	check(s.Zones.ByteCostMSPerKB >= 0, "zones.byte_cost_ms_per_kb: must not be negative")
	check(s.Log.LinesPerSecond > 0, "log.lines_per_second: must be above 0")
	check(s.Drain.GraceSeconds > 0, "drain.grace_seconds: must be above 0")
	check(s.Bounds.RetryRatio >= 0, "bounds.retry_ratio: must not be negative")
	check(s.Bounds.RetryWindowSeconds > 0, "bounds.retry_window_seconds: must be above 0")
	check(s.Bounds.RetrySlack >= 0, "bounds.retry_slack: must not be negative")
	check(s.Bounds.ColdOvershoot >= 0, "bounds.cold_overshoot: must not be negative")
	check(s.Bounds.ColdSlack >= 0, "bounds.cold_slack: must not be negative")
	check(s.Bounds.QuotaWindowSeconds >= 0, "bounds.quota_window_seconds: must not be negative")
	check(s.Bounds.QuotaOvershoot >= 0, "bounds.quota_overshoot: must not be negative")
	check(s.Bounds.QuotaSlack >= 0, "bounds.quota_slack: must not be negative")
	check(s.Bounds.TargetRateWindowSeconds > 0, "bounds.target_rate_window_seconds: must be above 0")
	check(s.Bounds.TargetRateOvershoot >= 1, "bounds.target_rate_overshoot: must be at least 1")
	check(s.Bounds.TargetRateSlack >= 0, "bounds.target_rate_slack: must not be negative")
	s.Limits.problems(check)
	check(s.Bounds.OrderGapMS >= 0, "bounds.order_gap_ms: must not be negative")
	check(s.Duties.Address == "" || settings.IsAddress(s.Duties.Address), "duties.address: must be IP:PORT")
	check(s.Duties.CallsPerSecond > 0, "duties.calls_per_second: must be above 0")
	check(s.Duties.ReportWindowSeconds >= 0.001, "duties.report_window_seconds: must be at least 0.001")
	check(s.Duties.ReportDueSeconds > 0, "duties.report_due_seconds: must be above 0")
	check(!slices.ContainsFunc(s.Overload.RankWeights, func(w float64) bool { return w <= 0 }), "overload.rank_weights: must be above 0")
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
