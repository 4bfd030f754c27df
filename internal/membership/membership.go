// Package membership tracks the instances of the system. Its sources are the
// platform's list, which lags and may be empty, and heartbeats over the mesh.
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
	// LivenessTimeout is how long an instance counts as alive after its last
	// heartbeat.
	LivenessTimeout = 2 * time.Second
	// addressRetention is how long the address of an instance that the platform
	// does not list is kept after its last heartbeat.
	addressRetention = time.Minute

	methodHeartbeat = "membership.heartbeat"
	methodList      = "membership.list"
)

// Member is an instance, either alive or listed by the platform.
type Member struct {
	Name string
	Zone string
	// Leaving is set once the instance is handing over its duties.
	Leaving bool
}

type heartbeat struct {
	Leaving bool `msgpack:"l"`
	// Address is the sender's mesh address. It lets peers connect to instances
	// that the platform does not list yet.
	Address string `msgpack:"a,omitempty"`
}

type heartbeatResponse struct {
	Leaving bool `msgpack:"l"`
}

type listRequest struct{}

// listResponse holds the responder's copy of the platform's list.
type listResponse struct {
	Instances []platform.InstanceRecord `msgpack:"i"`
}

// PeerSetter keeps connections to the given peers. mesh.Node implements it.
type PeerSetter interface {
	SetPeers([]mesh.PeerAddress)
}

// Membership tracks live and listed instances. It is safe for concurrent use.
type Membership struct {
	mesh       mesh.Mesh
	peerSetter PeerSetter
	address    string
	instances  platform.Instances
	clock      clockwork.Clock
	log        *log.Logger

	mu      sync.Mutex
	peers   map[string]peerRecord
	listed  []platform.InstanceRecord
	leaving bool
}

type peerRecord struct {
	member        Member
	address       string
	lastHeartbeat time.Time
}

// New returns a membership that contains only this instance, which listens for
// peers on address. peerSetter may be nil if the mesh needs no addresses.
func New(m mesh.Mesh, peerSetter PeerSetter, address string, instances platform.Instances, clock clockwork.Clock, logger *log.Logger) *Membership {
	s := &Membership{mesh: m, peerSetter: peerSetter, address: address, instances: instances, clock: clock, log: logger, peers: make(map[string]peerRecord)}
	mesh.Handle(m, methodHeartbeat, s.onHeartbeat)
	mesh.Handle(m, methodList, s.onList)
	return s
}

