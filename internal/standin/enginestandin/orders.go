package enginestandin

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Order implements target.Orderer for this engine.
func (e *Engine) Order(_ context.Context, order target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return merry.Wrap(target.ErrNotSent)
	}
	if e.faults.LoseOrders > 0 {
		e.faults.LoseOrders--
		return merry.Wrap(target.ErrOutcomeUnknown)
	}
	if e.faults.OrderDelayMS > 0 {
		e.after(e.faults.OrderDelayMS, func() { _ = e.apply(order) })
	} else if err := e.apply(order); err != nil {
		return err
	}
	if e.faults.DoubleOrders > 0 {
		e.faults.DoubleOrders--
		e.after(e.faults.DoubleDelayMS, func() { _ = e.apply(order) })
	}
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		return merry.Wrap(target.ErrOutcomeUnknown)
	}
	return nil
}

// after runs f with e.mu held once ms milliseconds have passed.
func (e *Engine) after(ms int, f func()) {
	e.clock.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		f()
	})
}

// apply gives an order its effect. It requires e.mu.
func (e *Engine) apply(order target.Order) error {
	if e.cfg.ChecksFencing && order.FencingToken < e.token {
		e.witness.FencedOrders++
		return merry.Wrap(target.ErrFenced)
	}
	e.token = max(e.token, order.FencingToken)
	e.witness.Orders = append(e.witness.Orders, order)
	key := residentKey{order.Model, order.Adapter}
	switch order.Action {
	case target.ActionLoadModel, target.ActionLoadAdapter:
		e.load(key, order)
	case target.ActionUnloadModel, target.ActionUnloadAdapter:
		e.unload(key, order)
	case target.ActionSetRole:
		e.role = order.Role
		e.settle(order)
	default:
		return &target.RejectedError{Message: "unknown action"}
	}
	e.record()
	return nil
}

func (e *Engine) load(key residentKey, order target.Order) {
	if _, ok := e.residents[key]; ok {
		e.settle(order)
		return
	}
	r := &target.Resident{
		Model:    order.Model,
		Adapter:  order.Adapter,
		Version:  order.Version,
		State:    target.ResidencyLoading,
		MemoryMB: order.MemoryMB,
	}
	e.residents[key] = r
	e.witness.Loads++
	e.memoryMB += order.MemoryMB
	e.noteMemory()
	if e.memoryMB > e.cfg.MemoryMB {
		e.witness.Overcommits++
		e.fallOver()
	}
	e.after(e.cfg.LoadMS, func() {
		if r.State == target.ResidencyLoading {
			r.State = target.ResidencyReady
		}
		e.settle(order)
		e.record()
	})
}

func (e *Engine) unload(key residentKey, order target.Order) {
	r, ok := e.residents[key]
	if !ok {
		e.settle(order)
		return
	}
	r.State = target.ResidencyUnloading
	e.finishUnload(key, r, order)
}

// finishUnload frees the memory once no call uses the resident.
func (e *Engine) finishUnload(key residentKey, r *target.Resident, order target.Order) {
	e.after(e.cfg.UnloadMS, func() {
		if e.runningBy[servedName(key)] > 0 {
			e.finishUnload(key, r, order)
			return
		}
		if e.residents[key] == r {
			delete(e.residents, key)
			e.memoryMB -= r.MemoryMB
			e.witness.Unloads++
		}
		e.settle(order)
		e.record()
	})
}

func (e *Engine) settle(order target.Order) {
	e.settled = append(e.settled, order.ID)
	if len(e.settled) > settledKept {
		e.settled = e.settled[len(e.settled)-settledKept:]
	}
}

// servedName is the name by which calls ask for a resident.
func servedName(key residentKey) string {
	if key.adapter != "" {
		return key.adapter
	}
	return key.model
}

// Holds reports whether the model or adapter is ready now, whatever reports
// show.
func (e *Engine) Holds(model, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.residents[residentKey{model, adapter}]
	return r != nil && r.State == target.ResidencyReady
}
