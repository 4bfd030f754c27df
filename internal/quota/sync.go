package quota

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// watchTimeout is the maximum duration of one watch call.
	watchTimeout = 10 * time.Second
	// resyncInterval is the time between full reads of all divisions.
	resyncInterval = 10 * time.Minute
	// reconcileInterval is the time between checks of the members and the
	// environment.
	reconcileInterval = 250 * time.Millisecond
	// writeTimeout is the timeout of one write of a division.
	writeTimeout = 5 * time.Second
	// appliedTimeout is the timeout of one query whether a holder has applied a
	// generation.
	appliedTimeout = 200 * time.Millisecond
	// minRetryInterval and maxRetryInterval are the initial and maximum backoff
	// between retries of platform operations.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 5 * time.Second
)

// syncState is what an instance knows of the divisions, and the state of its own
// writes and departure.
type syncState struct {
	divisions    divisions
	versions     map[string]platform.Version
	watchVersion platform.Version
	// resyncAt is the time of the next full read of all divisions. Full reads
	// are needed because a stale response may have shown an older state of one
	// division together with a newer state of another.
	resyncAt time.Time
	// writeStarts holds the start times, by nonce, of the writes that may have
	// succeeded and, if so, prove the instance to be a holder.
	writeStarts map[string]time.Time
	fencedSince map[string]time.Time
	absentSince map[string]time.Time
	// isHolder means that the newest known division contains the incarnation.
	isHolder bool
	leaving  bool
}

func newSyncState() syncState {
	return syncState{
		divisions:   make(divisions),
		versions:    make(map[string]platform.Version),
		writeStarts: make(map[string]time.Time),
		fencedSince: make(map[string]time.Time),
		absentSince: make(map[string]time.Time),
	}
}

