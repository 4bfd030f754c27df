package quarantine

import (
	"sync"
	"time"
)

const (
	// confirmInterval is the time for which it is known that a run has ended.
	confirmInterval = time.Second
	// endDelay is the time for which a process that ends may still accept connections after
	// it has closed one. For as long it is known that a run has not ended, which bounds the
	// connections that are opened to a target.
	endDelay = 100 * time.Millisecond
)

// Confirmer confirms that runs of targets have ended. It is safe for concurrent use.
type Confirmer struct {
	// refuses reports whether an address refuses connections.
	refuses func(address string) bool
	mu      sync.Mutex
	checks  map[Run]*check
}

type check struct {
	at      time.Time
	done    chan struct{}
	refused bool
}

// NewConfirmer returns a confirmer that uses refuses to find out whether an address refuses
// connections.
func NewConfirmer(refuses func(address string) bool) *Confirmer {
	return &Confirmer{refuses: refuses, checks: make(map[Run]*check)}
}

// Ended reports whether a run, which broke off a connection, has ended: its address refuses
// new ones. Concurrent uses for the run share one check, and later ones its result for a
// while.
func (c *Confirmer) Ended(run Run, address string, now time.Time) bool {
	c.mu.Lock()
	for known, old := range c.checks {
		if !old.holds(now) {
			delete(c.checks, known)
		}
	}
	last := c.checks[run]
	if last != nil {
		c.mu.Unlock()
		<-last.done
		return last.refused
	}
	last = &check{at: now, done: make(chan struct{})}
	c.checks[run] = last
	c.mu.Unlock()
	last.refused = c.refuses(address)
	close(last.done)
	return last.refused
}

// EndedSoon is like Ended, but waits for a run that ends and still accepts connections.
func (c *Confirmer) EndedSoon(run Run, address string, now time.Time) bool {
	if c.Ended(run, address, now) {
		return true
	}
	time.Sleep(endDelay)
	return c.Ended(run, address, now.Add(endDelay))
}

// holds reports whether the result of the check, or its absence so far, still holds.
func (c *check) holds(now time.Time) bool {
	age := now.Sub(c.at)
	if age < endDelay {
		return true
	}
	select {
	case <-c.done:
		return c.refused && age < confirmInterval
	default:
		return true
	}
}
