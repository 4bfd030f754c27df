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
	// leasePrefix is the key prefix of the placement leases; the zone follows.
	leasePrefix = "leases/placement-"
	// leaseDuration outlasts most disconnections of a zone from the store, so that the
	// holder keeps placing models there. A process that restarts on the holder's
	// machine resumes the lease at once. Each renewal is a call to the store, which is
	// priced.
	leaseDuration = 7 * time.Second
	renewInterval = 1200 * time.Millisecond
	// readInterval is the time between reads of a lease that no peer reports.
	readInterval = time.Second
	// firstReadDelay is how long candidates other than the first wait for a report from
	// the holder before their first read of the lease.
	firstReadDelay = 1500 * time.Millisecond
	// unknownOutcomeRetryDelay is the time between writes that resolve an unknown
	// outcome. It limits the write rate to a store that resets connections, as such a
	// write fails within a millisecond.
	unknownOutcomeRetryDelay = 150 * time.Millisecond
	// writeRetryDelay is the time before the next write after a failed one.
	writeRetryDelay = 500 * time.Millisecond
	// minLeaseRemaining is the remaining lease time that an order requires: the order
	// must arrive before the lease ends.
	minLeaseRemaining = 300 * time.Millisecond
	// storeTimeout bounds a write of the lease, including the retries that resolve an
	// unknown outcome.
	storeTimeout = 900 * time.Millisecond
	// orderGapMargin is added to the required gap between the orders of two holders.
	orderGapMargin = 200 * time.Millisecond
)

// ZoneLease maintains the placement lease of one availability zone on one instance.
// Reports from the holder over the mesh replace reads of the store: a takeover is a
// conditional write, so one based on outdated information fails. It is safe for
// concurrent use.
type ZoneLease struct {
	objects platform.Objects
	zone    string
	session string
	// rank returns the rank of this instance among the candidates; rank 0 takes the
	// lease over without delay.
	rank func() int
	log  log.Interface
	now  func() time.Time
	// orderGap is the minimum time between the orders of two holders.
	orderGap time.Duration

	mu    sync.Mutex
	state *lease.State
	// observedAt is when a peer last reported the lease or a read of it last ended, even
	// a failed one.
	observedAt time.Time
	// firstTickAt is the time of the first Tick.
	firstTickAt time.Time
	// ordersAllowedAt is when this holder may send its first order to a target.
	// targetOrdersAllowedAt replaces it once the previous holder has reported its last
	// orders; targets missing there may get orders at once.
	ordersAllowedAt       time.Time
	targetOrdersAllowedAt map[string]time.Time
	// previousHolderToken is the token of the previous holder that reported its last orders.
	previousHolderToken uint64
	// lastOrderAt is the time of the last order of this instance to each target,
	// lastOrderToken the token of these orders, endedAt when the lease was lost or
	// released.
	lastOrderAt    map[string]time.Time
	lastOrderToken uint64
	endedAt        time.Time
	stopping       bool
	wasHeld        bool
	writeFailedAt  time.Time
}

// NewZoneLease returns a ZoneLease that is not held. The orders of two holders are at
// least orderGap apart. firstStart is set if no earlier run of any instance can hold it.
func NewZoneLease(objects platform.Objects, zone, self, session string, orderGap time.Duration, firstStart bool, rank func() int, logger log.Interface) *ZoneLease {
	return &ZoneLease{
		objects: objects, zone: zone, session: session, rank: rank, now: boottime.Now, orderGap: orderGap,
		log:         logger.WithField("zone", zone),
		lastOrderAt: make(map[string]time.Time),
		state: lease.NewTimedState(self, session, lease.Timing{
			Duration: leaseDuration, RenewInterval: renewInterval, HolderResumes: true, FirstStart: firstStart,
		}),
	}
}

// EnterEra records that the store has an era.
func (z *ZoneLease) EnterEra(era platform.Era) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.now()
	held := z.state.Held(now)
	z.state.EnterEra(era, now)
	if held && !z.state.Held(now) {
		z.wasHeld, z.endedAt, z.observedAt = false, now, time.Time{}
		z.log.WithFields(log.Fields{"era": int(era), "token": z.state.Token()}).Warn("residency: Placement lease of an ended era given up.")
	}
}

// Observe applies the lease as reported by its holder.
func (z *ZoneLease) Observe(l peers.HeldLease) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.state.Observe(l.Record, l.Version, z.now())
	z.observedAt = z.now()
}

// Status returns the lease to report to peers, or nil if it is not held.
func (z *ZoneLease) Status() *peers.HeldLease {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.state.Held(z.now()) {
		return nil
	}
	record, version := z.state.Newest()
	return &peers.HeldLease{Zone: z.zone, Record: record, Version: version}
}

