package soak_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/platform/platformtest"
)

// engine is what an engine target holds.
type engine struct {
	mu       sync.Mutex
	models   map[string][]string
	onDisk   map[string]bool
	coming   string
	accepted int64
	// life counts restarts: loads of a life before do not end in this one.
	life int
	// told is the last report, as old as reportLag.
	told   fleet.Report
	toldAt time.Time
}

func newEngine(models ...string) *engine {
	e := &engine{models: make(map[string][]string), onDisk: make(map[string]bool)}
	for _, m := range models {
		e.models[m], e.onDisk[m] = nil, true
	}
	return e
}

// clear drops what a restart loses: all but the copies on disk.
func (e *engine) clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.models)
	e.accepted = 0
	e.life++
}

func (e *engine) holds(model, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.models[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

func (e *engine) held() []fleet.HeldModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldLocked()
}

func (e *engine) heldLocked() []fleet.HeldModel {
	var out []fleet.HeldModel
	for name, adapters := range e.models {
		out = append(out, fleet.HeldModel{Name: name, Version: 1, Adapters: slices.Clone(adapters)})
	}
	return out
}

func (e *engine) copies() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for name := range e.onDisk {
		out = append(out, name)
	}
	return out
}

func (e *engine) report(born time.Time) []byte {
	held, copies := e.held(), e.copies()
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.toldAt) > reportLag {
		e.told = fleet.Report{Models: held, OnDisk: copies, OrderInProgress: e.coming != "", Orders: e.accepted, BornMS: born.UnixMilli()}
		e.toldAt = time.Now()
	}
	return platformtest.EncodeReport(e.told)
}

// order takes an order, checks who gave it, and carries it out.
func (t *target) order(w http.ResponseWriter, r *http.Request) {
	o, targetID, err := platformtest.DecodeOrder(r)
	if err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b := t.w.book
	b.mu.Lock()
	b.orders[t] = append(b.orders[t], order{time.Now(), o.Holder})
	b.mu.Unlock()
	b.arrived(t, arrival{instance: o.Holder, at: time.Now()})
	odd, _, _, _ := t.state()
	if odd.ordersLate {
		go func() {
			time.Sleep(time.Second + time.Duration(rand.Int64N(int64(2*time.Second))))
			t.carryOut(o, targetID)
		}()
		pause.For(r.Context(), heldAnswer)
		panic(http.ErrAbortHandler)
	}
	t.speak(r.Context())
	w.WriteHeader(t.carryOut(o, targetID))
}

// carryOut returns the status of an order and starts it.
func (t *target) carryOut(o call.Order, targetID string) int {
	e := t.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, held := e.models[o.Model]
	switch {
	case targetID != t.id:
		return http.StatusMisdirectedRequest
	case o.ExpectedOrders != e.accepted:
		return http.StatusConflict
	case o.Kind == call.LoadModel && held:
		return http.StatusOK
	case o.Kind != call.LoadModel && !held:
		return http.StatusBadRequest
	}
	switch o.Kind {
	case call.LoadModel, call.UnloadModel:
		if e.coming != "" {
			return http.StatusConflict
		}
		t.moveModel(o)
	case call.LoadAdapter:
		if slices.Contains(adapters, o.Adapter) {
			return http.StatusOK
		}
		e.models[o.Model] = append(adapters, o.Adapter)
		t.checkAdapters()
	case call.UnloadAdapter:
		e.models[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
	}
	e.accepted++
	return http.StatusAccepted
}

// moveModel requires e.mu.
func (t *target) moveModel(o call.Order) {
	e := t.engine
	if o.Kind == call.UnloadModel {
		delete(e.models, o.Model)
		return
	}
	if len(e.models)+1 > modelsPerTarget {
		t.w.breaks("LIMIT", "%s holds %d models and is ordered to load %s", t.id, len(e.models), o.Model)
	}
	e.coming = o.Model
	takes := loadTime
	if e.onDisk[o.Model] {
		takes /= 4
	} else {
		t.w.loadBegins()
	}
	life := e.life
	time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.coming = ""
		if e.life == life {
			e.models[o.Model], e.onDisk[o.Model] = nil, true
		}
	})
}

// checkAdapters requires e.mu.
func (t *target) checkAdapters() {
	n := 0
	for _, adapters := range t.engine.models {
		n += len(adapters)
	}
	if n > adapterSlots {
		t.w.breaks("LIMIT", "%s holds %d adapters, %d fit", t.id, n, adapterSlots)
	}
}
