// Package quickstart serves one instance with embedded stand-ins in one
// process, for a first look.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/instance"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/pki"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// ErrStart means that the quickstart could not be set up.
var ErrStart = merry.Sentinel("quickstart: not started")

const (
	zone          = "zone-a"
	account       = "demo"
	modelName     = "demo-model"
	modelMemoryMB = 16_000
	operatorToken = "quickstart"
	randomPort    = "127.0.0.1:0"
)

// Run serves callers on the address listen until ctx ends, and writes a
// ready-made call to out.
func Run(ctx context.Context, listen string, out io.Writer, logger *log.Logger) error {
	q := &quickstart{clock: clockwork.NewRealClock(), log: logger}
	defer q.close()
	document, err := q.startStandIns()
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	i, err := q.newInstance(listen)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	key, err := declare(ctx, i.Store(), document)
	if err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err))
	}
	printCall(out, i.CallersAddress(), i.OperatorsAddress(), key)
	return i.Run(ctx)
}

type quickstart struct {
	clock     clockwork.Clock
	log       *log.Logger
	platform  *platformstandin.Store
	listeners []net.Listener
}

func (q *quickstart) close() {
	for _, l := range q.listeners {
		l.Close()
	}
}

// startStandIns serves an engine and a plain service on free ports and returns
// the document that names them.
func (q *quickstart) startStandIns() (*environment.Document, error) {
	q.platform = platformstandin.NewStore(q.clock, 1)
	cfg := enginestandin.DefaultConfig("engine-1")
	cfg.Residents = []target.Resident{{Model: modelName, MemoryMB: modelMemoryMB}}
	engine, err := q.serve(enginestandin.NewHandler(enginestandin.New(cfg, q.clock, 1)))
	if err != nil {
		return nil, err
	}
	desk, err := q.serve(servicestandin.NewHandler(servicestandin.New("desk", q.clock)))
	if err != nil {
		return nil, err
	}
	return newDocument(cfg, engine, desk), nil
}

func newDocument(cfg enginestandin.Config, engine, desk string) *environment.Document {
	return &environment.Document{
		Zones:    []environment.Zone{{Name: zone}},
		Accounts: []environment.Account{{Name: account, RateTokensPerSecond: 10_000, BurstTokens: 100_000}},
		Models: []environment.Model{{
			Name:             modelName,
			MemoryMB:         modelMemoryMB,
			ContextTokens:    32_768,
			DefaultMaxTokens: 256,
		}},
		Targets: []environment.Target{
			{
				Name:            cfg.Name,
				Kind:            environment.TargetEngine,
				Address:         engine,
				Zone:            zone,
				MemoryMB:        cfg.MemoryMB,
				Concurrency:     cfg.Slots,
				ColdConcurrency: cfg.ColdConcurrency,
				ChecksFencing:   cfg.ChecksFencing,
			},
			{Name: "desk-1", Kind: environment.TargetService, Address: desk, Zone: zone, Service: "desk", Concurrency: 32},
		},
		Services: []environment.Service{{
			Name:  "desk",
			Calls: []environment.ServiceCall{{Method: http.MethodGet, PathPrefix: "/", Idempotent: true}},
		}},
		WeightStore: environment.WeightStore{LoadsPerSecond: 1, LoadsAtOnce: 2},
	}
}

func (q *quickstart) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", randomPort)
	if err != nil {
		return "", err
	}
	q.listeners = append(q.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func (q *quickstart) newInstance(listen string) (*instance.Instance, error) {
	now := time.Now()
	authority, err := pki.NewAuthority(now)
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue("quickstart", zone, now)
	if err != nil {
		return nil, err
	}
	meshTLS, err := pki.Config(authority.CertificatePEM(), pair)
	if err != nil {
		return nil, err
	}
	s := settings.Default()
	s.Name, s.Zone = "quickstart", zone
	s.Listen = settings.Listen{Callers: listen, Operators: randomPort, Mesh: randomPort}
	s.Operators.Credentials = []settings.Credential{{Operator: "quickstart", Role: "write", TokenSHA256: keys.HashToken(operatorToken)}}
	s.Drain.ReadinessSeconds = 0
	targets := httptarget.New()
	return instance.New(s, instance.Dependencies{
		Objects:   q.platform,
		Instances: q.platform,
		Engines:   targets,
		Services:  targets,
		MeshTLS:   meshTLS,
		Clock:     q.clock,
		Log:       q.log,
		Tracing:   telemetry.NoTracing(),
	})
}

// declare puts the document in force with one key and returns the key.
func declare(ctx context.Context, store *environment.Store, document *environment.Document) (string, error) {
	if err := document.Validate(); err != nil {
		return "", err
	}
	key, record := keys.New()
	record.Account = account
	_, err := store.Change(ctx, "quickstart", "declare", 0, func(state *environment.State) error {
		state.Document = *document
		state.Keys = []environment.Key{record}
		return nil
	})
	return key, err
}

func printCall(out io.Writer, callers, operators, key string) {
	fmt.Fprintf(out, `dotterellink serves on http://%s (operator API on http://%s, token %q). Try:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Hello"}]}'

`, callers, operators, operatorToken, callers, key, modelName)
}
