package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/call"
)

// Request identifies what a caller asks for. Calls of one account with the same method,
// host, path with query and body are the same request.
type Request struct {
	// Head is a hash of all but the body, and of the length of the body. It is never 0 in
	// a request that is set.
	Head uint64
	// ID is a hash of all. Callers cannot find another request with a given ID.
	ID uint64
	// InPrompt is set if the call has a prompt and no body, so that the prompt tells what it
	// asks for.
	InPrompt bool
	// OnTrial is set if the call is the trial of the request.
	OnTrial bool
}

// suspect returns the request as a suspect without crashes.
func (r Request) suspect() suspect {
	if r.InPrompt {
		return suspect{id: r.ID, head: r.Head, depth: depthOfRequestInPrompt}
	}
	return suspect{id: r.ID, head: r.Head, depth: depthOfRequest}
}

// HeadOf returns the Head of the request that a call of an account makes. The account is
// empty on anonymous routes. The body of the call has been read.
func HeadOf(account string, c *call.Call) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	writeString := func(s string) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(s)
	}
	for _, s := range [...]string{account, c.Method, c.Host, c.URI} {
		writeString(s)
	}
	binary.LittleEndian.PutUint64(length[:], uint64(len(c.Body)))
	_, _ = d.Write(length[:])
	return max(1, d.Sum64())
}

// RequestOf returns the request that a call of an account makes. It reads the whole body.
func RequestOf(account string, c *call.Call) Request {
	h := sha256.New()
	var length [8]byte
	for _, s := range [...]string{account, c.Method, c.Host, c.URI} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(s))
	}
	_, _ = h.Write(c.Body)
	return Request{Head: HeadOf(account, c), ID: binary.LittleEndian.Uint64(h.Sum(nil)), InPrompt: len(c.Body) == 0 && len(c.Prefix) > 0}
}
