package residency

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/boottime"
	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// leasePrefix holds the placement lease of each availability zone.
	leasePrefix = "leases/placement-"
	// leaseDuration outlasts most cuts of a zone from the store, so that its holder
	// goes on placing models there. A process that restarts on the machine of the
	// holder resumes at once. Each renewal is one priced call.
	leaseDuration = 7 * time.Second
	renewEvery    = 1200 * time.Millisecond
	// readAgain is the time between reads of a lease that no peer tells of.
	readAgain = time.Second
	// firstReadAfter is how long a candidate behind the first waits for word of a
	// holder before its first read of the lease.
	firstReadAfter = 1500 * time.Millisecond
	// settleAgain is the time between writes that settle a lost answer. A store that
	// resets connections fails within a millisecond.
	settleAgain = 150 * time.Millisecond
	// writeAgain is the time between attempts to write the lease while they fail.
	writeAgain = 500 * time.Millisecond
	// orderMargin is the rest of a lease that an order needs: the order must
	// arrive before the lease ends.
	orderMargin = 300 * time.Millisecond
	// storeTimeout bounds a write of the lease with the settling of its outcome.
	storeTimeout = 900 * time.Millisecond
	// settleMargin is added to the time that two holders have to keep apart.
	settleMargin = 200 * time.Millisecond
)

// Holding keeps the placement lease of one availability zone for one instance. What the holder tells over
// the mesh stands for reads of the store: a takeover is a conditional write, so
// that one based on old word fails. It is safe for concurrent use.
type Holding struct {
	objects platform.Objects
	zone    string
	session string
	// rank is the instance's place among the candidates; the first takes the
	// lease over without delay.
	rank func() int
	log  log.Interface
	now  func() time.Time
	// apart is the time that orders of two holders have to lie apart.
	apart time.Duration

	mu     sync.Mutex
	state  *lease.State
	readAt time.Time
	// startedAt is when the lease was first looked at.
	startedAt time.Time
	// orderableAt is when this holder may give its first order to a target of
	// which nothing else is known; orderableTo is the same for targets that the
	// holder before told of.
	orderableAt time.Time
	orderableTo map[string]time.Time
	// before is the token of the holder whose last orders are known in full.
	before uint64
	// ordered gives the time of the own last order to each target, ownToken the
	// token under which they were given, endedAt when the lease was lost.
	ordered  map[string]time.Time
	ownToken uint64
	endedAt  time.Time
	stopping bool
	wasHeld  bool
	// failedAt is when a write last failed.
	failedAt time.Time
}

// NewHolding returns a holding of nothing. Two holders' orders lie at least
// apart from each other.
func NewHolding(objects platform.Objects, zone, self, session string, apart time.Duration, rank func() int, logger log.Interface) *Holding {
	return &Holding{
		objects: objects, zone: zone, session: session, rank: rank, now: boottime.Now, apart: apart,
		log:     logger.WithField("zone", zone),
		ordered: make(map[string]time.Time),
		state: lease.NewTimedState(self, session, lease.Timing{
			Duration: leaseDuration, RenewInterval: renewEvery, HolderResumes: true,
		}),
	}
}

// Heard takes what the holder told of its lease.
func (h *Holding) Heard(l peers.HeldLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Observe(l.Record, l.Version, h.now())
	h.readAt = h.now()
}

// Told returns the lease to be told to peers, or nil if it is not held.
func (h *Holding) Told() *peers.HeldLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.state.Held(h.now()) {
		return nil
	}
	record, version := h.state.Newest()
	return &peers.HeldLease{Zone: h.zone, Record: record, Version: version}
}

// Held reports whether the lease is held for long enough for an order, and its
// fencing token.
func (h *Holding) Held() (token uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Token(), h.held(h.now())
}

// held requires h.mu.
func (h *Holding) held(now time.Time) bool {
	return !h.stopping && h.state.Held(now.Add(orderMargin))
}

// MayOrder reports whether an order may be sent to a target now: the lease is
// held, and the orders of the holder before lie far enough back.
func (h *Holding) MayOrder(targetID string) (token uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.held(now) {
		return h.state.Token(), false
	}
	from := h.orderableAt
	if h.before+1 == h.state.Token() {
		from = h.orderableTo[targetID]
	}
	return h.state.Token(), !now.Before(from)
}

// Ordered notes an order of this holder.
func (h *Holding) Ordered(targetID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ordered[targetID], h.ownToken = h.now(), h.state.Token()
}

// Ended returns what a holder that lost its lease tells for a while: the age of
// its last order to each target. Nil means nothing.
func (h *Holding) Ended() *peers.EndedLease {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if h.ownToken == 0 || h.held(now) && h.state.Token() == h.ownToken || h.endedAt.IsZero() || now.Sub(h.endedAt) > 2*h.apart {
		return nil
	}
	out := &peers.EndedLease{Zone: h.zone, Token: h.ownToken, OrderedAgoMS: make(map[string]int64)}
	for id, at := range h.ordered {
		if ago := now.Sub(at); ago < 2*h.apart {
			out.OrderedAgoMS[id] = ago.Milliseconds()
		}
	}
	return out
}

