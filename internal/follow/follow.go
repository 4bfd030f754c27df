// Package follow keeps the objects under one prefix of the store up to date at all
// instances, while only one instance, the watcher, watches the store. The watcher
// relays updates to the other instances. They query the store themselves when updates
// are overdue.
package follow

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// OverdueAfter is how long after the end of the watcher's wait an instance without
	// an update queries the store itself. With a wait of 1 s, that is 1.6 s after the
	// last update. By then another instance has had time to notice that the watcher is
	// unreachable (1.3 s) and to query the store.
	OverdueAfter = 600 * time.Millisecond
	// overdueCheckInterval is the time between checks whether an update is overdue.
	overdueCheckInterval = 100 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watches. Changes
	// in quick succession are fetched together, because each call to the store is
	// priced.
	minWatchInterval = 200 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the time between calls to a failing
	// store.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// standbyMaxRetryDelay replaces maxRetryDelay if another instance retries too and
	// will relay updates. It is below the time that instances have after an outage to
	// be up to date again (3 s or more).
	standbyMaxRetryDelay = 2400 * time.Millisecond
)

// Sink receives the objects of a follower. Its methods are never called concurrently.
type Sink interface {
	// Replace replaces all objects.
	Replace(list []platform.Object, now time.Time)
	// Change applies changed objects in the order of their changes. Some may be
	// deleted.
	Change(list []platform.Object, now time.Time)
}

// Config holds the settings and dependencies of a follower.
type Config struct {
	Objects platform.Objects
	Prefix  string
	// Wait is how long a watch waits for a change. It bounds the delay if the store
	// silently stops reporting changes.
	Wait time.Duration
	Sink Sink
	// Watching reports whether this instance is the watcher.
	Watching func() bool
	// Leading reports whether the other instances rely on this one to retry while the
	// store answers no instance.
	Leading func() bool
	// Relay sends an update to the other instances, if this instance is the one whose
	// updates they receive.
	Relay func(u Update)
	// OnFailure and OnSuccess are called after each failed or successful query of the
	// store.
	OnFailure func(err error)
	OnSuccess func(now time.Time)
	Log       log.Interface
}

// Follower follows the objects under one prefix. It is safe for concurrent use.
//
// Invariant: the sink has received all changes up to version, and never an object older
// than one it has received before.
type Follower struct {
	Config
	now     func() time.Time
	refresh chan struct{}

	// sinkMu serializes calls of the sink. Lock order: sinkMu before mu.
	sinkMu sync.Mutex

	mu      sync.Mutex
	version uint64
	// seenVersions is the newest delivered version of each key.
	seenVersions map[string]uint64
	// confirmedAt is when the objects were last known to be complete.
	confirmedAt time.Time
	// stale is set if an update was missed, or if Refresh was called between two
	// checks.
	stale bool
}

// New returns a follower without objects.
func New(c Config) *Follower {
	return &Follower{Config: c, now: time.Now, refresh: make(chan struct{}, 1), seenVersions: make(map[string]uint64)}
}

// Version returns the version of the store up to which all changes are known.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Confirmed returns the version of the store up to which all changes are known, and the
// time since that was last confirmed.
func (f *Follower) Confirmed() (version uint64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.now().Sub(f.confirmedAt)
}

