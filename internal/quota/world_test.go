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

// world runs instances in one process on one clock.
type world struct {
	clock   *clockwork.FakeClock
	store   *platformstandin.Store
	network *meshtest.Network
	random  *rand.Rand
	nodes   []*node
	zones   []string
	// accepted is the document in force; instances learn it later.
	accepted *environment.View
	log      []*admission
	periods  []*period
	// late draws how late an answer over the mesh comes; nil is at once.
	late func() time.Duration
}

// node is one instance.
type node struct {
	world  *world
	name   string
	zone   string
	member *meshtest.Member
	escrow *quota.Escrow
	view   *environment.View
	paused bool
	dead   bool
	left   bool
}

// admission is a request as the test saw it admitted.
type admission struct {
	account string
	at      time.Time
	tokens  int64
	held    quota.Reservation
}

// period is the time during which a document may be obeyed.
type period struct {
	document   environment.Document
	accepted   time.Time
	retired    time.Time
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
	n.view, n.paused, n.dead, n.left = w.accepted, false, false, false
	n.escrow = quota.New(quota.Config{
		Environment: "test",
		Mesh:        lateMesh{n.member, w},
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
	n.dead = true
	n.world.network.Leave(n.name)
}

// sync lets the instance follow and act once.
func (n *node) sync() {
	if n.dead || n.paused {
		return
	}
	ctx := platformstandin.WithZone(context.Background(), n.zone)
	_ = n.escrow.Follow(ctx, 0)
	_ = n.escrow.Act(ctx)
	n.escrow.ReturnLoans(ctx)
}

// settle lets every instance follow and act until nothing changes.
func (w *world) settle() {
	for range 12 * len(w.nodes) {
		for _, n := range w.nodes {
			n.sync()
		}
	}
}

// accept puts a document in force. A state with the same zones out is kept.
func (w *world) accept(document environment.Document, zonesOut ...string) {
	for _, p := range w.periods {
		p.isReplaced = true
	}
	w.periods = append(w.periods, &period{document: document, accepted: w.clock.Now()})
	state := &environment.State{Revision: w.accepted.State.Revision + 1, Document: document, ZonesOut: zonesOut}
	w.accepted = environment.NewView(state, w.clock.Now())
}

// learn brings the document in force to all instances that run.
func (w *world) learn() {
	for _, n := range w.nodes {
		n.view = w.accepted
	}
}

// retire ends the periods of replaced documents.
func (w *world) retire() {
	for _, p := range w.periods {
		if p.isReplaced && p.retired.IsZero() {
			p.retired = w.clock.Now()
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

// reserve asks an instance and notes an admission.
func (n *node) reserve(account string, tokens int64) (*admission, error) {
	held, err := n.escrow.Reserve(context.Background(), account, tokens)
	if err != nil {
		return nil, err
	}
	a := &admission{account: account, at: n.world.clock.Now(), tokens: tokens, held: held}
	n.world.log = append(n.world.log, a)
	return a, nil
}

// end settles an admission to its true count.
func (a *admission) end(used int64) {
	a.held.Settle(used)
	a.tokens, a.held = used, nil
}

// overdraft returns a description of a window in which more was admitted than
// the documents allow, or "".
func (w *world) overdraft(account string) string {
	for i, first := range w.log {
		if first.account != account {
			continue
		}
		var sum int64
		for _, last := range w.log[i:] {
			if last.account != account {
				continue
			}
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

// bound returns the largest rate and burst of the documents that may be obeyed
// from one time to another.
func (w *world) bound(account string, from, to time.Time) (rate, burst float64) {
	for _, p := range w.periods {
		if p.accepted.After(to) || (!p.retired.IsZero() && p.retired.Before(from)) {
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

// lateMesh delivers answers late.
type lateMesh struct {
	*meshtest.Member
	world *world
}

// Call implements mesh.Mesh.
func (m lateMesh) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	answer, err := m.Member.Call(ctx, to, method, body)
	if late := m.world.late; late != nil {
		m.world.clock.Advance(late())
	}
	return answer, err
}

// chance makes a call over the mesh lost, repeated or late with a
// chance.
func (w *world) chance(faulty float64) {
	w.late = nil
	if faulty > 0 {
		w.late = func() time.Duration {
			if w.random.Float64() >= faulty {
				return 0
			}
			return time.Duration(w.random.IntN(2500)) * time.Millisecond
		}
	}
	w.network.SetFate(func(_, to mesh.Peer, _ string) meshtest.Fate {
		if w.node(to.Name).paused {
			return meshtest.LoseRequest
		}
		if w.random.Float64() >= faulty {
			return meshtest.Deliver
		}
		if w.random.IntN(3) == 0 {
			w.clock.Advance(time.Duration(w.random.IntN(15_000)) * time.Millisecond)
		}
		return meshtest.Fate(w.random.IntN(4))
	})
}
