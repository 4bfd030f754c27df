// Package enginestandin is a small stand-in of a model engine for tests and the
// quickstart: continuous batching with a slot and token-speed model,
// accelerator memory, cold start, a prefix cache, resumable streams and an
// order protocol with faults. It is no part of the product.
package enginestandin

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Config describes an engine. Zero values take the defaults of DefaultConfig.
type Config struct {
	Name     string `json:"name"`
	MemoryMB int64  `json:"memory_mb"`
	// Slots is the number of calls that run at once; more calls queue.
	Slots int `json:"slots"`
	// QueueLimit is the number of waiting calls above which calls are rejected.
	QueueLimit int `json:"queue_limit"`
	// TokenIntervalMS is the time between tokens of a call that runs alone.
	TokenIntervalMS float64 `json:"token_interval_ms"`
	// BatchSlowdown is added to the factor of the token interval for each
	// further running call.
	BatchSlowdown float64 `json:"batch_slowdown"`
	// PrefillTokensPerSecond is the speed of reading uncached prompt tokens.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// CachedBlocks is the capacity of the prefix cache.
	CachedBlocks int `json:"cached_blocks"`
	// ColdConcurrency is the number of calls that a cold engine bears.
	ColdConcurrency int `json:"cold_concurrency"`
	// ColdCompletions is the number of completed calls after which a cold engine
	// is warm.
	ColdCompletions int `json:"cold_completions"`
	// StartCold makes the engine start cold.
	StartCold bool `json:"start_cold"`
	// FallOverMS is how long an engine refuses calls after it fell over.
	FallOverMS int `json:"fall_over_ms"`
	LoadMS     int `json:"load_ms"`
	UnloadMS   int `json:"unload_ms"`
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// ReportLagMS is the age of the state that reports show.
	ReportLagMS int `json:"report_lag_ms"`
	// Residents are in memory from the start.
	Residents []target.Resident `json:"residents"`
}

// DefaultConfig returns a healthy, warm engine with 80 GB of memory.
func DefaultConfig(name string) Config {
	return Config{
		Name:                   name,
		MemoryMB:               80_000,
		Slots:                  32,
		QueueLimit:             64,
		TokenIntervalMS:        10,
		BatchSlowdown:          0.05,
		PrefillTokensPerSecond: 20_000,
		CachedBlocks:           4096,
		ColdConcurrency:        2,
		ColdCompletions:        8,
		FallOverMS:             2000,
		LoadMS:                 1000,
		UnloadMS:               100,
		ChecksFencing:          true,
	}
}

// Faults are the failures that an engine shows. Counts go down as they are
// used up.
type Faults struct {
	// Down makes every call and report fail before anything is sent.
	Down bool `json:"down"`
	// OrderDelayMS delays the effect of every order.
	OrderDelayMS int `json:"order_delay_ms"`
	// LoseOrders is the number of coming orders without effect or answer.
	LoseOrders int `json:"lose_orders"`
	// LoseOrderAnswers is the number of coming orders that take effect but whose
	// answers are lost.
	LoseOrderAnswers int `json:"lose_order_answers"`
	// DoubleOrders is the number of coming orders that take effect twice, the
	// second time after DoubleDelayMS.
	DoubleOrders  int `json:"double_orders"`
	DoubleDelayMS int `json:"double_delay_ms"`
	// CutStreams is the number of coming calls whose answers are cut after
	// CutAfter chunks.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// CrossAnswers is the number of coming calls whose answers name another
	// call.
	CrossAnswers int `json:"cross_answers"`
	// LateFirstMS delays the first token of every call.
	LateFirstMS int `json:"late_first_ms"`
	// FreezeReports makes reports repeat the state of the moment it was set.
	FreezeReports bool `json:"freeze_reports"`
	// DropCacheEvents leaves out this share, 0 to 1, of cache events.
	DropCacheEvents float64 `json:"drop_cache_events"`
	// ForgetStreams makes resumption of earlier streams fail.
	ForgetStreams bool `json:"forget_streams"`
}

// Witness is what an engine really saw, for checks by tests.
type Witness struct {
	Name               string         `json:"name"`
	MemoryMB           int64          `json:"memory_mb"`
	PeakMemoryMB       int64          `json:"peak_memory_mb"`
	Overcommits        int            `json:"overcommits"`
	PeakConcurrency    int            `json:"peak_concurrency"`
	PeakColdConcurrent int            `json:"peak_cold_concurrency"`
	FallOvers          int            `json:"fall_overs"`
	Calls              int            `json:"calls"`
	Completed          int            `json:"completed"`
	Cancelled          int            `json:"cancelled"`
	Rejected           int            `json:"rejected"`
	GeneratedTokens    int64          `json:"generated_tokens"`
	PromptTokens       int64          `json:"prompt_tokens"`
	CachedPromptTokens int64          `json:"cached_prompt_tokens"`
	Orders             []target.Order `json:"orders"`
	FencedOrders       int            `json:"fenced_orders"`
	Loads              int            `json:"loads"`
	Unloads            int            `json:"unloads"`
	// Runs counts the runs of each call by its identifier.
	Runs map[string]int `json:"runs"`
	// CredentialsSeen counts calls that carried a caller's credentials.
	CredentialsSeen int `json:"credentials_seen"`
}

// settledKept is the number of settled orders that a report lists.
const settledKept = 64

