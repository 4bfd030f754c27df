package routing

import (
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

// Baseline picks targets by one simple policy, without limits for cold targets,
// ejection or cache affinity. Comparisons use it as the baseline for Router. It
// is safe for concurrent use.
type Baseline struct {
	snapshot func() *inventory.Snapshot
	clock    clockwork.Clock
	// roundRobin selects round robin instead of least outstanding.
	roundRobin bool

	mu       sync.Mutex
	inFlight map[string]int
	turn     int
}

// NewLeastOutstanding returns a baseline that picks the target with the fewest
// calls of this instance in flight.
func NewLeastOutstanding(snapshot func() *inventory.Snapshot, clock clockwork.Clock) *Baseline {
	return &Baseline{snapshot: snapshot, clock: clock, inFlight: make(map[string]int)}
}

// NewRoundRobin returns a baseline that picks targets round robin.
func NewRoundRobin(snapshot func() *inventory.Snapshot, clock clockwork.Clock) *Baseline {
	b := NewLeastOutstanding(snapshot, clock)
	b.roundRobin = true
	return b
}

// Pick reserves a slot on the target that the policy selects. It returns
// ErrNoCapacity if that target is full; with round robin, others may have capacity.
func (b *Baseline) Pick(request Request) (*Slot, error) {
	eligible := b.eligible(request)
	if len(eligible) == 0 {
		return nil, merry.Wrap(ErrNoTarget)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen := b.choose(eligible)
	if b.inFlight[chosen.Name] >= chosen.Concurrency {
		return nil, merry.Wrap(ErrNoCapacity)
	}
	b.inFlight[chosen.Name]++
	return NewSlot(chosen, func(Outcome) { b.release(chosen.Name) }), nil
}

func (b *Baseline) eligible(request Request) []*environment.Target {
	snapshot := b.snapshot()
	states := snapshot.Serving(request.Served)
	if request.Service != "" {
		states = snapshot.ServiceTargets(request.Service)
	}
	now := b.clock.Now()
	var out []*environment.Target
	for _, s := range states {
		isEngine := s.Target.Kind == environment.TargetEngine
		if snapshot.View.IsTargetOut(s.Target) || (isEngine && !s.IsFresh(now)) || slices.Contains(request.Exclude, s.Target.Name) {
			continue
		}
		out = append(out, s.Target)
	}
	return out
}

// choose requires b.mu.
func (b *Baseline) choose(eligible []*environment.Target) *environment.Target {
	if b.roundRobin {
		b.turn++
		return eligible[b.turn%len(eligible)]
	}
	return slices.MinFunc(eligible, func(x, y *environment.Target) int {
		return b.inFlight[x.Name] - b.inFlight[y.Name]
	})
}

func (b *Baseline) release(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[name]--
}
