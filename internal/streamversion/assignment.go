// Package streamversion tells which software version began a stream. What two versions
// write does not fit together, so that a stream goes on only at targets of the version that
// began it, also at an instance that has just started.
//
// Most streams need no record: the version of a new one follows from its key and from the
// assignment, the weights of the versions, which all instances share and the store keeps.
// Streams that were begun at another version, or whose version changes with the assignment,
// are recorded, told to peers and stored.
package streamversion

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights are the numbers of targets of each software version of a service.
type Weights map[string]int

// Assignment decides which version begins a new stream. It is replaced as a whole.
type Assignment struct {
	// Revision rises with each assignment.
	Revision uint64 `json:"revision" msgpack:"r"`
	// SinceMS is when it came into force, in Unix milliseconds by the clock of its writer.
	SinceMS int64 `json:"since_ms" msgpack:"s"`
	// AgeMS is how long ago that was, when a status or snapshot was sent.
	AgeMS    int64              `json:"-" msgpack:"a,omitempty"`
	Services map[string]Weights `json:"services" msgpack:"v"`
}

const (
	// maxTotal is the sum to which larger weights are scaled down. It bounds the time of a
	// decision.
	maxTotal = 64
	// reweighRatio is the change of a version's share, up or down, from which weights are
	// replaced. Each replacement moves streams between versions, away from their caches.
	reweighRatio = 1.5
)

// choose returns the version of a key by weighted rendezvous hashing: a change of the
// weights moves as few keys as possible.
func (w Weights) choose(key uint64) (version string, ok bool) {
	var best uint64
	for v, weight := range w {
		seed := xxhash.Sum64String(v)
		for n := range weight {
			if rank := mix(seed+uint64(n), key); !ok || rank > best || rank == best && v < version {
				best, version, ok = rank, v, true
			}
		}
	}
	return version, ok
}

func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}

func (w Weights) total() int {
	sum := 0
	for _, n := range w {
		sum += n
	}
	return sum
}

// scaled returns the weights with a sum of about maxTotal at most.
func (w Weights) scaled() Weights {
	out, total := make(Weights, len(w)), max(maxTotal, w.total())
	for v, n := range w {
		out[v] = max(1, n*maxTotal/total)
	}
	return out
}

// differs reports whether the weights of a service have to be replaced by newest ones.
func (w Weights) differs(newest Weights) bool {
	if len(w) != len(newest) {
		return true
	}
	for v, n := range w {
		if newest[v] == 0 {
			return true
		}
		before, after := float64(n)/float64(w.total()), float64(newest[v])/float64(newest.total())
		if after > before*reweighRatio || before > after*reweighRatio {
			return true
		}
	}
	return false
}

// next returns the assignment for the targets that serve now, or false if the current one
// still holds. A service without targets keeps its weights: its targets may return.
func next(current Assignment, serving map[string]Weights, now time.Time) (Assignment, bool) {
	out := Assignment{Revision: current.Revision + 1, SinceMS: now.UnixMilli(), Services: maps.Clone(current.Services)}
	if out.Services == nil {
		out.Services = make(map[string]Weights)
	}
	changed := false
	for service, weights := range serving {
		if weights.total() > 0 && current.Services[service].differs(weights) {
			out.Services[service] = weights.scaled()
			changed = true
		}
	}
	return out, changed
}

// History holds the assignments that may have begun streams which are still taken up, the
// current one first.
type History []Assignment

// current returns the assignment in force, the zero one if there is none.
func (h History) current() Assignment {
	if len(h) == 0 {
		return Assignment{}
	}
	return h[0]
}

// after returns the history with a further assignment in force.
func (h History) after(a Assignment, now time.Time) History {
	out := History{a}
	for n, former := range h {
		if n > 0 && now.Sub(time.UnixMilli(h[n-1].SinceMS)) > 2*streamAge {
			// It was replaced so long ago that no stream of it is taken up.
			break
		}
		out = append(out, former)
	}
	return out
}
