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
	// watchWait is how long one watch call waits for changes of divisions.
	watchWait = 10 * time.Second
	// rereadInterval is the time between readings of all divisions.
	rereadInterval = 10 * time.Minute
	// actInterval is the time between looks at members and the environment.
	actInterval = 250 * time.Millisecond
	// writeTimeout bounds one write of a division.
	writeTimeout = 5 * time.Second
	// keptTimeout bounds the answer of a holder about what it keeps.
	keptTimeout = 200 * time.Millisecond
	// minRetry and maxRetry bound the time between tries to reach the platform.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// syncState is what an instance knows of the divisions.
type syncState struct {
	all      divisions
	versions map[string]platform.Version
	after    platform.Version
	// rereadAt is when all divisions are read again: a stale answer may have
	// shown an older state of one beside a newer one of another.
	rereadAt time.Time
	// writes holds the writes that proved or may prove the instance to be a
	// holder, by nonce, with the time at which they began.
	writes      map[string]time.Time
	fencedSince map[string]time.Time
	unseenSince map[string]time.Time
	// held tells that the incarnation stands in the newest division known.
	held    bool
	leaving bool
}

func newSyncState() syncState {
	return syncState{
		all:         make(divisions),
		versions:    make(map[string]platform.Version),
		writes:      make(map[string]time.Time),
		fencedSince: make(map[string]time.Time),
		unseenSince: make(map[string]time.Time),
	}
}

// Run follows the divisions until ctx ends.
func (e *Escrow) Run(ctx context.Context) error {
	go e.actRegularly(ctx)
	go e.returnRegularly(ctx)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetry
	retry.MaxInterval = maxRetry
	for ctx.Err() == nil {
		if err := e.Follow(ctx, watchWait); err == nil {
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

// actRegularly acts on each change and at each interval. Failed writes back off.
func (e *Escrow) actRegularly(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetry
	retry.MaxInterval = maxRetry
	for {
		wait := actInterval
		if err := e.Act(ctx); err != nil {
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

// Notify makes the loop look at once, for example at a new environment.
func (e *Escrow) Notify() {
	select {
	case e.notified <- struct{}{}:
	default:
	}
}

// Follow waits at most wait for changes of any zone's division and takes them
// over.
func (e *Escrow) Follow(ctx context.Context, wait time.Duration) error {
	e.syncMu.Lock()
	if now := e.now(); !now.Before(e.sync.rereadAt) {
		e.sync.after = 0
		e.sync.rereadAt = now.Add(rereadInterval)
	}
	after := e.sync.after
	e.syncMu.Unlock()
	prefix := divisionPrefix(e.config.Environment)
	objects, _, err := e.config.Objects.Changes(ctx, prefix, after, wait)
	if err != nil {
		return err
	}
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	for _, o := range objects {
		e.takeObject(o.Key[len(prefix):], o)
		e.sync.after = max(e.sync.after, o.Version)
	}
	e.apply()
	return nil
}

// takeObject requires syncMu. Objects older than the known ones are ignored.
func (e *Escrow) takeObject(zone string, o platform.Object) {
	if o.Version <= e.sync.versions[zone] {
		return
	}
	d := &division{}
	if !o.Deleted {
		var err error
		if d, err = decodeDivision(o.Value); err != nil {
			e.config.Log.Errorf("Division of zone %s not readable: %v.", zone, err)
			return
		}
	}
	e.sync.versions[zone] = o.Version
	e.sync.all[zone] = d
}

// apply requires syncMu. It makes the ledger keep the newest division of the
// own zone.
func (e *Escrow) apply() {
	d := e.sync.all[e.self.Zone]
	if d == nil {
		return
	}
	e.noteFenced(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	own := d.holder(e.incarnation)
	e.noteHeld(own != nil)
	if own == nil || own.Fenced {
		e.ledger.Drop(now)
		e.keptGeneration = 0
		return
	}
	if started, ok := e.sync.writes[d.Nonce]; ok && !e.sync.leaving {
		e.ledger.ExtendLease(started.Add(leaseDuration))
		clear(e.sync.writes)
	}
	if e.applyClaims(now, d, own) {
		e.keptGeneration = d.Generation
	}
}

// noteHeld requires mu. An incarnation that was a holder and is none any more
// never becomes one again.
func (e *Escrow) noteHeld(isHolder bool) {
	if e.sync.held && !isHolder {
		e.incarnation = uuid.NewString()
	}
	e.sync.held = isHolder
}

// applyClaims requires mu. It reports whether the ledger keeps the division.
func (e *Escrow) applyClaims(now time.Time, d *division, own *holder) bool {
	kept := true
	for i := range d.Claims {
		c := &d.Claims[i]
		share := own.shareOf(c)
		if !d.isSettled() {
			present := e.ledger.Share(c.Account)
			share = Share{Rate: min(share.Rate, present.Rate), Burst: min(share.Burst, present.Burst)}
		}
		kept = e.ledger.SetShare(now, c.Account, share, c.startsFull(own) && d.isSettled()) && kept
		e.metrics.rate.WithLabelValues(c.Account).Set(share.Rate)
		e.metrics.burst.WithLabelValues(c.Account).Set(share.Burst)
	}
	for _, name := range e.ledger.Accounts() {
		if _, ok := d.find(name); !ok {
			kept = e.ledger.SetShare(now, name, Share{}, false) && kept
		}
	}
	return kept
}

// noteFenced requires syncMu.
func (e *Escrow) noteFenced(d *division) {
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
	e.metrics.pending.Set(float64(d.pending()))
}

// Act makes the next write of the zone's division, if one is due.
func (e *Escrow) Act(ctx context.Context) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	e.apply()
	s := e.situation(ctx)
	next, action := s.step()
	if action == actionNone {
		return nil
	}
	return e.write(ctx, e.self.Zone, next, action)
}

// situation requires syncMu.
func (e *Escrow) situation(ctx context.Context) *situation {
	s := &situation{
		name:        e.self.Name,
		zone:        e.self.Zone,
		leaving:     e.sync.leaving,
		view:        e.config.Views(),
		all:         e.sync.all,
		fencedSince: e.sync.fencedSince,
		isCurrent:   e.sync.after >= e.sync.versions[e.self.Zone],
	}
	d := e.sync.all[e.self.Zone]
	if d != nil {
		s.isLead, s.suspects = e.watchHolders(d)
	}
	if s.isLead && !d.isSettled() {
		s.kept = e.askKept(ctx, d)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.now = e.now()
	s.incarnation = e.incarnation
	s.hasLent = e.ledger.HasLent(s.now)
	s.leaseUntil = e.ledger.leaseUntil
	return s
}

// write requires syncMu. A write whose answer is lost needs no settling: it is
// conditional, later steps start from what the watch shows, and its nonce
// extends the lease once the watch shows it.
func (e *Escrow) write(ctx context.Context, zone string, next *division, a action) error {
	next.Nonce = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	started := e.now()
	e.sync.writes[next.Nonce] = started
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	e.metrics.writes.WithLabelValues(string(a)).Inc()
	object, err := e.config.Objects.Put(ctx, divisionKey(e.config.Environment, zone), value, e.sync.versions[zone])
	if err != nil {
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			delete(e.sync.writes, next.Nonce)
		}
		if errors.Is(err, platform.ErrConflict) {
			e.sync.rereadAt = started
		}
		return err
	}
	e.config.Log.Infof("Division of zone %s at generation %d: %s.", zone, next.Generation, a)
	e.takeObject(zone, object)
	e.apply()
	e.Notify()
	return nil
}
