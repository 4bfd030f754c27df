package environment

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Methods over the mesh.
const (
	methodStatus = "environment.status"
	methodFetch  = "environment.fetch"
	methodPush   = "environment.push"
)

// neverConfirmed is the confirmation age of an instance that never heard one.
const neverConfirmed = -1

// statusRequest asks for a status and tells the revision of the one who asks,
// who may have a newer one to fetch. It confirms nothing: only answers do, since
// their age can be counted from when they were asked for.
type statusRequest struct {
	Revision uint64 `msgpack:"r"`
}

// status is what an instance knows. Ages are in milliseconds, rounded up, at the
// time of the answer.
type status struct {
	Revision uint64 `msgpack:"r"`
	Nonce    string `msgpack:"n"`
	// ConfirmedAgeMS is neverConfirmed without a confirmation.
	ConfirmedAgeMS int64 `msgpack:"c"`
	// Entitled tells that the instance may answer for its zone.
	Entitled bool `msgpack:"e,omitempty"`
	// ReachesPlatform tells that the instance itself lately reached the platform.
	ReachesPlatform bool         `msgpack:"p,omitempty"`
	Zones           []zoneStatus `msgpack:"z,omitempty"`
}

// zoneStatus is a statement of another zone that an instance passes on.
type zoneStatus struct {
	Zone            string `msgpack:"z"`
	AgeMS           int64  `msgpack:"a"`
	Revision        uint64 `msgpack:"r"`
	ReachesPlatform bool   `msgpack:"p,omitempty"`
}

// fetchRequest asks for the whole state.
type fetchRequest struct{}

// stateMessage carries a whole state as it stands in the platform.
type stateMessage struct {
	State []byte `msgpack:"s"`
}

// pushAnswer tells the revision in force after a push.
type pushAnswer struct {
	Revision uint64 `msgpack:"r"`
}

// encodeForPeers refuses a state that the platform could not hold either; frames
// of the mesh have room for every other one.
func encodeForPeers(state *State) (*stateMessage, error) {
	data, err := json.Marshal(state)
	if err != nil {
		return nil, merry.Prepend(err, "environment: state for peers")
	}
	if len(data) > platform.MaxValueBytes {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes are not passed to peers", len(data)))
	}
	return &stateMessage{State: data}, nil
}

func (m *stateMessage) decode() (*State, error) {
	if len(m.State) > platform.MaxValueBytes {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes were offered by a peer", len(m.State)))
	}
	return decodeState(platform.Object{Value: m.State})
}

// ageMS rounds up, so that what is passed on never looks younger than it is.
func ageMS(now, at time.Time) int64 {
	return max(0, now.Sub(at).Milliseconds()) + 1
}

func timeOf(asked time.Time, ageMS int64) time.Time {
	return asked.Add(-time.Duration(ageMS) * time.Millisecond)
}
