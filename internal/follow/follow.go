// Package follow keeps the objects under one prefix of the store up to date at
// all instances, while only one of them watches the store: it relays what it
// learns to the others, and they look themselves once its word is overdue.
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
	// OverdueAfter is the time without word after which an instance looks itself,
	// beyond the wait of the watching one. Until then the next one has had the time to
	// notice that the watching one is not heard (1.3 s) and to look.
	OverdueAfter = 600 * time.Millisecond
	// checkEvery is the time between looks at whether word is overdue.
	checkEvery = 100 * time.Millisecond
	// watchEvery is the least time between two watches: changes that come in quick
	// succession are taken together. Each call of the store is priced.
	watchEvery = 200 * time.Millisecond
	// firstRetry and maxRetry bound the time between calls to a store that fails.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// patientRetry replaces maxRetry where another instance tries too and will tell.
	// It is below the time for which instances count as out of touch after an outage
	// (3 s and more).
	patientRetry = 2400 * time.Millisecond
)

// Sink takes what a follower learns. Its methods are never called side by side.
type Sink interface {
	// Replace takes all objects.
	Replace(list []platform.Object, now time.Time)
	// Change takes objects in the order of their changes; some may be deleted.
	Change(list []platform.Object, now time.Time)
}

// Config holds what a follower is made of.
type Config struct {
	Objects platform.Objects
	Prefix  string
	// Wait is how long a watch waits for a change. A store that has stopped
	// telling changes is noticed after it.
	Wait time.Duration
	Sink Sink
	// Watching reports whether this instance is the one that watches.
	Watching func() bool
	// Leading reports whether this instance is the one that the others wait for while
	// the store does not answer any.
	Leading func() bool
	// Relay sends a word to the other instances, if they take this one's.
	Relay func(w Update)
	// OnFailure and OnSuccess learn whether the store answers.
	OnFailure func(err error)
	OnSuccess func(now time.Time)
	Log       log.Interface
}

// Follower follows the objects under one prefix. It is safe for concurrent use.
//
// Invariant: the sink has seen all changes up to version, and never an object
// older than one it has seen.
type Follower struct {
	Config
	now  func() time.Time
	poke chan struct{}

	// apply serialises calls of the sink. Lock order: apply before mu.
	apply sync.Mutex

	mu      sync.Mutex
	version uint64
	seen    map[string]uint64
	// confirmedAt is when the objects were last known to be complete.
	confirmedAt time.Time
	// behind is set if a word was missed.
	behind bool
}

// New returns a follower that knows nothing.
func New(c Config) *Follower {
	return &Follower{Config: c, now: time.Now, poke: make(chan struct{}, 1), seen: make(map[string]uint64)}
}

// Version returns the version of the store up to which all changes are known.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Confirmed returns the version of the store up to which all changes are known, and how
// long ago that was confirmed.
func (f *Follower) Confirmed() (version uint64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.now().Sub(f.confirmedAt)
}

