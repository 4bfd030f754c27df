package platform

import (
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrEraEnded means that an answer of the store belongs to an era that has ended. What
// it shows may be gone, and a write that it acknowledges is.
var ErrEraEnded = merry.Sentinel("platform: era of the store has ended")

// Era counts how often the store came back from a copy of itself. What was written
// between the copy and the return is gone, and revisions are given out again. A store
// that never does so stays in era 0.
type Era uint16

// revisionBits is the number of low bits of a Version that hold the revision. The era
// in the bits above them orders all versions of an era before those of the next.
const revisionBits = 48

// NewVersion returns the version of a revision in an era. Revision 0 stands for an
// object that does not exist in that era.
func NewVersion(era Era, revision uint64) Version {
	return Version(uint64(era)<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision that the store gave out in that era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// Eras is the newest era of the store that an instance knows of, from answers of the
// store and from its peers. It is safe for concurrent use.
type Eras struct {
	mu       sync.Mutex
	current  Era
	known    bool
	onChange []func(before, now Era)
}

// NewEras returns Eras that know of none.
func NewEras() *Eras { return &Eras{} }

// OnChange adds a function that is called once for each era that follows a known one.
// It must be called before the first Learn.
func (e *Eras) OnChange(f func(before, now Era)) { e.onChange = append(e.onChange, f) }

// Hear records the era of something that a peer sent, and returns ErrEraEnded if a newer
// one is known. A peer that knows of no era sends 0.
func (e *Eras) Hear(era Era) error {
	if era == 0 && !e.Known() {
		return nil
	}
	return e.Learn(era)
}

// Learn records the era of an answer of the store, and returns ErrEraEnded if a newer one
// is known.
func (e *Eras) Learn(era Era) error {
	e.mu.Lock()
	if e.known && era < e.current {
		e.mu.Unlock()
		return merry.Wrap(ErrEraEnded)
	}
	before, changed := e.current, e.known && era > e.current
	e.current, e.known = era, true
	e.mu.Unlock()
	if changed {
		for _, f := range e.onChange {
			f(before, era)
		}
	}
	return nil
}

// Current returns the newest known era, 0 if none is known.
func (e *Eras) Current() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Known reports whether any era is known.
func (e *Eras) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}