// Held returns the fencing token and whether the lease is held for long enough to
// send an order. The token is 0 if it is not.
func (z *ZoneLease) Held() (token uint64, ok bool) { return z.HeldFor(0) }

// HeldFor returns the fencing token and whether the lease is held for at least d from now,
// for a call that takes as long. The token is 0 if it is not: that of the newest known record
// may be that of a later holder.
func (z *ZoneLease) HeldFor(d time.Duration) (token uint64, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.now()
	if !z.held(now) || !z.state.Held(now.Add(d)) {
		return 0, false
	}
	return z.state.Token(), true
}

// held requires z.mu. Unlike state.Held, it reports whether the lease is held for at
// least minLeaseRemaining, and false once this instance is stopping.
func (z *ZoneLease) held(now time.Time) bool {
	return !z.stopping && z.state.Held(now.Add(minLeaseRemaining))
}

// MayOrder returns the fencing token and whether an order may be sent to a target
// now: the lease is held, and the gap to the orders of the previous holder has passed.
// The token is 0 if the lease is not held.
func (z *ZoneLease) MayOrder(targetID string) (token uint64, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.mayOrder(targetID, z.now())
}

// mayOrder requires z.mu.
func (z *ZoneLease) mayOrder(targetID string, now time.Time) (token uint64, ok bool) {
	if !z.held(now) {
		return 0, false
	}
	allowedAt := z.ordersAllowedAt
	if z.previousHolderToken+1 == z.state.Token() {
		allowedAt = z.targetOrdersAllowedAt[targetID]
	}
	return z.state.Token(), !now.Before(allowedAt)
}

// scalingOrder is the ID under which the orders of numbers of targets of a service are
// recorded among those to targets. IDs of targets have no slash.
func scalingOrder(service string) string { return "scale/" + service }

// BeginScaling reports whether the number of targets of a service may be ordered now under a
// fencing token, as MayOrder does, by a call that takes at most timeout. If so, it records the
// order, which has to be sent at once.
func (z *ZoneLease) BeginScaling(service string, token uint64, timeout time.Duration) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.now()
	current, ok := z.mayOrder(scalingOrder(service), now)
	if !ok || current != token || !z.state.Held(now.Add(timeout)) {
		return false
	}
	z.lastOrderAt[scalingOrder(service)], z.lastOrderToken = now, token
	return true
}

// RecordOrder reports whether the lease is still held under the token of an order to a target,
// which has to be sent at once, and records the order if so. An order recorded under the token
// of a later holder would tell that holder's successor a wrong time of the last order.
func (z *ZoneLease) RecordOrder(targetID string, token uint64) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.now()
	if !z.held(now) || z.state.Token() != token {
		return false
	}
	z.lastOrderAt[targetID], z.lastOrderToken = now, token
	return true
}

// EndedStatus returns the age of the last order to each target, which an instance
// reports for twice the order gap after its lease has ended. It returns nil if there
// is nothing to report.
func (z *ZoneLease) EndedStatus() *peers.EndedLease {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.now()
	if z.lastOrderToken == 0 || z.held(now) && z.state.Token() == z.lastOrderToken || z.endedAt.IsZero() || now.Sub(z.endedAt) > 2*z.orderGap {
		return nil
	}
	out := &peers.EndedLease{Zone: z.zone, Token: z.lastOrderToken, OrderedAgoMS: make(map[string]int64)}
	for id, at := range z.lastOrderAt {
		if ago := now.Sub(at); ago < 2*z.orderGap {
			out.OrderedAgoMS[id] = ago.Milliseconds()
		}
	}
	return out
}

// ObserveEnded applies the last orders that the previous holder reports. Targets that
// it has sent no order within the gap may get orders at once.
func (z *ZoneLease) ObserveEnded(e *peers.EndedLease) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if e.Token+1 != z.state.Token() || z.previousHolderToken == e.Token {
		return
	}
	now := z.now()
	z.previousHolderToken, z.targetOrdersAllowedAt = e.Token, make(map[string]time.Time)
	for id, ago := range e.OrderedAgoMS {
		z.targetOrdersAllowedAt[id] = now.Add(z.orderGap + orderGapMargin - time.Duration(ago)*time.Millisecond)
	}
}

// Holder returns the last known holder of the lease, empty if none.
func (z *ZoneLease) Holder() string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.state.Holder()
}

