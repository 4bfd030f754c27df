package environment

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Mesh methods.
const (
	methodStatus = "environment.status"
	methodFetch  = "environment.fetch"
	methodPush   = "environment.push"
)

// neverConfirmed is the confirmation age of a state that was never confirmed.
const neverConfirmed = -1

// statusRequest asks a peer for its status. Revision is the revision of the
// requester; if it is newer than the peer's, the peer may fetch the state from the
// requester. Only responses carry confirmations: the requester counts their age
// from the time it sent the request.
type statusRequest struct {
	Revision uint64 `msgpack:"r"`
}

// status is the response to a statusRequest. Ages are in milliseconds, rounded
// up, at the time of the response.
type status struct {
	Revision uint64 `msgpack:"r"`
	Nonce    string `msgpack:"n"`
	// ConfirmedAgeMS is the age of the newest confirmation, or neverConfirmed.
	ConfirmedAgeMS int64 `msgpack:"c"`
	// Authoritative reports whether the instance may report for its zone.
	Authoritative bool `msgpack:"e,omitempty"`
	// ReachesPlatform reports whether the instance itself reached the platform
	// within platformReachableTimeout.
	ReachesPlatform bool         `msgpack:"p,omitempty"`
	Zones           []zoneStatus `msgpack:"z,omitempty"`
}

// zoneStatus is a report of another zone that an instance relays.
type zoneStatus struct {
	Zone            string `msgpack:"z"`
	AgeMS           int64  `msgpack:"a"`
	Revision        uint64 `msgpack:"r"`
	ReachesPlatform bool   `msgpack:"p,omitempty"`
}

// fetchRequest asks for the whole state.
type fetchRequest struct{}

// stateMessage carries a whole state in the encoding stored in the platform.
type stateMessage struct {
	State []byte `msgpack:"s"`
}

// pushResponse carries the receiver's revision after a push.
type pushResponse struct {
	Revision uint64 `msgpack:"r"`
}

// encodeForPeers returns ErrTooLarge for a state that exceeds the platform's size
// limit. Every smaller state fits in a mesh frame.
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
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("a peer sent %d bytes", len(m.State)))
	}
	return decodeState(platform.Object{Value: m.State})
}

// ageMS returns an age that is rounded up, so that relayed information never
// appears newer than it is.
func ageMS(now, at time.Time) int64 {
	return max(0, now.Sub(at).Milliseconds()) + 1
}

func timeBefore(sentAt time.Time, ageMS int64) time.Time {
	return sentAt.Add(-time.Duration(ageMS) * time.Millisecond)
}