// Members returns the instances that are alive, ordered by name. It always
// includes this instance.
func (s *Membership) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.mesh.Self()
	out := []Member{{Name: self.Name, Zone: self.Zone, Leaving: s.leaving}}
	cutoff := s.clock.Now().Add(-LivenessTimeout)
	for _, peer := range s.peers {
		if !peer.lastHeartbeat.Before(cutoff) {
			out = append(out, peer.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Listed returns the instances of the last platform list, alive or not, ordered
// by name.
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

// Leave marks this instance as leaving in all further heartbeats and responses.
func (s *Membership) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Run refreshes the list of instances and sends heartbeats until ctx ends. Both
// tickers start after a random delay, so that instances started together do not
// act at the same time.
func (s *Membership) Run(ctx context.Context) error {
	s.Refresh(ctx)
	select {
	case <-s.clock.After(rand.N(heartbeatInterval)):
	case <-ctx.Done():
		return ctx.Err()
	}
	listTicker := s.clock.NewTicker(listInterval)
	defer listTicker.Stop()
	heartbeatTicker := s.clock.NewTicker(heartbeatInterval)
	defer heartbeatTicker.Stop()
	for {
		select {
		case <-listTicker.Chan():
			go s.Refresh(ctx)
		case <-heartbeatTicker.Chan():
			s.SendHeartbeats(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh updates the list of instances and the peers to connect to. In each
// zone, the first by name of the live instances that are not leaving reads the
// list from the platform and the others read it from that instance, so that the
// number of platform calls grows with the number of zones. If that instance does
// not answer with a list, they read it from the platform, too. During an outage,
// or if the list is empty, the last list is kept.
func (s *Membership) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	records, err := s.list(ctx)
	if err != nil || len(records) == 0 {
		s.log.Debugf("No instances listed (error: %v).", err)
		records = nil
	}
	s.mu.Lock()
	if records != nil {
		s.listed = records
	}
	peers := s.addressesLocked()
	s.mu.Unlock()
	if s.peerSetter != nil {
		s.peerSetter.SetPeers(ChoosePeers(s.mesh.Self(), peers, RelaysPerZone))
	}
}

func (s *Membership) list(ctx context.Context) ([]platform.InstanceRecord, error) {
	if first := s.firstOfZone(); first != s.mesh.Self().Name {
		response, err := mesh.Call[listRequest, listResponse](ctx, s.mesh, first, methodList, &listRequest{})
		if err == nil && len(response.Instances) > 0 {
			return response.Instances, nil
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

// addressesLocked returns the addresses of the platform's list and those received
// in heartbeats, which take precedence. It removes peers without a heartbeat for
// addressRetention.
func (s *Membership) addressesLocked() []mesh.PeerAddress {
	cutoff := s.clock.Now().Add(-addressRetention)
	known := make(map[string]mesh.PeerAddress)
	for _, r := range s.listed {
		known[r.Name] = mesh.PeerAddress{Peer: mesh.Peer{Name: r.Name, Zone: r.Zone}, Address: r.MeshAddress}
	}
	for name, peer := range s.peers {
		if peer.lastHeartbeat.Before(cutoff) {
			delete(s.peers, name)
			continue
		}
		if peer.address != "" {
			known[name] = mesh.PeerAddress{Peer: mesh.Peer{Name: name, Zone: peer.member.Zone}, Address: peer.address}
		}
	}
	out := make([]mesh.PeerAddress, 0, len(known))
	for _, p := range known {
		out = append(out, p)
	}
	return out
}

// SendHeartbeats sends one round of heartbeats without waiting for the responses.
func (s *Membership) SendHeartbeats(ctx context.Context) {
	s.mu.Lock()
	message := &heartbeat{Leaving: s.leaving, Address: s.address}
	s.mu.Unlock()
	for _, p := range s.mesh.Peers() {
		go s.sendHeartbeat(ctx, p, message)
	}
}

// sendHeartbeat counts a response as of the time at which the heartbeat was sent,
// so that a peer that was paused in between does not look alive for longer.
func (s *Membership) sendHeartbeat(ctx context.Context, p mesh.Peer, message *heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	sentAt := s.clock.Now()
	response, err := mesh.Call[heartbeat, heartbeatResponse](ctx, s.mesh, p.Name, methodHeartbeat, message)
	if err == nil {
		s.recordHeartbeat(p, response.Leaving, "", sentAt)
	}
}

func (s *Membership) onHeartbeat(_ context.Context, from mesh.Peer, h *heartbeat) (*heartbeatResponse, error) {
	s.recordHeartbeat(from, h.Leaving, h.Address, s.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return &heartbeatResponse{Leaving: s.leaving}, nil
}

func (s *Membership) onList(context.Context, mesh.Peer, *listRequest) (*listResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &listResponse{Instances: s.listed}, nil
}

// recordHeartbeat records a heartbeat of a peer or its response to one. An empty
// address keeps the known one.
func (s *Membership) recordHeartbeat(p mesh.Peer, leaving bool, address string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peers[p.Name]
	if address == "" {
		address = known.address
	}
	if at.Before(known.lastHeartbeat) {
		at = known.lastHeartbeat
	}
	s.peers[p.Name] = peerRecord{member: Member{Name: p.Name, Zone: p.Zone, Leaving: leaving}, address: address, lastHeartbeat: at}
}
