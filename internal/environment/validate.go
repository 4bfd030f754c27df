package environment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// ErrInvalidDocument means that a document is not valid. Its message lists every
// problem found.
var ErrInvalidDocument = merry.Sentinel("environment: invalid document")

// ParseDocument parses a document in JSON with comments and validates it.
func ParseDocument(data []byte) (*Document, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, merry.Wrap(ErrInvalidDocument, merry.WithCause(err))
	}
	if err := checkSchema(standard); err != nil {
		return nil, err
	}
	var d Document
	if err := json.Unmarshal(standard, &d); err != nil {
		return nil, merry.Wrap(ErrInvalidDocument, merry.AppendMessage(err.Error()))
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Validate checks that names are unique, references resolve, values are in range
// and one copy of every model fits in the engines' memory.
func (d *Document) Validate() error {
	c := &checker{doc: d}
	c.checkZones()
	c.checkAccounts()
	c.checkModels()
	c.checkTargets()
	c.checkServices()
	c.checkPlacement()
	if len(c.problems) == 0 {
		return nil
	}
	return merry.Wrap(ErrInvalidDocument, merry.AppendMessage(strings.Join(c.problems, "; ")))
}

type checker struct {
	doc      *Document
	problems []string
	zones    map[string]bool
	accounts map[string]bool
	models   map[string]*Model
}

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkZones() {
	c.zones = make(map[string]bool)
	c.require(len(c.doc.Zones) > 0, "zones: at least one is needed")
	for i, z := range c.doc.Zones {
		c.require(z.Name != "", "zones[%d].name: must not be empty", i)
		c.require(!c.zones[z.Name], "zones[%d].name: %q stands twice", i, z.Name)
		c.zones[z.Name] = true
	}
}

func (c *checker) checkAccounts() {
	c.accounts = make(map[string]bool)
	for i, a := range c.doc.Accounts {
		c.require(a.Name != "", "accounts[%d].name: must not be empty", i)
		c.require(!c.accounts[a.Name], "accounts[%d].name: %q stands twice", i, a.Name)
		c.require(a.RateTokensPerSecond > 0, "accounts[%d].rate_tokens_per_second: must be positive", i)
		c.require(a.BurstTokens > 0, "accounts[%d].burst_tokens: must be positive", i)
		policy := a.WhenCutOff
		c.require(policy == "" || policy == CutOffRefuse || policy == CutOffServe, "accounts[%d].when_cut_off: must be refuse or serve", i)
		c.accounts[a.Name] = true
	}
	for i, r := range c.doc.OpenRoutes {
		c.require(strings.HasPrefix(r.PathPrefix, "/"), "open_routes[%d].path_prefix: must start with /", i)
		c.require(r.Account == "" || c.accounts[r.Account], "open_routes[%d].account: no account %q", i, r.Account)
	}
}

func (c *checker) checkModels() {
	c.models = make(map[string]*Model)
	names := make(map[string]bool)
	for i := range c.doc.Models {
		m := &c.doc.Models[i]
		c.require(m.Name != "", "models[%d].name: must not be empty", i)
		c.require(!names[m.Name], "models[%d].name: %q stands twice", i, m.Name)
		c.require(m.MemoryMB > 0, "models[%d].memory_mb: must be positive", i)
		c.require(m.ContextTokens > 0, "models[%d].context_tokens: must be positive", i)
		c.require(m.DefaultMaxTokens > 0 && m.DefaultMaxTokens <= m.ContextTokens, "models[%d].default_max_tokens: must be from 1 to context_tokens", i)
		c.require(m.PromptTokensPerByte >= 0, "models[%d].prompt_tokens_per_byte: must not be negative", i)
		c.require(m.MinCopies >= 0, "models[%d].min_copies: must not be negative", i)
		names[m.Name] = true
		c.models[m.Name] = m
	}
	for i, a := range c.doc.Adapters {
		c.require(a.Name != "", "adapters[%d].name: must not be empty", i)
		c.require(!names[a.Name], "adapters[%d].name: %q stands twice", i, a.Name)
		c.require(c.models[a.Model] != nil, "adapters[%d].model: no model %q", i, a.Model)
		c.require(a.MemoryMB > 0, "adapters[%d].memory_mb: must be positive", i)
		names[a.Name] = true
	}
}

func (c *checker) checkTargets() {
	names := make(map[string]bool)
	services := make(map[string]bool)
	for _, s := range c.doc.Services {
		services[s.Name] = true
	}
	for i, t := range c.doc.Targets {
		c.require(t.Name != "", "targets[%d].name: must not be empty", i)
		c.require(!names[t.Name], "targets[%d].name: %q stands twice", i, t.Name)
		names[t.Name] = true
		host, _, err := net.SplitHostPort(t.Address)
		c.require(err == nil && net.ParseIP(host) != nil, "targets[%d].address: must be IP:PORT", i)
		c.require(c.zones[t.Zone], "targets[%d].zone: no zone %q", i, t.Zone)
		c.require(t.Concurrency > 0, "targets[%d].concurrency: must be positive", i)
		c.require(t.MaxOrderDelayMS >= 0, "targets[%d].max_order_delay_ms: must not be negative", i)
		switch t.Kind {
		case TargetEngine:
			c.require(t.MemoryMB > 0, "targets[%d].memory_mb: must be positive", i)
			c.require(t.ColdConcurrency > 0 && t.ColdConcurrency <= t.Concurrency, "targets[%d].cold_concurrency: must be from 1 to concurrency", i)
		case TargetService:
			c.require(services[t.Service], "targets[%d].service: no service %q", i, t.Service)
		default:
			c.require(false, "targets[%d].kind: must be engine or service", i)
		}
	}
}

func (c *checker) checkServices() {
	names := make(map[string]bool)
	for i, s := range c.doc.Services {
		c.require(s.Name != "" && !strings.Contains(s.Name, "/"), "services[%d].name: must be set, without /", i)
		c.require(!names[s.Name], "services[%d].name: %q stands twice", i, s.Name)
		names[s.Name] = true
		for j, call := range s.Calls {
			c.require(strings.HasPrefix(call.PathPrefix, "/"), "services[%d].calls[%d].path_prefix: must start with /", i, j)
			c.require(call.Method != "", "services[%d].calls[%d].method: must be set", i, j)
		}
	}
}

// checkPlacement checks the limits of the weight store and that one copy of every
// model with its largest adapter fits in the engines' memory, packed by first-fit
// decreasing. Without models it checks nothing.
func (c *checker) checkPlacement() {
	if len(c.doc.Models) == 0 {
		return
	}
	w := c.doc.WeightStore
	c.require(w.LoadsPerSecond > 0, "weight_store.loads_per_second: must be positive")
	c.require(w.LoadsAtOnce > 0, "weight_store.loads_at_once: must be positive")
	for _, name := range c.unplaceable() {
		c.require(false, "models: %q fits no engine beside the others", name)
	}
}

func (c *checker) unplaceable() []string {
	var free []int64
	for _, t := range c.doc.Targets {
		if t.Kind == TargetEngine {
			free = append(free, t.MemoryMB)
		}
	}
	var failed []string
	for _, f := range c.footprints() {
		if !placeFirstFit(free, f.memoryMB) {
			failed = append(failed, f.model)
		}
	}
	return failed
}
