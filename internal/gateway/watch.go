package gateway

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// watchWait is how long a watch of the store waits for a change. A watch
	// whose connection went silent is noticed after it; peers that hear of a
	// newer version have it looked up sooner.
	watchWait = 5 * time.Second
	// firstRetry and maxRetry bound the time between calls to a store that fails.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
)

// Source names what operators and targets write to the store, and reads it.
type Source struct {
	ConfigPrefix     string
	ConfigKey        string
	TargetPrefix     string
	EvacuationPrefix string
	DecodeConfig     func(value []byte) (*catalog.State, error)
	DecodeTarget     func(id string, value []byte) (fleet.Announcement, error)
}

// watcher follows the objects under one prefix.
type watcher struct {
	objects platform.Objects
	prefix  string
	log     log.Interface
	// replace takes a complete list, change a single object.
	replace func(list []platform.Object, now time.Time)
	change  func(o platform.Object, now time.Time)
	// lost and back learn of the store.
	lost func(err error)
	back func(now time.Time)

	mu      sync.Mutex
	version platform.Version
	poke    chan struct{}
}

func newWatcher(objects platform.Objects, prefix string, logger log.Interface) *watcher {
	return &watcher{objects: objects, prefix: prefix, log: logger, poke: make(chan struct{}, 1)}
}

// at returns the version of the store up to which all changes are known.
func (w *watcher) at() platform.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// hurry ends a waiting watch: a peer has heard of a newer version.
func (w *watcher) hurry() {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

// run lists the objects and follows their changes until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, maxRetry
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = w.list(ctx)
			listed = err == nil
		} else {
			err = w.follow(ctx)
			if errors.Is(err, platform.ErrHistoryGone) {
				w.log.WithField("prefix", w.prefix).Info("gateway: History gone, listing anew.")
				listed = false
				continue
			}
		}
		if err == nil {
			retry.Reset()
			w.back(time.Now())
			continue
		}
		if ctx.Err() != nil {
			break
		}
		w.lost(err)
		if !pause(ctx, retry.NextBackOff()) {
			break
		}
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *watcher) list(ctx context.Context) error {
	list, version, err := w.objects.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.replace(list, time.Now())
	w.mu.Lock()
	w.version = version
	w.mu.Unlock()
	return nil
}

// follow waits for changes once.
func (w *watcher) follow(ctx context.Context) error {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	hurried := make(chan struct{})
	go func() {
		defer close(hurried)
		select {
		case <-w.poke:
			cancel()
		case <-waitCtx.Done():
		}
	}()
	changes, version, err := w.objects.Changes(waitCtx, w.prefix, w.at(), watchWait)
	cut := err != nil && waitCtx.Err() != nil && ctx.Err() == nil
	cancel()
	<-hurried
	if cut {
		changes, version, err = w.objects.Changes(ctx, w.prefix, w.at(), 0)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	for _, o := range changes {
		w.change(o, now)
	}
	w.mu.Lock()
	w.version = max(w.version, version)
	w.mu.Unlock()
	return nil
}

// nameOf returns the last part of a key.
func nameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}
