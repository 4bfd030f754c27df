package quarantine

import (
	"sync"
	"time"
)

// confirmInterval is the time for which a confirmation holds. It bounds the connections
// that are opened to a target.
const confirmInterval = time.Second

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
// new ones. Concurrent and later uses for the run share one check.
func (c *Confirmer) Ended(run Run, address string, now time.Time) bool {
	c.mu.Lock()
	for known, old := range c.checks {
		if now.Sub(old.at) >= confirmInterval {
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
