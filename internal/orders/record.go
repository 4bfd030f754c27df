// Package orders sends load and unload orders to model engines. Each target has
// one orderer at a time, the holder of the lease of the target's group. The
// orderer stores each order as an intent in the platform before it sends it, so
// that the next orderer knows which orders may still be in flight. A pessimistic
// ledger prevents overcommitment of accelerator memory. Unloads of the last
// confirmed copy of a declared model or adapter are refused.
package orders

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

// Errors of the package.
var (
	// ErrNotOrderer means that the instance may not send an order, because it is
	// stopping, the intent is too old or the lease does not last long enough.
	ErrNotOrderer = merry.Sentinel("orders: not the orderer of the target")
	// ErrUnreadableRecord means that a stored record cannot be decoded.
	ErrUnreadableRecord = merry.Sentinel("orders: stored record unreadable")
)

// GroupsPerZone is the number of target groups in each availability zone. Each
// group has one lease.
const GroupsPerZone = 4

// defaultMaxDelay is the MaxDelay of targets that do not configure one.
const defaultMaxDelay = 5 * time.Second

// GroupOf returns the name of the target's group. One lease covers a group.
func GroupOf(t *environment.Target) string {
	return GroupName(t.Zone, int(xxhash.Sum64String(t.Name)%GroupsPerZone))
}

// GroupName returns the name of group n of a zone.
func GroupName(zone string, n int) string { return zone + "." + strconv.Itoa(n) }

// RecordPrefix returns the platform key prefix of the records of an environment.
func RecordPrefix(env string) string { return "orders/" + env + "/" }

// PlanKey returns the platform key of the Plan of an environment.
func PlanKey(env string) string { return "placement/" + env + "/plan" }

// MaxDelay returns the longest time between the sending of an order to the target
// and its effect.
func MaxDelay(t *environment.Target) time.Duration {
	if t.MaxOrderDelayMS == 0 {
		return defaultMaxDelay
	}
	return time.Duration(t.MaxOrderDelayMS) * time.Millisecond
}

// EntryState is the known state of the last order for a resource.
type EntryState string

// States of entries.
const (
	// EntryLoading means that a load has been or is about to be sent and that its
	// outcome is unknown.
	EntryLoading EntryState = "loading"
	// EntryHeld means that the load is known to have ended, with or without
	// success. The resource stays charged.
	EntryHeld EntryState = "held"
	// EntryUnloading means that an unload has been or is about to be sent and that
	// its outcome is unknown.
	EntryUnloading EntryState = "unloading"
	// EntryGone means that the unload is known to have ended and that the resource
	// is no longer reported, but retries or duplicates of the unload may still
	// arrive. The entry is not charged.
	EntryGone EntryState = "gone"
)

// Resource identifies a model, or an adapter of a model, to engines.
type Resource struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// Served returns the name under which callers request the resource.
func (r Resource) Served() string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

// Entry is the intent, and later the outcome, of the last order for a resource.
type Entry struct {
	Resource
	Version  string     `json:"version,omitempty"`
	MemoryMB int64      `json:"memory_mb"`
	State    EntryState `json:"state"`
	// OrderID identifies the last order. Retries reuse it.
	OrderID string `json:"order_id"`
	// MoveSeq is the number of the move that the order carries out.
	MoveSeq uint64 `json:"move"`
}

// Record is the stored state of a target's orders. Each write is conditional on
// the version of the previous write, so that an orderer that has been replaced
// can no longer store intents.
type Record struct {
	Target  string `json:"target"`
	Group   string `json:"group"`
	Session string `json:"session"`
	// Token is the fencing token of orders. Each takeover increases it.
	Token uint64 `json:"token"`
	// Writes counts the writes of the record, so that each write of a session is
	// distinct.
	Writes uint64 `json:"writes"`
	// DoneThrough is the number of the last move that has ended, with any outcome.
	DoneThrough uint64 `json:"done_through"`
	// SeenAsOf is the engine's time of the newest report that settled an entry.
	// Reports with an earlier time may not include the effects of settled orders,
	// so they confirm no copies.
	SeenAsOf int64   `json:"seen_as_of"`
	Entries  []Entry `json:"entries"`
}

// DecodeRecord decodes a stored record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, merry.Wrap(ErrUnreadableRecord, merry.WithCause(err))
	}
	return r, nil
}

// Entry returns the entry of a resource, or nil if there is none.
func (r *Record) Entry(k Resource) *Entry {
	for i := range r.Entries {
		if r.Entries[i].Resource == k {
			return &r.Entries[i]
		}
	}
	return nil
}

func (r Record) clone() Record {
	r.Entries = slices.Clone(r.Entries)
	return r
}

func (r *Record) put(e Entry) {
	if old := r.Entry(e.Resource); old != nil {
		*old = e
		return
	}
	r.Entries = append(r.Entries, e)
}

// MayBeUnloaded reports whether an unload of the resource may have taken effect
// or may still do so. A reported copy of the resource is then not confirmed.
func (r *Record) MayBeUnloaded(k Resource) bool {
	e := r.Entry(k)
	return e != nil && (e.State == EntryUnloading || e.State == EntryGone)
}

// ChargedMB returns the memory that the target may occupy: everything that the
// report lists and everything that an order may have loaded or may not have
// unloaded yet.
func (r *Record) ChargedMB(report *target.Report) int64 {
	charges := make(map[Resource]int64, len(r.Entries)+len(report.Residents))
	for _, reported := range report.Residents {
		charges[Resource{reported.Model, reported.Adapter}] = reported.MemoryMB
	}
	for _, e := range r.Entries {
		if e.State != EntryGone {
			charges[e.Resource] = max(charges[e.Resource], e.MemoryMB)
		}
	}
	var sum int64
	for _, mb := range charges {
		sum += mb
	}
	return sum
}

// Move is one planned change of placement. The moves of one target are carried
// out in the order of their numbers.
type Move struct {
	// Seq is the number of the move. It rises over all moves of an environment.
	Seq    uint64        `json:"seq"`
	Target string        `json:"target"`
	Action target.Action `json:"action"`
	Resource
	Version  string `json:"version,omitempty"`
	MemoryMB int64  `json:"memory_mb,omitempty"`
	Reason   string `json:"reason"`
}

// IsLoad reports whether the move loads a model or adapter.
func (m *Move) IsLoad() bool {
	return m.Action == target.ActionLoadModel || m.Action == target.ActionLoadAdapter
}

// Plan is the stored list of moves that are not known to have ended. A move is
// removed only when the record of its target shows that it has ended.
type Plan struct {
	// Token is the fencing token of the planner that wrote the plan.
	Token   uint64 `json:"token"`
	Session string `json:"session"`
	Writes  uint64 `json:"writes"`
	// LastSeq is the number of the newest move ever planned.
	LastSeq uint64 `json:"last_seq"`
	Moves   []Move `json:"moves"`
}
