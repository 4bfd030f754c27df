package idempotency

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pauses between the claims that are tried while the platform fails.
const (
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
)

// gateState tells when the platform may be asked again. The zero value lets
// all claims through.
type gateState struct {
	failures int
	until    time.Time
}

// admits reports whether a claim may be tried. While the platform fails, one
// claim is let through for each pause.
func (g *gateState) admits(now time.Time) bool {
	if g.failures == 0 {
		return true
	}
	if now.Before(g.until) {
		return false
	}
	g.until = now.Add(maxPause)
	return true
}

func (g *gateState) succeeded() { *g = gateState{} }

// failed begins a pause between half and the whole of an exponentially growing
// bound. The jitter is from 0 to 1.
func (g *gateState) failed(now time.Time, jitter float64) {
	bound := maxPause
	if g.failures < 4 {
		bound = firstPause << g.failures
	}
	g.failures++
	g.until = now.Add(bound/2 + time.Duration(jitter*float64(bound/2)))
}

// gate refuses claims at once while the platform fails, so that callers do not
// wait for it and its return meets no burst of calls. It is safe for concurrent use.
type gate struct {
	clock clockwork.Clock

	mu    sync.Mutex
	state gateState
}

func (g *gate) admits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.admits(g.clock.Now())
}

// note records whether the platform answered a claim.
func (g *gate) note(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered {
		g.state.succeeded()
		return
	}
	g.state.failed(g.clock.Now(), rand.Float64())
}
