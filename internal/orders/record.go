// Package orders gives orders to model engines. Each target has one orderer at
// a time, the holder of the lease of the target's group. What an orderer is
// about to order stands in the platform before the order is sent, so that the
// next orderer knows what may still be under way. A pessimistic ledger keeps
// the accelerator memory from being overcommitted and the last copy of a model
// from being unloaded.
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

// Errors of orders.
var (
	// ErrNotOrderer means that another instance may order the target.
	ErrNotOrderer = merry.Sentinel("orders: not the orderer of the target")
	// ErrUnreadableRecord means that a stored record cannot be read.
	ErrUnreadableRecord = merry.Sentinel("orders: bad stored record")
)

// GroupsPerZone is the number of groups of targets, and so of leases, in each
// availability zone.
const GroupsPerZone = 4

// defaultMaxDelay is the longest time between sending an order and its effect
// for targets that state none.
const defaultMaxDelay = 5 * time.Second

// GroupOf returns the name of the group of targets that one lease covers.
func GroupOf(t *environment.Target) string {
	return GroupName(t.Zone, int(xxhash.Sum64String(t.Name)%GroupsPerZone))
}

// GroupName returns the name of the group with the number in a zone.
func GroupName(zone string, n int) string { return zone + "." + strconv.Itoa(n) }

// RecordPrefix is the platform prefix of the records of an environment.
func RecordPrefix(env string) string { return "orders/" + env + "/" }

// PlanKey is the platform key of the moves of an environment.
func PlanKey(env string) string { return "placement/" + env + "/plan" }

// MaxDelay is the longest time between sending an order to the target and its
// effect.
func MaxDelay(t *environment.Target) time.Duration {
	if t.MaxOrderDelayMS == 0 {
		return defaultMaxDelay
	}
	return time.Duration(t.MaxOrderDelayMS) * time.Millisecond
}

// EntryState tells what is known of a model or adapter that was ordered.
type EntryState string

// States of entries.
const (
	// EntryLoading means that a load was or is about to be sent and has an
	// unknown outcome.
	EntryLoading EntryState = "loading"
	// EntryHeld means that the load is known to have ended.
	EntryHeld EntryState = "held"
	// EntryUnloading means that an unload was or is about to be sent and has an
	// unknown outcome.
	EntryUnloading EntryState = "unloading"
	// EntryGone means that the unload is known to have ended, but that copies of
	// it may still arrive. It occupies no memory.
	EntryGone EntryState = "gone"
)

// Resource is a model, or an adapter of a model, as engines know it.
type Resource struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// Served is the name by which callers ask for the resource.
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
	// OrderID identifies the last order; repeated sendings keep it.
	OrderID string `json:"order_id"`
	// Move is the number of the move that the order carries out.
	Move uint64 `json:"move"`
}

// Record is what the platform keeps of a target's orders. Each write is
// conditional on the version of the one before, so that an orderer that was
// replaced cannot write an intent any more.
type Record struct {
	Target  string `json:"target"`
	Group   string `json:"group"`
	Session string `json:"session"`
	// Token is the fencing token of orders. It rises with each takeover.
	Token uint64 `json:"token"`
	// Writes makes each write of a session distinct.
	Writes uint64 `json:"writes"`
	// DoneThrough is the number of the last move that was carried out or refused.
	DoneThrough uint64 `json:"done_through"`
	// SeenAsOf is the engine's time of the newest report that settled an entry.
	// Reports with an earlier time say nothing of what the target holds.
	SeenAsOf int64   `json:"seen_as_of"`
	Entries  []Entry `json:"entries"`
}

// DecodeRecord reads a stored record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, merry.Wrap(ErrUnreadableRecord, merry.WithCause(err))
	}
	return r, nil
}

// Entry returns the entry of a resource or nil.
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

// MayBeUnloaded reports whether an unload of the resource may have or get an
// effect, so that a report of it does not count as a copy.
func (r *Record) MayBeUnloaded(k Resource) bool {
	e := r.Entry(k)
	return e != nil && (e.State == EntryUnloading || e.State == EntryGone)
}

// ChargedMB is the memory that the target may hold: whatever the report lists
// and whatever an order may have loaded or not yet unloaded.
func (r *Record) ChargedMB(report *target.Report) int64 {
	charges := make(map[Resource]int64, len(r.Entries)+len(report.Residents))
	for _, held := range report.Residents {
		charges[Resource{held.Model, held.Adapter}] = held.MemoryMB
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

// Move is one change of placement that the planner has decided. Moves of one
// target are carried out in the order of their numbers.
type Move struct {
	// Seq rises over all moves of an environment.
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

// Plan is the stored list of moves that are not known to have ended. A move
// leaves it only when the record of its target says so.
type Plan struct {
	// Token is the fencing token of the planner that wrote it.
	Token   uint64 `json:"token"`
	Session string `json:"session"`
	Writes  uint64 `json:"writes"`
	// LastSeq is the number of the newest move ever decided.
	LastSeq uint64 `json:"last_seq"`
	Moves   []Move `json:"moves"`
}