// Refresh makes Run query the store at once, as when a peer reports something newer.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Apply applies an update of the watcher.
func (f *Follower) Apply(u Update) {
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	f.mu.Lock()
	known := f.version
	if !u.Full && u.From > known {
		f.stale = true
		f.mu.Unlock()
		f.Refresh()
		return
	}
	if known > 0 && u.To <= known {
		// All of it is known already. After an outage of the store, several instances
		// watch for a while and their updates overlap.
		if u.To == known {
			f.confirmedAt, f.stale = f.now(), false
		}
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	f.deliver(u.List(), u.Full, u.To)
}

// deliver requires f.sinkMu. It passes objects to the sink.
func (f *Follower) deliver(list []platform.Object, full bool, to uint64) {
	now := f.now()
	if full {
		f.Sink.Replace(list, now)
	}
	f.mu.Lock()
	if full {
		f.seenVersions = make(map[string]uint64, len(list))
	}
	var changed []platform.Object
	for _, o := range list {
		// A deletion may have the version of the last change of its object, which may
		// be known already.
		if !full && (uint64(o.Version) < f.seenVersions[o.Key] || uint64(o.Version) <= f.version && !o.Deleted) {
			continue
		}
		f.seenVersions[o.Key] = uint64(o.Version)
		changed = append(changed, o)
	}
	f.version = max(f.version, to)
	f.confirmedAt, f.stale = now, false
	f.mu.Unlock()
	if !full && len(changed) > 0 {
		f.Sink.Change(changed, now)
	}
}

// Run follows the objects until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryDelay
	wasWatching := false
	for ctx.Err() == nil {
		watching := f.Watching()
		// The first query after this instance has become the watcher doesn't wait,
		// because the other instances have received no update for a while.
		wait := f.Wait
		if watching && !wasWatching {
			wait = 0
		}
		if watching != wasWatching {
			f.Log.WithFields(log.Fields{"prefix": f.Prefix, "watches": watching, "version": f.Version()}).Info("follow: Store watcher role changed.")
		}
		wasWatching = watching
		if !watching && !f.overdue() {
			f.waitForCheck(ctx)
			continue
		}
		err := f.query(ctx, watching, wait)
		switch {
		case err == nil:
			retry.Reset()
			f.OnSuccess(f.now())
		case ctx.Err() == nil:
			f.OnFailure(err)
			retry.MaxInterval = standbyMaxRetryDelay
			if f.Leading() {
				retry.MaxInterval = maxRetryDelay
			}
			pause.For(ctx, min(retry.NextBackOff(), retry.MaxInterval))
		}
	}
	return ctx.Err()
}

// waitForCheck waits for the next check.
func (f *Follower) waitForCheck(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.refresh:
		f.mu.Lock()
		f.stale = true
		f.mu.Unlock()
	case <-time.After(overdueCheckInterval):
	}
}

// overdue reports whether this instance has to query the store itself.
func (f *Follower) overdue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stale || f.confirmedAt.IsZero() || f.now().Sub(f.confirmedAt) > f.Wait+OverdueAfter
}

// query queries the store once: for changes if this instance is the watcher and has all
// objects, for all objects otherwise.
func (f *Follower) query(ctx context.Context, watching bool, wait time.Duration) error {
	f.mu.Lock()
	upToDate := f.version > 0 && !f.stale
	f.mu.Unlock()
	if !upToDate || !watching {
		return f.list(ctx)
	}
	err := f.watch(ctx, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.Log.WithField("prefix", f.Prefix).Info("follow: Change history no longer available, listing all objects.")
		return f.list(ctx)
	}
	return err
}

func (f *Follower) list(ctx context.Context) error {
	list, version, err := f.Objects.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	if uint64(version) < f.Version() {
		// A newer update than this list arrived in the meantime.
		return nil
	}
	f.deliver(list, true, uint64(version))
	f.relay(list, true, 0, uint64(version))
	return nil
}

// watch waits for changes once, or until Refresh is called, after which it lists all
// objects.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	from := f.Version()
	waitCtx, cancel := context.WithCancel(ctx)
	refreshed := make(chan bool, 1)
	go func() {
		select {
		case <-f.refresh:
			cancel()
			refreshed <- true
		case <-waitCtx.Done():
			refreshed <- false
		}
	}()
	started := f.now()
	changes, version, err := f.Objects.Changes(waitCtx, f.Prefix, platform.Version(from), wait)
	cancel()
	if <-refreshed && err != nil && ctx.Err() == nil {
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.sinkMu.Lock()
	f.deliver(changes, false, uint64(version))
	f.relay(changes, false, from, uint64(version))
	f.sinkMu.Unlock()
	pause.For(ctx, minWatchInterval-f.now().Sub(started))
	return nil
}

func (f *Follower) relay(list []platform.Object, full bool, from, to uint64) {
	u := Update{Prefix: f.Prefix, Full: full, From: from, To: to}
	for _, o := range list {
		u.Objects = append(u.Objects, ObjectOf(o))
	}
	f.Relay(u)
}

// NameOf returns the part of a key after its first slash.
func NameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}
