// Package trial stores documents that operators evaluate before promoting them.
// A trial is evaluated on a copy of the configuration and leaves the current
// document unchanged. Promotion makes exactly the document of the trial current.
package trial

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// Errors of trials.
var (
	// ErrNotFound means that there is no trial with the identifier.
	ErrNotFound = merry.Sentinel("trial: not found")
	// ErrOutdated means that the current document is no longer the one on which
	// the trial is based.
	ErrOutdated = merry.Sentinel("trial: another document came in force since the trial")
	// ErrUnavailable means that the platform did not carry out a read or write of
	// a trial, or that the outcome is unknown. The current document is unchanged.
	ErrUnavailable = merry.Sentinel("trial: platform unavailable")
	// ErrTooLarge means that the trial exceeds the platform's size limit.
	ErrTooLarge = merry.Sentinel("trial: document exceeds 1 MiB")
)

// maxTrials is the number of trials that are kept. Older trials are deleted.
const maxTrials = 20

const startTimeout = 10 * time.Second

// Trial is a document under trial.
type Trial struct {
	ID string `json:"id"`
	// BaseSHA256 identifies the document that was current when the trial started.
	BaseSHA256   string               `json:"base_sha256"`
	BaseRevision uint64               `json:"base_revision"`
	SHA256       string               `json:"sha256"`
	Document     environment.Document `json:"document"`
	Operator     string               `json:"operator"`
	AtMS         int64                `json:"at_ms"`
}

// EnvironmentStore is the subset of environment.Store that trials use.
type EnvironmentStore interface {
	View() *environment.View
	Change(ctx context.Context, operator, action string, onRevision uint64, edit func(*environment.State) error) (*environment.State, error)
}

// Trials manages the trials of one environment. It is safe for concurrent use.
type Trials struct {
	name    string
	store   EnvironmentStore
	objects platform.Objects
	clock   clockwork.Clock
}

// New returns the trials of the named environment.
func New(name string, store EnvironmentStore, objects platform.Objects, clock clockwork.Clock) *Trials {
	return &Trials{name: name, store: store, objects: objects, clock: clock}
}

func (t *Trials) prefix() string { return "environments/" + t.name + "/trials/" }

// Start validates the document and stores it as a trial based on the current
// document.
func (t *Trials) Start(ctx context.Context, operator string, document *environment.Document) (*Trial, error) {
	if err := document.Validate(); err != nil {
		return nil, err
	}
	state := t.store.View().State
	trial := &Trial{
		ID:           uuid.NewString(),
		BaseSHA256:   Digest(&state.Document),
		BaseRevision: state.Revision,
		SHA256:       Digest(document),
		Document:     *document,
		Operator:     operator,
		AtMS:         t.clock.Now().UnixMilli(),
	}
	value, err := json.Marshal(trial)
	if err != nil {
		return nil, merry.Prepend(err, "trial: encode")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err = platform.PutSettled(ctx, t.objects, t.clock, t.prefix()+trial.ID, value, 0, func(stored []byte) bool {
		return string(stored) == string(value)
	})
	if err != nil {
		return nil, wrapPlatformError(err)
	}
	t.deleteOld(ctx)
	return trial, nil
}

// Get returns the trial with the identifier.
func (t *Trials) Get(ctx context.Context, id string) (*Trial, error) {
	object, err := t.objects.Get(ctx, t.prefix()+id)
	if err != nil {
		return nil, wrapPlatformError(err)
	}
	var trial Trial
	if err := json.Unmarshal(object.Value, &trial); err != nil {
		return nil, merry.Prepend(err, "trial: decode")
	}
	return &trial, nil
}

// Promote makes the document of the trial current. It returns ErrOutdated if the
// current document is no longer the one on which the trial is based. If the trial
// is already promoted and still current, it returns the current configuration.
func (t *Trials) Promote(ctx context.Context, operator, id string) (*environment.State, error) {
	trial, err := t.Get(ctx, id)
	if err != nil {
		return nil, err
	}
	if state := t.store.View().State; state.TrialID == id {
		return state, nil
	}
	// The 0 accepts any revision: changes of other parts, such as keys, do not
	// outdate a trial. The edit checks the document itself.
	return t.store.Change(ctx, operator, "promote trial "+id, 0, func(state *environment.State) error {
		if Digest(&state.Document) != trial.BaseSHA256 {
			return merry.Wrap(ErrOutdated, merry.AppendMessagef("revision %d, %s by %s", state.Revision, state.Change.Action, state.Change.Operator))
		}
		state.Document = trial.Document
		state.TrialID = id
		prune(state)
		return nil
	})
}

// prune drops from TargetsLeaving and ZonesOut, the lists of what is out of
// service, the names that the document does not list.
func prune(state *environment.State) {
	view := environment.NewView(state, time.Time{})
	state.TargetsLeaving = slices.DeleteFunc(state.TargetsLeaving, func(name string) bool { return view.Target(name) == nil })
	state.ZonesOut = slices.DeleteFunc(state.ZonesOut, func(name string) bool {
		return !state.Document.HasZone(name)
	})
}

// deleteOld deletes all but the newest maxTrials trials. Trials that it fails to
// delete remain until the next call.
func (t *Trials) deleteOld(ctx context.Context) {
	objects, _, err := t.objects.List(ctx, t.prefix())
	if err != nil || len(objects) <= maxTrials {
		return
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return int(int64(a.Version) - int64(b.Version)) })
	for _, o := range objects[:len(objects)-maxTrials] {
		_ = t.objects.Delete(ctx, o.Key, o.Version)
	}
}

// Digest returns the SHA-256 hash of the document's JSON encoding in hexadecimal,
// which identifies the document by its content.
func Digest(d *environment.Document) string {
	data, err := json.Marshal(d)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func wrapPlatformError(err error) error {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return merry.Wrap(ErrNotFound)
	case errors.Is(err, platform.ErrTooLarge):
		return merry.Wrap(ErrTooLarge)
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}

func joinNames(list []string) string { return strings.Join(list, ", ") }
