package quota_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

// TestBound runs random steps with random faults. It then checks for every time
// window that the admissions recorded by the test are within the limits of the
// documents.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 2, 1)
		w.setFaultRate(0)
		m := &stateMachine{world: w}
		if rapid.Bool().Draw(t, "calm start") {
			w.accept(w.document(rate, burst))
			w.deliverDocument()
			w.converge()
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			m.step(t)
		}
		m.checkRecovery(t)
		for _, account := range []string{"a", "b"} {
			if found := w.findViolation(account); found != "" {
				t.Fatal(found)
			}
		}
	})
}

// stateMachine draws random steps.
type stateMachine struct {
	world *world
}

func (m *stateMachine) drawNode(t *rapid.T) *node {
	return m.world.nodes[rapid.IntRange(0, len(m.world.nodes)-1).Draw(t, "instance")]
}

func (m *stateMachine) step(t *rapid.T) {
	w := m.world
	steps := []func(*rapid.T){
		m.reserve, m.reserve, m.exhaust, m.exhaust, m.exhaust, m.exhaust, m.settleSome, m.settleSome,
		m.sync, m.sync, m.sync, m.syncAll,
		m.advance, m.advance, m.advanceLong,
		m.changeInstance, m.changeInstance, m.partition, m.setPlatformFaults, m.changeDocument, m.deliverDocument,
	}
	steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
	// A leaving instance keeps trying to release its shares until it ends.
	for _, n := range w.nodes {
		if n.leaving {
			n.sync()
		}
	}
}

func (m *stateMachine) reserve(t *rapid.T) {
	n := m.drawNode(t)
	if n.crashed || n.paused {
		return
	}
	account := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "account")
	tokens := rapid.Int64Range(1, 2500).Draw(t, "tokens")
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		_, _ = n.reserve(account, tokens)
	}
}

// maxExhaustRequests bounds the requests to one instance in one step. Delayed
// responses advance the clock, which adds more tokens.
const maxExhaustRequests = 100

// exhaust reserves tokens at every running instance until it refuses.
func (m *stateMachine) exhaust(t *rapid.T) {
	tokens := rapid.Int64Range(20, 300).Draw(t, "tokens")
	for _, n := range m.world.nodes {
		for range maxExhaustRequests {
			if n.crashed || n.paused {
				break
			}
			if _, err := n.reserve("a", tokens); err != nil {
				break
			}
		}
	}
}

// settleSome settles some requests in flight.
func (m *stateMachine) settleSome(t *rapid.T) {
	for _, a := range m.world.admissions {
		if a.reservation != nil && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
			a.settle(rapid.Int64Range(0, a.tokens).Draw(t, "used"))
		}
	}
}

func (m *stateMachine) sync(t *rapid.T) { m.drawNode(t).sync() }

func (m *stateMachine) syncAll(*rapid.T) {
	for _, n := range m.world.nodes {
		n.sync()
	}
}

func (m *stateMachine) advance(t *rapid.T) {
	m.world.clock.Advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) advanceLong(t *rapid.T) {
	m.world.clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
}

// changeInstance crashes, restarts, pauses, resumes or shuts down an instance.
func (m *stateMachine) changeInstance(t *rapid.T) {
	n := m.drawNode(t)
	switch {
	case n.crashed:
		n.start()
	case n.paused:
		n.paused = false
	case n.leaving:
		n.crash()
	default:
		switch rapid.IntRange(0, 2).Draw(t, "failure") {
		case 0:
			n.crash()
		case 1:
			n.paused = true
		case 2:
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			n.escrow.Leave(ctx)
			n.leaving = true
		}
	}
}

func (m *stateMachine) partition(t *rapid.T) {
	zone := rapid.SampledFrom(m.world.zones).Draw(t, "zone")
	m.world.network.SetZonePartition(zone, rapid.Bool().Draw(t, "cut"))
	a, b := m.drawNode(t), m.drawNode(t)
	m.world.network.SetPartition(a.name, b.name, rapid.Bool().Draw(t, "pair cut"))
	m.world.setFaultRate(rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "faulty"))
}

func (m *stateMachine) setPlatformFaults(t *rapid.T) {
	m.world.store.SetFaults(platformstandin.Faults{
		Outage:          rapid.IntRange(0, 2).Draw(t, "outage") == 0,
		LoseAnswers:     rapid.IntRange(0, 2).Draw(t, "lost"),
		LoseAnswerShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost share"),
		StaleReads:      rapid.IntRange(0, 2).Draw(t, "stale") == 0,
		CutZones:        rapid.SliceOfN(rapid.SampledFrom(m.world.zones), 0, 1).Draw(t, "cut zones"),
	})
}

// changeDocument accepts a document with other rates, accounts or zones in
// service.
func (m *stateMachine) changeDocument(t *rapid.T) {
	w := m.world
	d := w.document(rapid.Int64Range(50, 1000).Draw(t, "rate"), rapid.Int64Range(1000, 9000).Draw(t, "burst"))
	if rapid.Bool().Draw(t, "has b") {
		d.Accounts = append(d.Accounts, environment.Account{Name: "b", RateTokensPerSecond: 300, BurstTokens: 3000})
	}
	if rapid.IntRange(0, 3).Draw(t, "without a") == 0 {
		d.Accounts = d.Accounts[1:]
	}
	out := rapid.SliceOfNDistinct(rapid.SampledFrom(w.zones), 0, 2, rapid.ID[string]).Draw(t, "zones out")
	w.accept(d, out...)
}

func (m *stateMachine) deliverDocument(t *rapid.T) { m.drawNode(t).view = m.world.accepted }

// checkRecovery ends all faults, waits for every lease to end, and checks that
// 99% of the burst of an account can then be reserved at one instance.
func (m *stateMachine) checkRecovery(t *rapid.T) {
	w := m.world
	w.store.SetFaults(platformstandin.Faults{})
	w.setFaultRate(0)
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			w.network.SetPartition(a.name, b.name, false)
		}
		if a.crashed || a.leaving {
			a.crash()
			a.start()
		}
		a.paused = false
	}
	w.accept(w.document(rate, burst))
	w.deliverDocument()
	w.converge()
	w.clock.Advance(15 * time.Second)
	w.converge()
	w.clock.Advance(freedShareDelay)
	w.converge()
	w.endReplaced()
	w.clock.Advance(freedShareDelay)
	w.converge()
	if err := m.reserveUninterrupted("a", burst*99/100); err != nil {
		t.Fatalf("no tokens after the faults ended: %v: %+v", err, w.nodes[0].escrow.Shares())
	}
}

const (
	// realLoanTimeout is the timeout of one loan request, the shortest of the
	// timeouts of a reservation. They run on the real clock, all else does not.
	realLoanTimeout = 30 * time.Millisecond
	// slowPeerTime exceeds the time for which a peer that timed out is not asked.
	slowPeerTime = 1100 * time.Millisecond
	// maxInterrupted is the number of reservations that may be interrupted.
	maxInterrupted = 3
)

// reserveUninterrupted reserves tokens at the first instance. It retries a
// refused reservation only if that took so much real time that a loan request
// can have timed out because the process was not running. Before the retry, it
// advances the clock until the peer is asked again.
func (m *stateMachine) reserveUninterrupted(account string, tokens int64) error {
	for interrupted := 0; ; interrupted++ {
		begun := time.Now()
		_, err := m.world.nodes[0].reserve(account, tokens)
		if err == nil || time.Since(begun) < realLoanTimeout || interrupted == maxInterrupted {
			return err
		}
		m.world.clock.Advance(slowPeerTime)
	}
}
