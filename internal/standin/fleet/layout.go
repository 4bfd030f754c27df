// Package fleet lays out a local fleet on loopback addresses: instances in
// several availability zones with stand-ins of the platform, the engines and
// the plain services. It is used by the fleet script, process tests and
// measurements, and is no part of the product.
package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/pki"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// ErrLayout means that a layout could not be written.
var ErrLayout = merry.Sentinel("fleet: layout not written")

// Ports of the processes. Each process has a loopback address of its own.
const (
	platformPort  = 7000
	callersPort   = 8080
	operatorsPort = 8081
	meshPort      = 8082
	targetPort    = 9000
)

// OperatorToken is the token of the operator "tester" in every layout.
const OperatorToken = "fleet-operator"

// Params describe a fleet.
type Params struct {
	// Network is the second byte of all addresses, 127.Network.x.y.
	Network   int
	Instances int
	Zones     int
	Engines   int
	// Services is the number of targets of the service "desk".
	Services int
	Accounts []environment.Account
	Models   []environment.Model
	Adapters []environment.Adapter
	// Engine is the configuration of every engine; names, residents and memory
	// are filled in.
	Engine      enginestandin.Config
	WeightStore environment.WeightStore
	// LogLevel of the instances.
	LogLevel string
	// ReadinessSeconds is the drain setting of the instances.
	ReadinessSeconds float64
	// Policies of the instances; empty ones are the default.
	Policies settings.Policies
}

// Small returns the fleet of the fleet script: 7 instances in three zones, three
// engines, two models with an adapter each and one service.
func Small(network int) Params {
	return Params{
		Network:   network,
		Instances: 7,
		Zones:     3,
		Engines:   3,
		Services:  2,
		Accounts: []environment.Account{
			{Name: "celula", RateTokensPerSecond: 20_000, BurstTokens: 200_000},
			{Name: "ingrassa", RateTokensPerSecond: 20_000, BurstTokens: 200_000},
		},
		Models: []environment.Model{
			{Name: "reader", MemoryMB: 30_000, ContextTokens: 32_768, DefaultMaxTokens: 256},
			{Name: "planner", MemoryMB: 30_000, ContextTokens: 32_768, DefaultMaxTokens: 256},
		},
		Adapters: []environment.Adapter{
			{Name: "reader-packs", Model: "reader", MemoryMB: 500},
			{Name: "planner-gates", Model: "planner", MemoryMB: 500},
		},
		Engine:           enginestandin.DefaultConfig(""),
		WeightStore:      environment.WeightStore{LoadsPerSecond: 1.4, LoadsAtOnce: 6, AdapterLoadsAtOnce: 50},
		LogLevel:         "info",
		ReadinessSeconds: 0.2,
	}
}

// Models returns n small models.
func Models(n int) []environment.Model {
	out := make([]environment.Model, 0, n)
	for i := range n {
		out = append(out, environment.Model{
			Name:             fmt.Sprintf("model-%04d", i),
			MemoryMB:         100,
			ContextTokens:    contextTokens,
			DefaultMaxTokens: defaultTokens,
		})
	}
	return out
}

// Instance is one instance of a layout.
type Instance struct {
	Settings settings.Settings
	File     string
}

// Engine is one engine of a layout.
type Engine struct {
	Config  enginestandin.Config
	Address string
	File    string
}

// Service is one target of a plain service.
type Service struct {
	Name    string
	Address string
}

// Layout is a fleet ready to be started.
type Layout struct {
	Dir             string
	PlatformAddress string
	Instances       []Instance
	Engines         []Engine
	Services        []Service
	Document        environment.Document
	DocumentFile    string
	// Records are the instances for the platform's list.
	Records []platform.InstanceRecord
}

// New lays out a fleet below the folder dir without writing anything.
func New(dir string, p Params) *Layout {
	l := &Layout{
		Dir:             dir,
		PlatformAddress: address(p.Network, 0, 1, platformPort),
		DocumentFile:    filepath.Join(dir, "environment.json"),
	}
	for i := range p.Instances {
		l.addInstance(p, i)
	}
	for i := range p.Engines {
		l.addEngine(p, i)
	}
	for i := range p.Services {
		l.Services = append(l.Services, Service{Name: fmt.Sprintf("desk-%d", i+1), Address: address(p.Network, 3, i+1, targetPort)})
	}
	l.Document = l.document(p)
	l.preload(p)
	return l
}

func address(network, group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", network, group, host, port)
}

func zoneName(p Params, i int) string { return "zone-" + string(rune('a'+i%p.Zones)) }

func (l *Layout) addInstance(p Params, i int) {
	name := fmt.Sprintf("instance-%d", i+1)
	s := settings.Default()
	s.Name, s.Zone = name, zoneName(p, i)
	s.Listen = settings.Listen{
		Callers:   address(p.Network, 1, i+1, callersPort),
		Operators: address(p.Network, 1, i+1, operatorsPort),
		Mesh:      address(p.Network, 1, i+1, meshPort),
	}
	s.Platform.URL = "http://" + l.PlatformAddress
	s.TLS = settings.TLS{
		CAFile:          filepath.Join(l.Dir, "ca.pem"),
		CertificateFile: filepath.Join(l.Dir, name+".pem"),
		KeyFile:         filepath.Join(l.Dir, name+".key"),
	}
	s.Operators.Credentials = []settings.Credential{{Operator: "tester", Role: "write", TokenSHA256: keys.HashToken(OperatorToken)}}
	s.Log.Level = p.LogLevel
	s.Drain.ReadinessSeconds = p.ReadinessSeconds
	s.Policies = settings.Policies{
		Routing:   cmp.Or(p.Policies.Routing, s.Policies.Routing),
		Placement: cmp.Or(p.Policies.Placement, s.Policies.Placement),
		Queue:     cmp.Or(p.Policies.Queue, s.Policies.Queue),
	}
	l.Instances = append(l.Instances, Instance{Settings: s, File: filepath.Join(l.Dir, name+".json")})
	l.Records = append(l.Records, platform.InstanceRecord{Name: name, Zone: s.Zone, MeshAddress: s.Listen.Mesh, State: platform.InstanceLive})
}