// Tick reads or writes the lease if that is due.
func (z *ZoneLease) Tick(ctx context.Context) {
	z.mu.Lock()
	now := z.now()
	held := z.state.Held(now)
	if z.wasHeld && !held {
		z.endedAt = now
		z.log.WithField("token", z.state.Token()).Warn("residency: Placement lease lost.")
	}
	z.wasHeld = held
	if z.stopping {
		z.mu.Unlock()
		return
	}
	rank := z.rank()
	// Candidates other than the first wait for a report from the holder before they read.
	if z.firstTickAt.IsZero() {
		z.firstTickAt = now
	}
	early := z.observedAt.IsZero() && now.Sub(z.firstTickAt) < time.Duration(min(rank, 1))*firstReadDelay
	due := !held && !early && (z.observedAt.IsZero() || now.Sub(z.observedAt) >= readInterval)
	if held && rank < minForeignRank {
		// A holder in the zone keeps its lease regardless of its rank.
		rank = 0
	}
	action := z.state.Next(now, rank)
	z.mu.Unlock()
	// lease.Release is not carried out: a lease that Next wants released runs out.
	switch {
	case action != lease.Wait && z.writeFailedRecently(now):
	case action == lease.Acquire || action == lease.Renew:
		z.write(ctx, action)
	case due:
		z.read(ctx)
	}
}

// writeFailedRecently reports whether a write failed within writeRetryDelay. Without
// this delay, an unavailable store would get ten writes a second.
func (z *ZoneLease) writeFailedRecently(now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return now.Sub(z.writeFailedAt) < writeRetryDelay
}

// read reads the lease from the store.
func (z *ZoneLease) read(ctx context.Context) {
	object, err := z.objects.Get(ctx, leasePrefix+z.zone)
	z.mu.Lock()
	defer z.mu.Unlock()
	z.observedAt = z.now()
	if errors.Is(err, platform.ErrNotFound) {
		z.state.Observe(lease.Record{}, uint64(platform.NewVersion(z.state.Era(), 0)), z.now())
		return
	}
	if err != nil {
		z.log.WithError(err).Debug("residency: Failed to read placement lease.")
		return
	}
	var r lease.Record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		z.log.WithError(err).Warn("residency: Failed to decode placement lease.")
		return
	}
	z.state.Observe(r, uint64(object.Version), z.now())
}

// write acquires, renews or releases the lease.
func (z *ZoneLease) write(ctx context.Context, action lease.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	z.mu.Lock()
	record, version := z.state.Proposed(action)
	sentAt := z.now()
	z.mu.Unlock()
	value, err := json.Marshal(record)
	if err != nil {
		z.log.WithError(err).Error("residency: Failed to encode placement lease.")
		return
	}
	object, err := z.put(ctx, value, version, record)
	if err != nil {
		z.mu.Lock()
		z.writeFailedAt = z.now()
		z.mu.Unlock()
		z.log.WithField("action", int(action)).WithError(err).Info("residency: Failed to write placement lease.")
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) || errors.Is(err, platform.ErrNotFound) {
			z.read(ctx)
		}
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.now()
	z.state.ApplyWrite(action, record, uint64(object.Version), sentAt, now)
	if action == lease.Acquire && z.state.Held(now) {
		z.ordersAllowedAt = now
		// The first token has no previous holder. A lease resumed from an earlier run of
		// this instance needs no gap, as its orders came from the same machine.
		if record.Token > 1 && !z.state.Resumed() {
			z.ordersAllowedAt = z.state.FreeSince().Add(z.orderGap + orderGapMargin)
		}
		z.wasHeld, z.endedAt = true, time.Time{}
		clear(z.lastOrderAt)
		z.log.WithField("token", record.Token).Info("residency: Placement lease acquired.")
	}
}

// put writes the record. While the outcome is unknown, it repeats the write; a
// conflict is then resolved by a read of the stored record.
func (z *ZoneLease) put(ctx context.Context, value []byte, version uint64, record lease.Record) (platform.Object, error) {
	object, err := z.objects.Put(ctx, leasePrefix+z.zone, value, platform.Version(version))
	for errors.Is(err, platform.ErrOutcomeUnknown) && z.waitBeforeRetry(ctx) {
		object, err = z.objects.Put(ctx, leasePrefix+z.zone, value, platform.Version(version))
		if !errors.Is(err, platform.ErrConflict) {
			continue
		}
		stored, readErr := z.objects.Get(ctx, leasePrefix+z.zone)
		if readErr != nil {
			return object, readErr
		}
		var r lease.Record
		if json.Unmarshal(stored.Value, &r) == nil && r.Session == z.session && r.Renewal == record.Renewal {
			return stored, nil
		}
	}
	return object, err
}

// waitBeforeRetry waits between two writes of the same record and returns false if
// ctx ends first.
func (z *ZoneLease) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-time.After(unknownOutcomeRetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// Release releases the lease at a planned stop.
func (z *ZoneLease) Release(ctx context.Context) {
	z.mu.Lock()
	held := z.state.Held(z.now())
	z.stopping = true
	if held {
		z.endedAt = z.now()
	}
	z.mu.Unlock()
	if held {
		z.write(ctx, lease.Release)
		z.log.Info("residency: Placement lease released.")
	}
}
