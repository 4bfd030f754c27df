package enginestandin

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Fleet serves several engines by their addresses in one process, without a
// network. It implements target.Engine.
type Fleet struct {
	mu      sync.RWMutex
	engines map[string]*Engine
}

var _ target.Engine = (*Fleet)(nil)

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{engines: make(map[string]*Engine)}
}

// Add serves engine at address.
func (f *Fleet) Add(address string, engine *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = engine
}

func (f *Fleet) engine(address string) (*Engine, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.engines[address]
	if e == nil {
		return nil, merry.Wrap(target.ErrNotSent, merry.AppendMessage("no engine at "+address))
	}
	return e, nil
}

// Generate implements target.ModelCaller.
func (f *Fleet) Generate(ctx context.Context, address string, call *target.ModelCall) (target.Stream, error) {
	e, err := f.engine(address)
	if err != nil {
		return nil, err
	}
	return e.Generate(ctx, call)
}

// Order implements target.Orderer.
func (f *Fleet) Order(ctx context.Context, address string, order target.Order) error {
	e, err := f.engine(address)
	if err != nil {
		return err
	}
	return e.Order(ctx, order)
}

// Report implements target.Reporter.
func (f *Fleet) Report(ctx context.Context, address string) (target.Report, error) {
	e, err := f.engine(address)
	if err != nil {
		return target.Report{}, err
	}
	return e.Report(ctx)
}

// CacheEvents implements target.Reporter.
func (f *Fleet) CacheEvents(ctx context.Context, address string, after uint64) ([]target.CacheEvent, error) {
	e, err := f.engine(address)
	if err != nil {
		return nil, err
	}
	return e.CacheEvents(ctx, after)
}