func (l *Layout) addEngine(p Params, i int) {
	cfg := p.Engine
	cfg.Name = fmt.Sprintf("engine-%d", i+1)
	l.Engines = append(l.Engines, Engine{
		Config:  cfg,
		Address: address(p.Network, 2, i+1, targetPort),
		File:    filepath.Join(l.Dir, cfg.Name+".json"),
	})
}

func (l *Layout) document(p Params) environment.Document {
	d := environment.Document{
		Accounts:    p.Accounts,
		Models:      p.Models,
		Adapters:    p.Adapters,
		WeightStore: p.WeightStore,
		Services: []environment.Service{{
			Name:  "desk",
			Calls: []environment.ServiceCall{{Method: "GET", PathPrefix: "/", Idempotent: true}},
		}},
	}
	for i := range p.Zones {
		d.Zones = append(d.Zones, environment.Zone{Name: zoneName(p, i)})
	}
	for i, e := range l.Engines {
		d.Targets = append(d.Targets, environment.Target{
			Name:            e.Config.Name,
			Kind:            environment.TargetEngine,
			Address:         e.Address,
			Zone:            zoneName(p, i),
			MemoryMB:        e.Config.MemoryMB,
			Concurrency:     e.Config.Slots,
			ColdConcurrency: e.Config.ColdConcurrency,
			ChecksFencing:   e.Config.ChecksFencing,
			MaxOrderDelayMS: 5000,
		})
	}
	for i, s := range l.Services {
		d.Targets = append(d.Targets, environment.Target{
			Name: s.Name, Kind: environment.TargetService, Address: s.Address,
			Zone: zoneName(p, i), Service: "desk", Concurrency: 64,
		})
	}
	return d
}

// preload spreads one copy of each model and adapter over the engines.
func (l *Layout) preload(p Params) {
	free := make([]int64, len(l.Engines))
	for i := range free {
		free[i] = p.Engine.MemoryMB
	}
	home := make(map[string]int)
	for i, m := range p.Models {
		for n := range l.Engines {
			at := (i + n) % len(l.Engines)
			if free[at] < m.MemoryMB {
				continue
			}
			free[at] -= m.MemoryMB
			home[m.Name] = at
			l.addResident(at, target.Resident{Model: m.Name, MemoryMB: m.MemoryMB})
			break
		}
	}
	for _, a := range p.Adapters {
		at, ok := home[a.Model]
		if ok && free[at] >= a.MemoryMB {
			free[at] -= a.MemoryMB
			l.addResident(at, target.Resident{Model: a.Model, Adapter: a.Name, MemoryMB: a.MemoryMB})
		}
	}
}

func (l *Layout) addResident(engine int, r target.Resident) {
	r.State = target.ResidencyReady
	l.Engines[engine].Config.Residents = append(l.Engines[engine].Config.Residents, r)
}

// Write writes certificates, settings, engine configurations, the document and
// the list of instances into the layout's folder.
func (l *Layout) Write() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return merry.Wrap(ErrLayout, merry.WithCause(err))
	}
	if err := l.writeCertificates(time.Now()); err != nil {
		return err
	}
	for _, i := range l.Instances {
		if err := writeJSON(i.File, i.Settings); err != nil {
			return err
		}
	}
	for _, e := range l.Engines {
		if err := writeJSON(e.File, e.Config); err != nil {
			return err
		}
	}
	if err := writeJSON(filepath.Join(l.Dir, "instances.json"), l.Records); err != nil {
		return err
	}
	return writeJSON(l.DocumentFile, l.Document)
}

func (l *Layout) writeCertificates(now time.Time) error {
	authority, err := pki.NewAuthority(now)
	if err != nil {
		return err
	}
	if err := write(filepath.Join(l.Dir, "ca.pem"), authority.CertificatePEM()); err != nil {
		return err
	}
	for _, i := range l.Instances {
		pair, err := authority.Issue(i.Settings.Name, i.Settings.Zone, now)
		if err != nil {
			return err
		}
		if err := write(i.Settings.TLS.CertificateFile, pair.Certificate); err != nil {
			return err
		}
		if err := write(i.Settings.TLS.KeyFile, pair.Key); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return merry.Wrap(ErrLayout, merry.WithCause(err))
	}
	return write(path, append(data, '\n'))
}

func write(path string, data []byte) error {
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return merry.Wrap(ErrLayout, merry.WithCause(err))
	}
	return nil
}

// Command is the command line of one process of a fleet.
type Command struct {
	// Program is the base name of the binary.
	Program string
	Name    string
	Args    []string
}

// Commands returns the command lines of all processes in the order in which
// they are to be started.
func (l *Layout) Commands() []Command {
	standIn := "dotterellink-standin"
	out := []Command{{standIn, "platform", []string{"platform", "--listen", l.PlatformAddress, "--instances", filepath.Join(l.Dir, "instances.json")}}}
	for _, e := range l.Engines {
		out = append(out, Command{standIn, e.Config.Name, []string{"engine", "--name", e.Config.Name, "--listen", e.Address, "--config", e.File}})
	}
	for _, s := range l.Services {
		out = append(out, Command{standIn, s.Name, []string{"service", "--name", s.Name, "--listen", s.Address}})
	}
	for _, i := range l.Instances {
		out = append(out, Command{"dotterellinkd", i.Settings.Name, []string{"--settings", i.File}})
	}
	return out
}