// Engine is one engine. It is safe for concurrent use.
type Engine struct {
	cfg   Config
	clock clockwork.Clock

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	witness     Witness
	residents   map[residentKey]*target.Resident
	memoryMB    int64
	running     int
	runningBy   map[string]int
	waiting     waitQueue
	cold        bool
	coldLeft    int
	downUntil   time.Time
	generation  int
	token       uint64
	role        string
	settled     []string
	sequence    uint64
	reports     []datedReport
	frozen      *target.Report
	plans       map[string]*plan
	cache       *prefixCache
	events      []target.CacheEvent
	incarnation string
	interrupted chan struct{}
}

type residentKey struct{ model, adapter string }

type datedReport struct {
	at     time.Time
	report target.Report
}

// New returns a running engine whose random faults follow seed.
func New(cfg Config, clock clockwork.Clock, seed uint64) *Engine {
	e := &Engine{
		cfg:         cfg,
		clock:       clock,
		random:      rand.New(rand.NewPCG(seed, seed)),
		residents:   make(map[residentKey]*target.Resident),
		runningBy:   make(map[string]int),
		plans:       make(map[string]*plan),
		cache:       newPrefixCache(cfg.CachedBlocks),
		interrupted: make(chan struct{}),
		cold:        cfg.StartCold,
		coldLeft:    cfg.ColdCompletions,
	}
	e.witness.Runs = make(map[string]int)
	e.incarnation = cfg.Name + "-0"
	for _, r := range cfg.Residents {
		r.State = target.ResidencyReady
		e.residents[residentKey{r.Model, r.Adapter}] = &r
		e.memoryMB += r.MemoryMB
	}
	e.noteMemory()
	e.record()
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = nil
	if f.FreezeReports {
		report := e.currentReport()
		e.frozen = &report
	}
	e.faults = f
}

// TurnCold makes a warm engine cold, which its reports do not say until the
// next one.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.coldLeft = e.cfg.ColdCompletions
	e.record()
}

// Restart cuts all running calls and starts the engine anew, cold, with its
// residents kept.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// Witness returns what the engine saw so far.
func (e *Engine) Witness() Witness {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.witness
	w.Name, w.MemoryMB = e.cfg.Name, e.cfg.MemoryMB
	w.Orders = append([]target.Order(nil), w.Orders...)
	w.Runs = make(map[string]int, len(e.witness.Runs))
	for id, n := range e.witness.Runs {
		w.Runs[id] = n
	}
	return w
}

// NoteCredentials records that a call carried a caller's credentials.
func (e *Engine) NoteCredentials() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witness.CredentialsSeen++
}

// Report implements target.Reporter for this engine.
func (e *Engine) Report(context.Context) (target.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return target.Report{}, merry.Wrap(target.ErrNotSent)
	}
	if e.frozen != nil {
		return *e.frozen, nil
	}
	e.record()
	limit := e.clock.Now().Add(-time.Duration(e.cfg.ReportLagMS) * time.Millisecond)
	shown := e.reports[0]
	for _, r := range e.reports {
		if r.at.After(limit) {
			break
		}
		shown = r
	}
	return shown.report, nil
}

// CacheEvents implements target.Reporter for this engine.
func (e *Engine) CacheEvents(_ context.Context, after uint64) ([]target.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return nil, merry.Wrap(target.ErrNotSent)
	}
	var out []target.CacheEvent
	for _, event := range e.events {
		if event.Sequence > after {
			out = append(out, event)
		}
	}
	return out, nil
}

// restart requires e.mu.
func (e *Engine) restart() {
	e.generation++
	e.incarnation = e.cfg.Name + "-" + strconv.Itoa(e.generation)
	close(e.interrupted)
	e.interrupted = make(chan struct{})
	e.running = 0
	e.runningBy = make(map[string]int)
	e.waiting.streams = nil
	e.cold = true
	e.coldLeft = e.cfg.ColdCompletions
	e.plans = make(map[string]*plan)
	e.cache = newPrefixCache(e.cfg.CachedBlocks)
	e.record()
}

// fallOver requires e.mu.
func (e *Engine) fallOver() {
	e.witness.FallOvers++
	e.downUntil = e.clock.Now().Add(time.Duration(e.cfg.FallOverMS) * time.Millisecond)
	e.restart()
}

func (e *Engine) isDown() bool {
	return e.faults.Down || e.clock.Now().Before(e.downUntil)
}

// currentReport requires e.mu.
func (e *Engine) currentReport() target.Report {
	e.sequence++
	report := target.Report{
		Incarnation:   e.incarnation,
		Sequence:      e.sequence,
		AsOf:          e.clock.Now().UnixMilli(),
		Cold:          e.cold,
		Running:       e.running,
		Queued:        e.waiting.Len(),
		MemoryMB:      e.memoryMB,
		Role:          e.role,
		SettledOrders: append([]string(nil), e.settled...),
	}
	if e.cfg.ChecksFencing {
		report.FencingToken = e.token
	}
	for _, r := range e.residents {
		report.Residents = append(report.Residents, *r)
	}
	return report
}

// record keeps the current state for reports that lag. It requires e.mu.
func (e *Engine) record() {
	now := e.clock.Now()
	e.reports = append(e.reports, datedReport{at: now, report: e.currentReport()})
	limit := now.Add(-time.Duration(e.cfg.ReportLagMS) * time.Millisecond)
	first := 0
	for first+1 < len(e.reports) && !e.reports[first+1].at.After(limit) {
		first++
	}
	e.reports = e.reports[first:]
}

func (e *Engine) noteMemory() {
	e.witness.PeakMemoryMB = max(e.witness.PeakMemoryMB, e.memoryMB)
}
