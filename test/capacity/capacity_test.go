// Package capacity_test measures the slopes from which docs/CAPACITY.md works
// out the cost of each role at the size to design for.
package capacity_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/pki"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// size is one size of an environment.
type size struct{ zones, models, adapters, targets, accounts int }

// sizes go from today's to the size to design for; adapters keep today's ratio
// to models.
var sizes = []size{
	{3, 20, 75, 12, 5},
	{8, 260, 975, 400, 60},
	{17, 1700, 6375, 2600, 400},
}

func (s size) String() string { return fmt.Sprintf("models=%d/targets=%d", s.models, s.targets) }

func newState(s size) *environment.State {
	state := &environment.State{Revision: 1}
	d := &state.Document
	for i := range s.zones {
		d.Zones = append(d.Zones, environment.Zone{Name: fmt.Sprintf("zone-%02d", i)})
	}
	for i := range s.accounts {
		name := fmt.Sprintf("account-%03d", i)
		d.Accounts = append(d.Accounts, environment.Account{Name: name, RateTokensPerSecond: 1000, BurstTokens: 10_000})
		_, key := keys.New()
		key.Account = name
		state.Keys = append(state.Keys, key)
	}
	for i := range s.models {
		d.Models = append(d.Models, environment.Model{Name: modelName(i), MemoryMB: 30_000, ContextTokens: 32_768, DefaultMaxTokens: 256})
	}
	for i := range s.adapters {
		d.Adapters = append(d.Adapters, environment.Adapter{Name: fmt.Sprintf("adapter-%04d", i), Model: modelName(i % s.models), MemoryMB: 400})
	}
	for i := range s.targets {
		d.Targets = append(d.Targets, environment.Target{
			Name: fmt.Sprintf("engine-%04d", i), Kind: environment.TargetEngine, Address: "10.0.0.1:9000",
			Zone: fmt.Sprintf("zone-%02d", i%s.zones), MemoryMB: 80_000, Concurrency: 32, ColdConcurrency: 2,
		})
	}
	return state
}

func modelName(i int) string { return fmt.Sprintf("model-%04d", i) }

// residents gives each target two models and five adapters.
func newReport(s size, i int) target.Report {
	r := target.Report{Incarnation: "engine-0", Sequence: 1}
	for n := range 2 {
		r.Residents = append(r.Residents, target.Resident{Model: modelName((2*i + n) % s.models), State: target.ResidencyReady, MemoryMB: 30_000})
	}
	for n := range 5 {
		r.Residents = append(r.Residents, target.Resident{Model: modelName(2 * i % s.models), Adapter: fmt.Sprintf("adapter-%04d", (5*i+n)%s.adapters), State: target.ResidencyReady, MemoryMB: 400})
	}
	return r
}

// heapOf returns the bytes that make keeps alive.
func heapOf(make func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

func BenchmarkEnvironment(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			state := newState(s)
			data, err := json.Marshal(state)
			if err != nil {
				b.Fatal(err)
			}
			packed, err := msgpack.Marshal(state)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				environment.NewView(state, time.Time{})
			}
			b.ReportMetric(float64(len(data)), "json-bytes")
			b.ReportMetric(float64(len(packed)), "msgpack-bytes")
			b.ReportMetric(float64(heapOf(func() any { return environment.NewView(newState(s), time.Time{}) })), "heap-bytes")
		})
	}
}

func BenchmarkInventorySnapshot(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			view := environment.NewView(newState(s), time.Time{})
			build := func() any {
				states := make([]*inventory.TargetState, 0, s.targets)
				for i := range view.State.Document.Targets {
					states = append(states, &inventory.TargetState{Target: &view.State.Document.Targets[i], Report: newReport(s, i)})
				}
				return inventory.NewSnapshot(view, states)
			}
			snapshot := build().(*inventory.Snapshot)
			for b.Loop() {
				inventory.NewSnapshot(view, snapshot.Targets)
			}
			packed, err := msgpack.Marshal(newReport(s, 0))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(packed)), "report-bytes")
			b.ReportMetric(float64(heapOf(build)), "heap-bytes")
		})
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	state := newState(sizes[2])
	key, record := keys.New()
	record.Account = "account-000"
	state.Keys = append(state.Keys, record)
	view := environment.NewView(state, time.Time{})
	for b.Loop() {
		if _, err := keys.Authenticate(view, "Bearer "+key); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPrefixHashes(b *testing.B) {
	prompt := make([]byte, 4096)
	for b.Loop() {
		target.PrefixHashes(prompt)
	}
}

// BenchmarkMeshCall measures a call of 200 bytes and its answer between two
// nodes over TLS on loopback, both sides together.
func BenchmarkMeshCall(b *testing.B) {
	authority, err := pki.NewAuthority(time.Now())
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	a, _ := startNode(b, ctx, authority, "a")
	server, address := startNode(b, ctx, authority, "b")
	server.Handle("echo", func(_ context.Context, _ mesh.Peer, body []byte) ([]byte, error) { return body, nil })
	for len(a.Peers()) == 0 {
		a.SetPeers([]mesh.PeerAddress{{Peer: mesh.Peer{Name: "b", Zone: "z"}, Address: address}})
		time.Sleep(10 * time.Millisecond)
	}
	body := make([]byte, 200)
	for b.Loop() {
		if _, err := a.Call(ctx, "b", "echo", body); err != nil {
			b.Fatal(err)
		}
	}
}

func startNode(b *testing.B, ctx context.Context, authority *pki.Authority, name string) (*mesh.Node, string) {
	config, err := nodeConfig(authority, name)
	if err != nil {
		b.Fatal(err)
	}
	node := mesh.NewNode(mesh.Peer{Name: name, Zone: "z"}, config, telemetry.Discard())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = node.Run(ctx, listener) }()
	return node, listener.Addr().String()
}

func nodeConfig(authority *pki.Authority, name string) (*tls.Config, error) {
	pair, err := authority.Issue(name, "z", time.Now())
	if err != nil {
		return nil, err
	}
	return pki.Config(authority.CertificatePEM(), pair)
}
