package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

// State is the progress of a call under an idempotency key. It only moves
// claimed → sending → done or unknown. A claimed record whose lease has ended and
// an expired record can be taken over. A record is deleted if its call is known not
// to have run.
type State string

// States of a record.
const (
	// StateClaimed means that nothing has been sent to a target.
	StateClaimed State = "claimed"
	// StateSending means that the call may have been sent.
	StateSending State = "sending"
	// StateDone means that the call ran. The record holds its response unless that
	// was too large.
	StateDone State = "done"
	// StateUnknown means that the call may have run and that its response is lost.
	StateUnknown State = "unknown"
)

// Record is the value stored in the platform for one idempotency key.
type Record struct {
	State State `msgpack:"state"`
	// Nonce is random and identifies the claim. A holder recognizes its own writes
	// by it.
	Nonce  string `msgpack:"nonce"`
	Holder string `msgpack:"holder"`
	// RequestHash covers method, path, query and body.
	RequestHash []byte `msgpack:"request_hash"`
	// LeaseUntilMS is the end of the lease, in milliseconds since the epoch. From
	// then on, the holder counts as lost.
	LeaseUntilMS int64 `msgpack:"lease_until_ms"`
	// ExpiresMS is the end of the retention, in milliseconds since the epoch.
	ExpiresMS int64     `msgpack:"expires_ms"`
	Response  *Response `msgpack:"answer,omitempty"`
}

// Response is the stored response of a plain service.
type Response struct {
	Status int                 `msgpack:"status"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

// verdict is what a stored record means for a request under its key.
type verdict int

const (
	verdictClaimable verdict = iota
	verdictReplay
	verdictInProgress
	verdictUnknown
	verdictMismatch
)

// evaluate returns what record means for a request under the same key. The end of a
// lease is set by the wall clock of one instance and compared with that of another.
// A wrong clock can lead to an early takeover, which is safe because the write to
// StateSending is conditional, or to an early verdictUnknown, which is also correct
// because the call may have run.
func evaluate(record *Record, requestHash []byte, now time.Time) verdict {
	ms := now.UnixMilli()
	switch {
	case ms >= record.ExpiresMS:
		return verdictClaimable
	case string(record.RequestHash) != string(requestHash):
		return verdictMismatch
	case record.State == StateDone:
		return verdictReplay
	case record.State == StateUnknown:
		return verdictUnknown
	case ms < record.LeaseUntilMS:
		return verdictInProgress
	case record.State == StateClaimed:
		return verdictClaimable
	}
	return verdictUnknown
}

func (r *Record) encode() ([]byte, error) { return msgpack.Marshal(r) }

func decode(value []byte) (*Record, error) {
	var r Record
	err := msgpack.Unmarshal(value, &r)
	return &r, err
}

// isOwnWrite returns a function that reports whether value was written by the claim
// with nonce when it moved to state.
func isOwnWrite(nonce string, state State) func(value []byte) bool {
	return func(value []byte) bool {
		r, err := decode(value)
		return err == nil && r.Nonce == nonce && r.State == state
	}
}

// hashParts hashes a sequence of byte strings, each prefixed with its length, so
// that no two sequences have the same hash input.
func hashParts(parts ...[]byte) []byte {
	digest := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		digest.Write(size[:])
		digest.Write(p)
	}
	return digest.Sum(nil)
}

func requestHash(call *relay.ServiceCall) []byte {
	return hashParts([]byte(call.Method), []byte(call.Path), []byte(call.RawQuery), call.Body)
}

// Records are spread over partitions by key, so that a sweep lists only a few
// of them.
const (
	keyPrefix       = "idempotency/"
	partitionDigits = 3
	partitions      = 1 << (4 * partitionDigits)
)

// objectKey returns the key of a call's record in the platform. It is scoped by
// account and service and contains the caller's key only as part of a hash.
func objectKey(call *relay.ServiceCall) string {
	name := hex.EncodeToString(hashParts([]byte(call.Account), []byte(call.Service), []byte(call.IdempotencyKey)))
	return keyPrefix + name[:partitionDigits] + "/" + name
}

// storedHeaders are the response headers that are stored and replayed.
var storedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Cache-Control", "Retry-After",
}

func newResponse(reply *target.ServiceReply) *Response {
	header := make(map[string][]string)
	for _, name := range storedHeaders {
		if values := reply.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &Response{Status: reply.Status, Header: header, Body: reply.Body}
}

func (r *Response) reply() *target.ServiceReply {
	header := http.Header(r.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderReplayed, "true")
	return &target.ServiceReply{Status: r.Status, Header: header, Body: r.Body}
}