// Refresh has the store looked up at once: a peer has heard of something newer.
func (f *Follower) Refresh() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// Apply takes a word of the instance that watches.
func (f *Follower) Apply(w Update) {
	f.apply.Lock()
	defer f.apply.Unlock()
	f.mu.Lock()
	known := f.version
	if !w.Full && w.From > known {
		f.behind = true
		f.mu.Unlock()
		f.Refresh()
		return
	}
	if known > 0 && w.To <= known {
		// All of it is known: several instances watch for a while after the store
		// was away, and their words overlap.
		if w.To == known {
			f.confirmedAt, f.behind = f.now(), false
		}
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	f.take(w.List(), w.Full, w.To)
}

// take requires f.apply. It hands objects to the sink.
func (f *Follower) take(list []platform.Object, full bool, to uint64) {
	now := f.now()
	if full {
		f.Sink.Replace(list, now)
	}
	f.mu.Lock()
	if full {
		f.seen = make(map[string]uint64, len(list))
	}
	var changed []platform.Object
	for _, o := range list {
		// A deletion may bear the version of the last change.
		if !full && (uint64(o.Version) < f.seen[o.Key] || uint64(o.Version) <= f.version && !o.Deleted) {
			continue
		}
		f.seen[o.Key] = uint64(o.Version)
		changed = append(changed, o)
	}
	f.version = max(f.version, to)
	f.confirmedAt, f.behind = now, false
	f.mu.Unlock()
	if !full && len(changed) > 0 {
		f.Sink.Change(changed, now)
	}
}

// Run follows the objects until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	watched := false
	for ctx.Err() == nil {
		watching := f.Watching()
		// The first look after another one has watched does not wait: the others
		// have been without word for a while.
		wait := f.Wait
		if watching && !watched {
			wait = 0
		}
		if watching != watched {
			f.Log.WithFields(log.Fields{"prefix": f.Prefix, "watches": watching, "version": f.Version()}).Info("follow: Turn to watch for all changed.")
		}
		watched = watching
		if !watching && !f.overdue() {
			f.rest(ctx)
			continue
		}
		err := f.look(ctx, watching, wait)
		switch {
		case err == nil:
			retry.Reset()
			f.OnSuccess(f.now())
		case ctx.Err() == nil:
			f.OnFailure(err)
			retry.MaxInterval = patientRetry
			if f.Leading() {
				retry.MaxInterval = maxRetry
			}
			pause.For(ctx, min(retry.NextBackOff(), retry.MaxInterval))
		}
	}
	return ctx.Err()
}

// rest waits for the next check.
func (f *Follower) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.poke:
		f.mu.Lock()
		f.behind = true
		f.mu.Unlock()
	case <-time.After(checkEvery):
	}
}

// overdue reports whether the instance has to look itself.
func (f *Follower) overdue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind || f.confirmedAt.IsZero() || f.now().Sub(f.confirmedAt) > f.Wait+OverdueAfter
}

// look asks the store once: for all objects, or, if this instance watches and
// knows them, for changes.
func (f *Follower) look(ctx context.Context, watching bool, wait time.Duration) error {
	f.mu.Lock()
	known := f.version > 0 && !f.behind
	f.mu.Unlock()
	if !known || !watching {
		return f.list(ctx)
	}
	err := f.watch(ctx, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.Log.WithField("prefix", f.Prefix).Info("follow: History gone, listing anew.")
		return f.list(ctx)
	}
	return err
}

func (f *Follower) list(ctx context.Context) error {
	list, version, err := f.Objects.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.apply.Lock()
	defer f.apply.Unlock()
	if uint64(version) < f.Version() {
		// A word that is newer than this list arrived meanwhile.
		return nil
	}
	f.take(list, true, uint64(version))
	f.relay(list, true, 0, uint64(version))
	return nil
}

// watch waits for changes once, or until it is told to hurry.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	from := f.Version()
	waitCtx, cancel := context.WithCancel(ctx)
	hurried := make(chan bool, 1)
	go func() {
		select {
		case <-f.poke:
			cancel()
			hurried <- true
		case <-waitCtx.Done():
			hurried <- false
		}
	}()
	started := f.now()
	changes, version, err := f.Objects.Changes(waitCtx, f.Prefix, platform.Version(from), wait)
	cancel()
	if <-hurried && err != nil && ctx.Err() == nil {
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.apply.Lock()
	f.take(changes, false, uint64(version))
	f.relay(changes, false, from, uint64(version))
	f.apply.Unlock()
	pause.For(ctx, watchEvery-f.now().Sub(started))
	return nil
}

func (f *Follower) relay(list []platform.Object, full bool, from, to uint64) {
	w := Update{Prefix: f.Prefix, Full: full, From: from, To: to}
	for _, o := range list {
		w.Objects = append(w.Objects, ObjectOf(o))
	}
	f.Relay(w)
}

// NameOf returns the last part of a key.
func NameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}
