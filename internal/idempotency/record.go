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
// claimed → sending → done or unknown; a claimed or expired record can be taken
// over, and a record whose call is known not to have run is deleted.
type State string

// States of a record.
const (
	// StateClaimed means that nothing has been sent to a target.
	StateClaimed State = "claimed"
	// StateSending means that the call may have been sent.
	StateSending State = "sending"
	// StateDone means that the answer is kept in the record.
	StateDone State = "done"
	// StateUnknown means that the call may have run and that its answer is lost.
	StateUnknown State = "unknown"
)

// Record is the value kept in the platform under one idempotency key.
type Record struct {
	State State `msgpack:"state"`
	// Nonce is random and names the claim; a holder finds its own writes by it.
	Nonce  string `msgpack:"nonce"`
	Holder string `msgpack:"holder"`
	// RequestHash covers method, path, query and body.
	RequestHash []byte `msgpack:"request_hash"`
	// LeaseUntilMS is the time, in milliseconds since the epoch, after which the
	// holder counts as lost.
	LeaseUntilMS int64 `msgpack:"lease_until_ms"`
	// ExpiresMS is the end of retention, in milliseconds since the epoch.
	ExpiresMS int64   `msgpack:"expires_ms"`
	Answer    *Answer `msgpack:"answer,omitempty"`
}

// Answer is the stored answer of a plain service.
type Answer struct {
	Status int                 `msgpack:"status"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

// verdict is what a stored record means for a request under its key.
type verdict int

const (
	verdictTake verdict = iota
	verdictReplay
	verdictInProgress
	verdictUnknown
	verdictMismatch
)

// judge decides what becomes of a request that finds record under its key.
// Leases are compared across instances' wall clocks: a wrong clock can lead to
// an early takeover, which the conditional write to StateSending makes safe,
// or to an early verdictUnknown, which is true as well.
func judge(record *Record, requestHash []byte, now time.Time) verdict {
	ms := now.UnixMilli()
	switch {
	case ms >= record.ExpiresMS:
		return verdictTake
	case string(record.RequestHash) != string(requestHash):
		return verdictMismatch
	case record.State == StateDone:
		return verdictReplay
	case record.State == StateUnknown:
		return verdictUnknown
	case ms < record.LeaseUntilMS:
		return verdictInProgress
	case record.State == StateClaimed:
		return verdictTake
	}
	return verdictUnknown
}

func (r *Record) encode() ([]byte, error) { return msgpack.Marshal(r) }

func decode(value []byte) (*Record, error) {
	var r Record
	err := msgpack.Unmarshal(value, &r)
	return &r, err
}

// isWrite reports whether value is the write of the claim with nonce that led
// to state.
func isWrite(nonce string, state State) func(value []byte) bool {
	return func(value []byte) bool {
		r, err := decode(value)
		return err == nil && r.Nonce == nonce && r.State == state
	}
}

// hashParts hashes a sequence of strings so that no two sequences share an
// encoding.
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

// Keys of records are spread over partitions, so that a sweep lists few.
const (
	keyPrefix       = "idempotency/"
	partitionDigits = 3
	partitions      = 1 << (4 * partitionDigits)
)

// objectKey is scoped by account and service and does not show the caller's
// key.
func objectKey(call *relay.ServiceCall) string {
	name := hex.EncodeToString(hashParts([]byte(call.Account), []byte(call.Service), []byte(call.IdempotencyKey)))
	return keyPrefix + name[:partitionDigits] + "/" + name
}

// keptHeaders are the headers of an answer that are stored and replayed.
var keptHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Cache-Control", "Retry-After",
}

func newAnswer(reply *target.ServiceReply) *Answer {
	header := make(map[string][]string)
	for _, name := range keptHeaders {
		if values := reply.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &Answer{Status: reply.Status, Header: header, Body: reply.Body}
}

func (a *Answer) reply() *target.ServiceReply {
	header := http.Header(a.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderReplayed, "true")
	return &target.ServiceReply{Status: a.Status, Header: header, Body: a.Body}
}
