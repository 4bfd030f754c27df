// Package platform is the port to the platform's object API and its list of
// instances. Adapters, such as httpplatform, translate one wire protocol; the
// rest of the system depends on this package alone.
package platform

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Errors of the platform layer. Adapters wrap every failure in exactly one of
// them.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = merry.Sentinel("platform: object not found")
	// ErrConflict means that a conditional write met another version and had
	// no effect.
	ErrConflict = merry.Sentinel("platform: version conflict")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = merry.Sentinel("platform: unavailable")
	// ErrThrottled means that the call exceeded the platform's rate and had no
	// effect.
	ErrThrottled = merry.Sentinel("platform: rate limited")
	// ErrOutcomeUnknown means that a write was sent but its answer was lost, so
	// that it may or may not have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("platform: outcome of write unknown")
	// ErrHistoryGone means that the changes asked for are no longer kept, so
	// that the objects have to be listed anew.
	ErrHistoryGone = merry.Sentinel("platform: history is gone")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = merry.Sentinel("platform: value exceeds 1 MiB")
)

// Version orders the writes of the whole store. Zero means that an object does
// not exist.
type Version uint64

// Object is one stored value. Deleted is set only in results of Changes.
type Object struct {
	Key     string
	Value   []byte
	Version Version
	Deleted bool
}

// Objects is the object API. All methods are safe for concurrent use.
type Objects interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose keys start with prefix, ordered by key, and
	// the version of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put writes value if the current version of the object equals expected;
	// expected 0 creates the object. It returns ErrConflict otherwise.
	Put(ctx context.Context, key string, value []byte, expected Version) (Object, error)
	// Delete removes the object if its current version equals expected.
	Delete(ctx context.Context, key string, expected Version) error
	// Changes waits at most wait for objects under prefix with a version above
	// after, and returns them, deletions included, with the version of the
	// store. An empty result means that nothing changed.
	Changes(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Object, Version, error)
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// States of an instance in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// InstanceRecord is one entry of the platform's list of instances.
type InstanceRecord struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"`
	MeshAddress string        `json:"mesh_address"`
	State       InstanceState `json:"state"`
}

// Instances is the platform's list of instances. The list lags behind the
// truth and may be empty after an outage.
type Instances interface {
	Instances(ctx context.Context) ([]InstanceRecord, error)
}
