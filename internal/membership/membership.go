// Package membership knows the instances of the system: from the platform's
// list, which lags and may be empty, and from heartbeats over the mesh.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	listInterval      = time.Second
	heartbeatInterval = 500 * time.Millisecond
	// LivenessTimeout is how long an instance counts as alive after its last heartbeat.
	LivenessTimeout = 2 * time.Second
	// knownFor is how long the address of an instance is kept after its last
	// heartbeat when the platform does not list it.
	knownFor = time.Minute

	methodHeartbeat = "membership.heartbeat"
	methodList      = "membership.list"
)

// Member is an instance that is alive. The instance itself is always one.
type Member struct {
	Name string
	Zone string
	// Leaving is set once the instance hands over its duties.
	Leaving bool
}

type heartbeat struct {
	Leaving bool `msgpack:"l"`
	// Address is the mesh address of the sender, by which peers find instances
	// that the platform does not list yet.
	Address string `msgpack:"a,omitempty"`
}

type heartbeatAnswer struct {
	Leaving bool `msgpack:"l"`
}

type listRequest struct{}

// listAnswer is the list of instances as the answering instance has it.
type listAnswer struct {
	Instances []platform.InstanceRecord `msgpack:"i"`
}

// PeerSetter keeps connections to peers; mesh.Node is one.
type PeerSetter interface {
	SetPeers([]mesh.PeerAddress)
}

// Membership is safe for concurrent use.
type Membership struct {
	mesh      mesh.Mesh
	dialer    PeerSetter
	address   string
	instances platform.Instances
	clock     clockwork.Clock
	log       *log.Logger

	mu      sync.Mutex
	heard   map[string]sighting
	listed  []platform.InstanceRecord
	leaving bool
}

type sighting struct {
	member  Member
	address string
	at      time.Time
}

// New returns a membership that knows only the instance itself, which listens
// for peers on address. The dialer may be nil if the mesh needs no addresses.
func New(m mesh.Mesh, dialer PeerSetter, address string, instances platform.Instances, clock clockwork.Clock, logger *log.Logger) *Membership {
	s := &Membership{mesh: m, dialer: dialer, address: address, instances: instances, clock: clock, log: logger, heard: make(map[string]sighting)}
	mesh.Handle(m, methodHeartbeat, s.onHeartbeat)
	mesh.Handle(m, methodList, s.onList)
	return s
}

// Members returns the instances that are alive, ordered by name.
func (s *Membership) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.mesh.Self()
	out := []Member{{Name: self.Name, Zone: self.Zone, Leaving: s.leaving}}
	limit := s.clock.Now().Add(-LivenessTimeout)
	for _, seen := range s.heard {
		if !seen.at.Before(limit) {
			out = append(out, seen.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Listed returns the instances that the platform's list named last, alive or
// not, ordered by name.
func (s *Membership) Listed() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Member, 0, len(s.listed))
	for _, r := range s.listed {
		out = append(out, Member{Name: r.Name, Zone: r.Zone, Leaving: r.State == platform.InstanceLeaving})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Leave tells peers from now on that the instance is leaving.
func (s *Membership) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Run lists instances and sends heartbeats until ctx ends. The start of both is
// spread at random, so that instances started together do not act together.
func (s *Membership) Run(ctx context.Context) error {
	s.Refresh(ctx)
	select {
	case <-s.clock.After(rand.N(heartbeatInterval)):
	case <-ctx.Done():
		return ctx.Err()
	}
	list := s.clock.NewTicker(listInterval)
	defer list.Stop()
	beat := s.clock.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-list.Chan():
			go s.Refresh(ctx)
		case <-beat.Chan():
			s.SendHeartbeats(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh takes the list of instances: from the platform if this instance is the
// first of its zone, else from that one, so that calls to the platform grow with
// zones. During an outage the last list stays.
func (s *Membership) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	records, err := s.list(ctx)
	if err != nil || len(records) == 0 {
		s.log.Debugf("No list of instances: %v.", err)
		records = nil
	}
	s.mu.Lock()
	if records != nil {
		s.listed = records
	}
	peers := s.addressesLocked()
	s.mu.Unlock()
	if s.dialer != nil {
		s.dialer.SetPeers(ChoosePeers(s.mesh.Self(), peers, RelaysPerZone))
	}
}

func (s *Membership) list(ctx context.Context) ([]platform.InstanceRecord, error) {
	if first := s.firstOfZone(); first != s.mesh.Self().Name {
		answer, err := mesh.Call[listRequest, listAnswer](ctx, s.mesh, first, methodList, &listRequest{})
		if err == nil && len(answer.Instances) > 0 {
			return answer.Instances, nil
		}
	}
	return s.instances.Instances(ctx)
}

func (s *Membership) firstOfZone() string {
	zone := s.mesh.Self().Zone
	members := s.Members()
	first := slices.IndexFunc(members, func(m Member) bool { return m.Zone == zone && !m.Leaving })
	if first < 0 {
		return s.mesh.Self().Name
	}
	return members[first].Name
}

// addressesLocked joins the list with the addresses that heartbeats brought.
func (s *Membership) addressesLocked() []mesh.PeerAddress {
	limit := s.clock.Now().Add(-knownFor)
	known := make(map[string]mesh.PeerAddress)
	for _, r := range s.listed {
		known[r.Name] = mesh.PeerAddress{Peer: mesh.Peer{Name: r.Name, Zone: r.Zone}, Address: r.MeshAddress}
	}
	for name, seen := range s.heard {
		if seen.at.Before(limit) {
			delete(s.heard, name)
			continue
		}
		if seen.address != "" {
			known[name] = mesh.PeerAddress{Peer: mesh.Peer{Name: name, Zone: seen.member.Zone}, Address: seen.address}
		}
	}
	out := make([]mesh.PeerAddress, 0, len(known))
	for _, p := range known {
		out = append(out, p)
	}
	return out
}

// SendHeartbeats sends one round of heartbeats without waiting for the answers.
func (s *Membership) SendHeartbeats(ctx context.Context) {
	s.mu.Lock()
	message := &heartbeat{Leaving: s.leaving, Address: s.address}
	s.mu.Unlock()
	for _, p := range s.mesh.Peers() {
		go s.beatPeer(ctx, p, message)
	}
}

// beatPeer counts an answer as of the time it was asked for, so that a peer that
// froze in between does not look alive for longer.
func (s *Membership) beatPeer(ctx context.Context, p mesh.Peer, message *heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	asked := s.clock.Now()
	answer, err := mesh.Call[heartbeat, heartbeatAnswer](ctx, s.mesh, p.Name, methodHeartbeat, message)
	if err == nil {
		s.saw(p, answer.Leaving, "", asked)
	}
}

func (s *Membership) onHeartbeat(_ context.Context, from mesh.Peer, h *heartbeat) (*heartbeatAnswer, error) {
	s.saw(from, h.Leaving, h.Address, s.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return &heartbeatAnswer{Leaving: s.leaving}, nil
}

func (s *Membership) onList(context.Context, mesh.Peer, *listRequest) (*listAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &listAnswer{Instances: s.listed}, nil
}

// saw notes a sign of life. An unknown address leaves the known one.
func (s *Membership) saw(p mesh.Peer, leaving bool, address string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.heard[p.Name]
	if address == "" {
		address = known.address
	}
	if at.Before(known.at) {
		at = known.at
	}
	s.heard[p.Name] = sighting{member: Member{Name: p.Name, Zone: p.Zone, Leaving: leaving}, address: address, at: at}
}
