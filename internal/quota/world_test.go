package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world runs instances in one process with a shared fake clock.
type world struct {
	clock   *clockwork.FakeClock
	store   *platformstandin.Store
	network *meshtest.Network
	random  *rand.Rand
	nodes   []*node
	zones   []string
	// accepted is the view of the newest accepted document. Instances receive it
	// later.
	accepted   *environment.View
	admissions []*admission
	periods    []*period
	// responseDelay returns the delay of a response over the mesh. If it is nil,
	// responses are not delayed.
	responseDelay func() time.Duration
}

// node is one instance.
type node struct {
	world   *world
	name    string
	zone    string
	member  *meshtest.Member
	escrow  *quota.Escrow
	view    *environment.View
	paused  bool
	crashed bool
	leaving bool
}

// admission is an admitted request as recorded by the test.
type admission struct {
	account     string
	at          time.Time
	tokens      int64
	reservation quota.Reservation
}

// period is the time during which instances may apply a document.
type period struct {
	document   environment.Document
	acceptedAt time.Time
	endedAt    time.Time
	isReplaced bool
}

func newWorld(seed uint64, perZone ...int) *world {
	w := &world{
		clock:   clockwork.NewFakeClockAt(epoch),
		network: meshtest.NewNetwork(),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	w.store = platformstandin.NewStore(w.clock, seed)
	w.store.SetRates(1e9, 1e9)
	for z, n := range perZone {
		zone := fmt.Sprintf("zone-%d", z+1)
		w.zones = append(w.zones, zone)
		for i := range n {
			w.nodes = append(w.nodes, &node{world: w, name: fmt.Sprintf("%s-%d", zone, i+1), zone: zone})
		}
	}
	w.accepted = environment.NewView(&environment.State{}, epoch)
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (n *node) start() {
	w := n.world
	n.member = w.network.Join(n.name, n.zone)
	n.view, n.paused, n.crashed, n.leaving = w.accepted, false, false, false
	n.escrow = quota.New(quota.Config{
		Environment: "test",
		Mesh:        delayingMesh{n.member, w},
		Objects:     w.store,
		Views:       func() *environment.View { return n.view },
		Members:     n.members,
		Clock:       w.clock,
		Log:         &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		Metrics:     prometheus.NewRegistry(),
		Random:      rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	})
}

func (n *node) members() []membership.Member {
	out := []membership.Member{{Name: n.name, Zone: n.zone}}
	for _, p := range n.member.Peers() {
		if other := n.world.node(p.Name); !other.paused {
			out = append(out, membership.Member{Name: p.Name, Zone: p.Zone})
		}
	}
	return out
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (n *node) crash() {
	n.crashed = true
	n.world.network.Leave(n.name)
}

// sync makes the instance poll, reconcile and return loans once.
func (n *node) sync() {
	if n.crashed || n.paused {
		return
	}
	ctx := platformstandin.WithZone(context.Background(), n.zone)
	_ = n.escrow.Poll(ctx, 0)
	_ = n.escrow.Reconcile(ctx)
	n.escrow.ReturnLoans(ctx)
}

// converge syncs every instance often enough for the divisions to converge.
func (w *world) converge() {
	for range 12 * len(w.nodes) {
		for _, n := range w.nodes {
			n.sync()
		}
	}
}

// accept accepts a document, with the given zones out of service.
func (w *world) accept(document environment.Document, zonesOut ...string) {
	for _, p := range w.periods {
		p.isReplaced = true
	}
	w.periods = append(w.periods, &period{document: document, acceptedAt: w.clock.Now()})
	state := &environment.State{Revision: w.accepted.State.Revision + 1, Document: document, ZonesOut: zonesOut}
	w.accepted = environment.NewView(state, w.clock.Now())
}

// deliverDocument gives the newest accepted document to all instances.
func (w *world) deliverDocument() {
	for _, n := range w.nodes {
		n.view = w.accepted
	}
}

// endReplaced ends the periods of replaced documents.
func (w *world) endReplaced() {
	for _, p := range w.periods {
		if p.isReplaced && p.endedAt.IsZero() {
			p.endedAt = w.clock.Now()
		}
	}
}

func (w *world) document(rate, burst int64) environment.Document {
	d := environment.Document{Accounts: []environment.Account{{Name: "a", RateTokensPerSecond: rate, BurstTokens: burst}}}
	for _, z := range w.zones {
		d.Zones = append(d.Zones, environment.Zone{Name: z})
	}
	return d
}

// reserve requests tokens from the instance and records the admission.
func (n *node) reserve(account string, tokens int64) (*admission, error) {
	reservation, err := n.escrow.Reserve(context.Background(), account, tokens)
	if err != nil {
		return nil, err
	}
	a := &admission{account: account, at: n.world.clock.Now(), tokens: tokens, reservation: reservation}
	n.world.admissions = append(n.world.admissions, a)
	return a, nil
}

// settle settles the reservation and records the tokens used.
func (a *admission) settle(used int64) {
	a.reservation.Settle(used)
	a.tokens, a.reservation = used, nil
}

// findViolation returns a description of a time window in which more was
// admitted than the documents allow, or "" if there is none.
func (w *world) findViolation(account string) string {
	moments := w.sumByTime(account)
	for i, first := range moments {
		var sum int64
		for _, last := range moments[i:] {
			sum += last.tokens
			rate, burst := w.bound(account, first.at, last.at)
			t := last.at.Sub(first.at).Seconds()
			if float64(sum) > rate*t+burst+1e-3 {
				return fmt.Sprintf("%s: %d tokens in %.3f s from %v, %d tokens/s and burst %d", account, sum, t, first.at.Sub(epoch), int64(rate), int64(burst))
			}
		}
	}
	return ""
}

// sumByTime sums up consecutive admissions of the same instant.
func (w *world) sumByTime(account string) (out []admission) {
	for _, a := range w.admissions {
		if a.account != account {
			continue
		}
		if n := len(out); n > 0 && out[n-1].at.Equal(a.at) {
			out[n-1].tokens += a.tokens
			continue
		}
		out = append(out, admission{at: a.at, tokens: a.tokens})
	}
	return out
}

// bound returns the largest rate and burst of the documents that instances may
// apply in the given time window.
func (w *world) bound(account string, from, to time.Time) (rate, burst float64) {
	for _, p := range w.periods {
		if p.acceptedAt.After(to) || (!p.endedAt.IsZero() && p.endedAt.Before(from)) {
			continue
		}
		for _, a := range p.document.Accounts {
			if a.Name == account {
				rate = max(rate, float64(a.RateTokensPerSecond))
				burst = max(burst, float64(a.BurstTokens))
			}
		}
	}
	return rate, burst
}

// delayingMesh delays responses by responseDelay.
type delayingMesh struct {
	*meshtest.Member
	world *world
}

// Call implements mesh.Mesh.
func (m delayingMesh) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	response, err := m.Member.Call(ctx, to, method, body)
	if delay := m.world.responseDelay; delay != nil {
		m.world.clock.Advance(delay())
	}
	return response, err
}

// setFaultRate sets the probability that a call over the mesh gets a random fate
// (delivered, request lost, response lost or duplicated; one in three is also
// delayed) and, separately, that its response is delayed. Requests to paused
// instances are always lost.
func (w *world) setFaultRate(faultRate float64) {
	w.responseDelay = nil
	if faultRate > 0 {
		w.responseDelay = func() time.Duration {
			if w.random.Float64() >= faultRate {
				return 0
			}
			return time.Duration(w.random.IntN(2500)) * time.Millisecond
		}
	}
	w.network.SetOutcomes(func(_, to mesh.Peer, _ string) meshtest.Outcome {
		if w.node(to.Name).paused {
			return meshtest.LoseRequest
		}
		if w.random.Float64() >= faultRate {
			return meshtest.Deliver
		}
		if w.random.IntN(3) == 0 {
			w.clock.Advance(time.Duration(w.random.IntN(15_000)) * time.Millisecond)
		}
		return meshtest.Outcome(w.random.IntN(4))
	})
}