// HeardEnded takes what the holder before tells of its last orders: targets that
// it has left alone for long enough may be ordered at once.
func (h *Holding) HeardEnded(e *peers.EndedLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Token+1 != h.state.Token() || h.before == e.Token {
		return
	}
	now := h.now()
	h.before, h.orderableTo = e.Token, make(map[string]time.Time)
	for id, ago := range e.OrderedAgoMS {
		h.orderableTo[id] = now.Add(h.apart + settleMargin - time.Duration(ago)*time.Millisecond)
	}
}

// Holder returns the instance that holds the lease as far as known.
func (h *Holding) Holder() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Holder()
}

// Tick reads or writes the lease if that is due.
func (h *Holding) Tick(ctx context.Context) {
	h.mu.Lock()
	now := h.now()
	held := h.state.Held(now)
	if h.wasHeld && !held {
		h.endedAt = now
		h.log.WithField("token", h.state.Token()).Warn("residency: Placement lease lost.")
	}
	h.wasHeld = held
	if h.stopping {
		h.mu.Unlock()
		return
	}
	rank := h.rank()
	// Candidates behind the first wait for word of the holder before they read.
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	early := h.readAt.IsZero() && now.Sub(h.startedAt) < time.Duration(min(rank, 1))*firstReadAfter
	due := !held && !early && (h.readAt.IsZero() || now.Sub(h.readAt) >= readAgain)
	if held && rank < foreignRank {
		// A holder in the zone keeps its lease, whatever its rank.
		rank = 0
	}
	action := h.state.Next(now, rank)
	h.mu.Unlock()
	switch {
	case action != lease.Wait && h.failedLately(now):
	case action == lease.Acquire || action == lease.Renew:
		h.write(ctx, action)
	case due:
		h.read(ctx)
	}
}

// failedLately reports whether a write failed a short time ago: a store that is
// away is not asked ten times a second.
func (h *Holding) failedLately(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.failedAt) < writeAgain
}

// read looks the lease up in the store.
func (h *Holding) read(ctx context.Context) {
	object, err := h.objects.Get(ctx, leasePrefix+h.zone)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readAt = h.now()
	if errors.Is(err, platform.ErrNotFound) {
		h.state.Observe(lease.Record{}, 0, h.now())
		return
	}
	if err != nil {
		h.log.WithError(err).Debug("residency: Placement lease not read.")
		return
	}
	var r lease.Record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		h.log.WithError(err).Warn("residency: Placement lease unreadable.")
		return
	}
	h.state.Observe(r, uint64(object.Version), h.now())
}

// write acquires, renews or releases the lease.
func (h *Holding) write(ctx context.Context, action lease.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h.mu.Lock()
	record, version := h.state.Proposed(action)
	sentAt := h.now()
	h.mu.Unlock()
	value, err := json.Marshal(record)
	if err != nil {
		h.log.WithError(err).Error("residency: Placement lease not encoded.")
		return
	}
	object, err := h.put(ctx, value, version, record)
	if err != nil {
		h.mu.Lock()
		h.failedAt = h.now()
		h.mu.Unlock()
		h.log.WithField("action", int(action)).WithError(err).Info("residency: Placement lease not written.")
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
			h.read(ctx)
		}
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.state.ApplyWrite(action, record, uint64(object.Version), sentAt, now)
	if action == lease.Acquire {
		h.orderableAt = now
		// Orders of an earlier run came from the same machine: they need no gap.
		if record.Token > 1 && !h.state.Resumed() {
			h.orderableAt = h.state.FreeSince().Add(h.apart + settleMargin)
		}
		h.wasHeld, h.endedAt = true, time.Time{}
		clear(h.ordered)
		h.log.WithField("token", record.Token).Info("residency: Placement lease acquired.")
	}
}

// put writes the record and learns the outcome of a write without an answer.
func (h *Holding) put(ctx context.Context, value []byte, version uint64, record lease.Record) (platform.Object, error) {
	object, err := h.objects.Put(ctx, leasePrefix+h.zone, value, platform.Version(version))
	for errors.Is(err, platform.ErrOutcomeUnknown) && h.pause(ctx) {
		object, err = h.objects.Put(ctx, leasePrefix+h.zone, value, platform.Version(version))
		if !errors.Is(err, platform.ErrConflict) {
			continue
		}
		stored, readErr := h.objects.Get(ctx, leasePrefix+h.zone)
		if readErr != nil {
			return object, readErr
		}
		var r lease.Record
		if json.Unmarshal(stored.Value, &r) == nil && r.Session == h.session && r.Renewal == record.Renewal {
			return stored, nil
		}
	}
	return object, err
}

// pause waits between two writes of the same record, and reports whether there is
// time for another.
func (h *Holding) pause(ctx context.Context) bool {
	select {
	case <-time.After(settleAgain):
		return true
	case <-ctx.Done():
		return false
	}
}

// Release hands the lease over at a planned stop.
func (h *Holding) Release(ctx context.Context) {
	h.mu.Lock()
	held := h.state.Held(h.now())
	h.stopping = true
	if held {
		h.endedAt = h.now()
	}
	h.mu.Unlock()
	if held {
		h.write(ctx, lease.Release)
		h.log.Info("residency: Placement lease released.")
	}
}
