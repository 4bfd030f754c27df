// Package trace reads, writes and generates traces of callers' requests: JSON
// Lines with a header and one record a request. Generated traces follow the
// words of the users' brief; they are made, not recorded.
package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
)

// Version of the format.
const Version = 1

// ErrFormat means that a trace cannot be read. Its message names the line.
var ErrFormat = merry.Sentinel("trace: bad format")

const maxLineBytes = 1 << 20

// Kind is the kind of a request.
type Kind string

// Kinds of request.
const (
	KindChat    Kind = "chat"
	KindService Kind = "service"
)

// Header is the first line of a trace.
type Header struct {
	Version    int    `json:"version"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	// Made is set for generated traces.
	Made bool `json:"made"`
}

// Record is one request.
type Record struct {
	// AtMS is the arrival in milliseconds from the start of the trace.
	AtMS    int64  `json:"at_ms"`
	Account string `json:"account"`
	Kind    Kind   `json:"kind"`
	// Model is the model or adapter of a chat request.
	Model string `json:"model,omitempty"`
	// Class is "interactive" or "batch".
	Class      string `json:"class,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	// PromptTokens and GeneratedTokens are the true sizes; the prompt holds about
	// four bytes a token.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	GeneratedTokens int `json:"generated_tokens,omitempty"`
	// PrefixGroup names requests that share the first PrefixTokens of prompt.
	PrefixGroup  string `json:"prefix_group,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	// Service, Method and Path describe a call of a plain service.
	Service string `json:"service,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`
	// Idempotent is false for calls that must run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Trace is a whole trace. Records are ordered by arrival.
type Trace struct {
	Header  Header
	Records []Record
}

// Read reads a trace.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var t Trace
	for line := 1; scanner.Scan(); line++ {
		if line == 1 {
			if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil || t.Header.Version != Version {
				return nil, merry.Wrap(ErrFormat, merry.AppendMessagef("line 1: want a header of version %d", Version))
			}
			continue
		}
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, merry.Wrap(ErrFormat, merry.AppendMessagef("line %d: %v", line, err))
		}
		if n := len(t.Records); n > 0 && record.AtMS < t.Records[n-1].AtMS {
			return nil, merry.Wrap(ErrFormat, merry.AppendMessagef("line %d: arrival before the line above", line))
		}
		t.Records = append(t.Records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, merry.Wrap(ErrFormat, merry.WithCause(err))
	}
	return &t, nil
}

// Write writes a trace.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return merry.Prepend(err, "trace: write")
	}
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return merry.Prepend(err, "trace: write")
		}
	}
	return buffered.Flush()
}
