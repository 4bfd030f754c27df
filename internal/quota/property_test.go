package quota_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

// TestBound takes random steps under random faults and checks every window of
// the test's own log of admissions against the documents.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 2, 1)
		w.chance(0)
		m := &machine{world: w}
		if rapid.Bool().Draw(t, "calm start") {
			w.accept(w.document(rate, burst))
			w.learn()
			w.settle()
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			m.step(t)
		}
		m.heal(t)
		for _, account := range []string{"a", "b"} {
			if found := w.overdraft(account); found != "" {
				t.Fatal(found)
			}
		}
	})
}

// machine draws the steps.
type machine struct {
	world *world
}

func (m *machine) node(t *rapid.T) *node {
	return m.world.nodes[rapid.IntRange(0, len(m.world.nodes)-1).Draw(t, "instance")]
}

func (m *machine) step(t *rapid.T) {
	w := m.world
	steps := []func(*rapid.T){
		m.demand, m.demand, m.demand, m.exhaust, m.exhaust, m.end, m.end,
		m.sync, m.sync, m.sync, m.syncAll,
		m.pass, m.pass, m.passLong,
		m.fail, m.fail, m.cut, m.platform, m.change, m.learn,
	}
	steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
	for _, n := range w.nodes {
		if n.left {
			n.sync()
		}
	}
}

func (m *machine) demand(t *rapid.T) {
	n := m.node(t)
	if n.dead || n.paused {
		return
	}
	account := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "account")
	tokens := rapid.Int64Range(1, 2500).Draw(t, "tokens")
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		_, _ = n.reserve(account, tokens)
	}
}

// maxExhausting bounds the requests of one instance in one step: late answers
// make time pass, which brings more tokens.
const maxExhausting = 100

// exhaust takes what every running instance gives.
func (m *machine) exhaust(t *rapid.T) {
	tokens := rapid.Int64Range(20, 300).Draw(t, "tokens")
	for _, n := range m.world.nodes {
		for range maxExhausting {
			if n.dead || n.paused {
				break
			}
			if _, err := n.reserve("a", tokens); err != nil {
				break
			}
		}
	}
}

// end settles some running requests.
func (m *machine) end(t *rapid.T) {
	for _, a := range m.world.log {
		if a.held != nil && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
			a.end(rapid.Int64Range(0, a.tokens).Draw(t, "used"))
		}
	}
}

func (m *machine) sync(t *rapid.T) { m.node(t).sync() }

func (m *machine) syncAll(*rapid.T) {
	for _, n := range m.world.nodes {
		n.sync()
	}
}

func (m *machine) pass(t *rapid.T) {
	m.world.clock.Advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) passLong(t *rapid.T) {
	m.world.clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
}

// fail crashes, restarts, pauses, wakes or stops an instance.
func (m *machine) fail(t *rapid.T) {
	n := m.node(t)
	switch {
	case n.dead:
		n.start()
	case n.paused:
		n.paused = false
	case n.left:
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
			n.left = true
		}
	}
}

func (m *machine) cut(t *rapid.T) {
	zone := rapid.SampledFrom(m.world.zones).Draw(t, "zone")
	m.world.network.CutZone(zone, rapid.Bool().Draw(t, "cut"))
	a, b := m.node(t), m.node(t)
	m.world.network.Cut(a.name, b.name, rapid.Bool().Draw(t, "pair cut"))
	m.world.chance(rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "faulty"))
}

func (m *machine) platform(t *rapid.T) {
	m.world.store.SetFaults(platformstandin.Faults{
		Outage:          rapid.IntRange(0, 2).Draw(t, "outage") == 0,
		LoseAnswers:     rapid.IntRange(0, 2).Draw(t, "lost"),
		LoseAnswerShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost share"),
		StaleReads:      rapid.IntRange(0, 2).Draw(t, "stale") == 0,
		CutZones:        rapid.SliceOfN(rapid.SampledFrom(m.world.zones), 0, 1).Draw(t, "cut zones"),
	})
}

// change accepts a document with other rates, accounts or zones in service.
func (m *machine) change(t *rapid.T) {
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

func (m *machine) learn(t *rapid.T) { m.node(t).view = m.world.accepted }

// heal ends all faults, waits for every lease to end, and checks that the whole
// burst of an account can then be reserved at one instance.
func (m *machine) heal(t *rapid.T) {
	w := m.world
	w.store.SetFaults(platformstandin.Faults{})
	w.chance(0)
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			w.network.Cut(a.name, b.name, false)
		}
		if a.dead || a.left {
			a.crash()
			a.start()
		}
		a.paused = false
	}
	w.accept(w.document(rate, burst))
	w.learn()
	w.settle()
	w.clock.Advance(15 * time.Second)
	w.settle()
	w.clock.Advance(longest)
	w.settle()
	w.retire()
	w.clock.Advance(longest)
	w.settle()
	if _, err := w.nodes[0].reserve("a", burst*99/100); err != nil {
		t.Fatalf("no tokens after the faults ended: %v: %+v", err, w.nodes[0].escrow.Shares())
	}
}