// Run watches and reconciles the divisions until ctx ends.
func (e *Escrow) Run(ctx context.Context) error {
	go e.reconcileLoop(ctx)
	go e.returnLoop(ctx)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for ctx.Err() == nil {
		if err := e.Poll(ctx, watchTimeout); err == nil {
			retry.Reset()
			e.Notify()
			continue
		}
		select {
		case <-e.config.Clock.After(retry.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// reconcileLoop reconciles after each notification and at each interval. It
// backs off after failed writes.
func (e *Escrow) reconcileLoop(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for {
		wait := reconcileInterval
		if err := e.Reconcile(ctx); err != nil {
			wait = retry.NextBackOff()
		} else {
			retry.Reset()
		}
		select {
		case <-e.notified:
		case <-e.config.Clock.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// Notify triggers reconciliation, for example after a change of the
// environment.
func (e *Escrow) Notify() {
	select {
	case e.notified <- struct{}{}:
	default:
	}
}

// Poll waits at most wait for changes of any zone's division and applies them.
func (e *Escrow) Poll(ctx context.Context, wait time.Duration) error {
	e.syncMu.Lock()
	if now := e.now(); !now.Before(e.sync.resyncAt) {
		e.sync.watchVersion = 0
		e.sync.resyncAt = now.Add(resyncInterval)
	}
	after := e.sync.watchVersion
	e.syncMu.Unlock()
	prefix := divisionPrefix(e.config.Environment)
	objects, _, err := e.config.Objects.Changes(ctx, prefix, after, wait)
	if err != nil {
		return err
	}
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	for _, o := range objects {
		e.applyObject(o.Key[len(prefix):], o)
		e.sync.watchVersion = max(e.sync.watchVersion, o.Version)
	}
	e.applyOwnDivision()
	return nil
}

// applyObject records a newly read division and ignores versions that are not
// newer than the known one. The caller must hold syncMu.
func (e *Escrow) applyObject(zone string, o platform.Object) {
	if o.Version <= e.sync.versions[zone] {
		return
	}
	d := &division{}
	if !o.Deleted {
		var err error
		if d, err = decodeDivision(o.Value); err != nil {
			e.config.Log.Errorf("Failed to decode division of zone %s: %v.", zone, err)
			return
		}
	}
	e.sync.versions[zone] = o.Version
	e.sync.divisions[zone] = d
}

// applyOwnDivision applies the newest division of the own zone to the ledger.
// The caller must hold syncMu.
func (e *Escrow) applyOwnDivision() {
	d := e.sync.divisions[e.self.Zone]
	if d == nil {
		return
	}
	e.updateFenced(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	own := d.holder(e.incarnation)
	e.updateHolderState(own != nil)
	if own == nil || own.Fenced {
		e.ledger.DropShares(now)
		e.appliedGeneration = 0
		return
	}
	if started, ok := e.sync.writeStarts[d.Nonce]; ok && !e.sync.leaving {
		e.ledger.ExtendLease(started.Add(leaseDuration))
		clear(e.sync.writeStarts)
	}
	if e.applyClaims(now, d, own) {
		e.appliedGeneration = d.Generation
	}
}

// updateHolderState starts a new incarnation if the current one is no longer a
// holder, because an incarnation never becomes a holder again. The caller must
// hold syncMu and mu.
func (e *Escrow) updateHolderState(isHolder bool) {
	if e.sync.isHolder && !isHolder {
		e.incarnation = uuid.NewString()
	}
	e.sync.isHolder = isHolder
}

// applyClaims sets the shares of the own holder in the ledger and reports
// whether all of them have taken effect. The caller must hold mu.
func (e *Escrow) applyClaims(now time.Time, d *division, own *holder) bool {
	applied := true
	for i := range d.Claims {
		c := &d.Claims[i]
		share := own.shareOf(c)
		if !d.isConfirmed() {
			current := e.ledger.Share(c.Account)
			share = Share{Rate: min(share.Rate, current.Rate), Burst: min(share.Burst, current.Burst)}
		}
		applied = e.ledger.SetShare(now, c.Account, share, c.startsFull(own) && d.isConfirmed()) && applied
		e.metrics.rate.WithLabelValues(c.Account).Set(share.Rate)
		e.metrics.burst.WithLabelValues(c.Account).Set(share.Burst)
	}
	for _, name := range e.ledger.Accounts() {
		if _, ok := d.find(name); !ok {
			applied = e.ledger.SetShare(now, name, Share{}, false) && applied
		}
	}
	return applied
}

// updateFenced updates fencedSince and the metrics of holders. The caller must
// hold syncMu.
func (e *Escrow) updateFenced(d *division) {
	now := e.now()
	fenced := 0
	for _, h := range d.Holders {
		if !h.Fenced {
			continue
		}
		fenced++
		if _, ok := e.sync.fencedSince[h.Incarnation]; !ok {
			e.sync.fencedSince[h.Incarnation] = now
		}
	}
	for incarnation := range e.sync.fencedSince {
		if d.holder(incarnation) == nil {
			delete(e.sync.fencedSince, incarnation)
		}
	}
	e.metrics.fenced.Set(float64(fenced))
	e.metrics.pending.Set(float64(d.countPending()))
}

// Reconcile makes the next write of the zone's division, if one is due.
func (e *Escrow) Reconcile(ctx context.Context) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	e.applyOwnDivision()
	s := e.stepInput(ctx)
	next, action := s.step()
	if action == actionNone {
		return nil
	}
	return e.writeDivision(ctx, e.self.Zone, next, action)
}

// stepInput collects the input of the next step. The caller must hold syncMu.
func (e *Escrow) stepInput(ctx context.Context) *stepInput {
	s := &stepInput{
		name:          e.self.Name,
		zone:          e.self.Zone,
		leaving:       e.sync.leaving,
		view:          e.config.Views(),
		divisions:     e.sync.divisions,
		fencedSince:   e.sync.fencedSince,
		hasReadOthers: e.sync.watchVersion >= e.sync.versions[e.self.Zone],
	}
	d := e.sync.divisions[e.self.Zone]
	if d != nil {
		s.isLeader, s.suspects = e.observeHolders(d)
	}
	if s.isLeader && !d.isConfirmed() {
		s.applied = e.queryApplied(ctx, d)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.now = e.now()
	s.incarnation = e.incarnation
	s.hasLent = e.ledger.HasLent(s.now)
	s.leaseUntil = e.ledger.leaseUntil
	return s
}

// writeDivision writes the division of a zone. A write with an unknown outcome
// needs no recovery: writes are conditional, later steps start from the state
// that the watch reports, and the lease is extended once the watch reports the
// nonce. The caller must hold syncMu.
func (e *Escrow) writeDivision(ctx context.Context, zone string, next *division, a action) error {
	next.Nonce = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	started := e.now()
	e.sync.writeStarts[next.Nonce] = started
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	e.metrics.writes.WithLabelValues(string(a)).Inc()
	object, err := e.config.Objects.Put(ctx, divisionKey(e.config.Environment, zone), value, e.sync.versions[zone])
	if err != nil {
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			delete(e.sync.writeStarts, next.Nonce)
		}
		if errors.Is(err, platform.ErrConflict) {
			e.sync.resyncAt = started
		}
		return err
	}
	e.config.Log.Infof("Wrote division of zone %s, generation %d: %s.", zone, next.Generation, a)
	e.applyObject(zone, object)
	e.applyOwnDivision()
	e.Notify()
	return nil
}
