// Package trial keeps documents that operators try before they promote them.
// A trial is evaluated on a copy of the decision state beside the document in
// force; promotion puts exactly the tried document in force.
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
	// ErrOutdated means that another document has come in force since the trial.
	ErrOutdated = merry.Sentinel("trial: another document came in force since the trial")
	// ErrUnavailable means that the platform did not answer; nothing was changed.
	ErrUnavailable = merry.Sentinel("trial: platform unavailable")
	// ErrTooLarge means that the document exceeds the platform's limit.
	ErrTooLarge = merry.Sentinel("trial: document exceeds 1 MiB")
)

// kept is the number of trials kept; older ones are deleted.
const kept = 20

const writeTimeout = 10 * time.Second

// Trial is a document being tried.
type Trial struct {
	ID string `json:"id"`
	// BaseSHA256 identifies the document in force that the trial was compared
	// with.
	BaseSHA256   string               `json:"base_sha256"`
	BaseRevision uint64               `json:"base_revision"`
	SHA256       string               `json:"sha256"`
	Document     environment.Document `json:"document"`
	Operator     string               `json:"operator"`
	AtMS         int64                `json:"at_ms"`
}

// EnvironmentStore is the part of environment.Store that trials use.
type EnvironmentStore interface {
	View() *environment.View
	Change(ctx context.Context, operator, action string, onRevision uint64, edit func(*environment.State) error) (*environment.State, error)
}

// Trials keeps the trials of one environment. It is safe for concurrent use.
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

// Start keeps a checked document as a trial against the document in force.
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
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = platform.PutSettled(ctx, t.objects, t.clock, t.prefix()+trial.ID, value, 0, func(stored []byte) bool {
		return string(stored) == string(value)
	})
	if err != nil {
		return nil, fromPlatform(err)
	}
	t.deleteOld(ctx)
	return trial, nil
}

// Get returns the trial with the identifier.
func (t *Trials) Get(ctx context.Context, id string) (*Trial, error) {
	object, err := t.objects.Get(ctx, t.prefix()+id)
	if err != nil {
		return nil, fromPlatform(err)
	}
	var trial Trial
	if err := json.Unmarshal(object.Value, &trial); err != nil {
		return nil, merry.Prepend(err, "trial: decode")
	}
	return &trial, nil
}

// Promote puts the tried document in force. It returns ErrOutdated if another
// document came in force since the trial. Promoting a trial again returns the
// state that holds it.
func (t *Trials) Promote(ctx context.Context, operator, id string) (*environment.State, error) {
	trial, err := t.Get(ctx, id)
	if err != nil {
		return nil, err
	}
	if state := t.store.View().State; state.TrialID == id {
		return state, nil
	}
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

// prune drops decisions on zones and targets that the document lacks.
func prune(state *environment.State) {
	view := environment.NewView(state, time.Time{})
	state.TargetsLeaving = slices.DeleteFunc(state.TargetsLeaving, func(name string) bool { return view.Target(name) == nil })
	state.ZonesOut = slices.DeleteFunc(state.ZonesOut, func(name string) bool {
		return !state.Document.HasZone(name)
	})
}

// deleteOld deletes all but the newest trials. A failure leaves them for the
// next time.
func (t *Trials) deleteOld(ctx context.Context) {
	objects, _, err := t.objects.List(ctx, t.prefix())
	if err != nil || len(objects) <= kept {
		return
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return int(int64(a.Version) - int64(b.Version)) })
	for _, o := range objects[:len(objects)-kept] {
		_ = t.objects.Delete(ctx, o.Key, o.Version)
	}
}

// Digest identifies a document by its content.
func Digest(d *environment.Document) string {
	data, err := json.Marshal(d)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func fromPlatform(err error) error {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return merry.Wrap(ErrNotFound)
	case errors.Is(err, platform.ErrTooLarge):
		return merry.Wrap(ErrTooLarge)
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}

// names joins names for messages.
func names(list []string) string { return strings.Join(list, ", ") }
