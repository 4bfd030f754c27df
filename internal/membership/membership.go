// Package membership knows the instances of the system: from the platform's
// list, which lags, and from heartbeats over the mesh.
package membership

import (
	"context"
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
	// AliveFor is how long an instance counts as alive after its last heartbeat.
	AliveFor = 2 * time.Second

	methodHeartbeat = "membership.heartbeat"
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
}

type heartbeatAnswer struct {
	Leaving bool `msgpack:"l"`
}

// PeerSetter keeps connections to peers; mesh.Node is one.
type PeerSetter interface {
	SetPeers([]mesh.PeerAddress)
}

// Membership is safe for concurrent use.
type Membership struct {
	mesh      mesh.Mesh
	dialer    PeerSetter
	instances platform.Instances
	clock     clockwork.Clock
	log       *log.Logger

	mu      sync.Mutex
	heard   map[string]sighting
	leaving bool
}

type sighting struct {
	member Member
	at     time.Time
}

// New returns a membership that knows only the instance itself. The dialer may
// be nil if the mesh needs no addresses.
func New(m mesh.Mesh, dialer PeerSetter, instances platform.Instances, clock clockwork.Clock, logger *log.Logger) *Membership {
	s := &Membership{mesh: m, dialer: dialer, instances: instances, clock: clock, log: logger, heard: make(map[string]sighting)}
	mesh.Handle(m, methodHeartbeat, s.onHeartbeat)
	return s
}

// Members returns the instances that are alive, ordered by name.
func (s *Membership) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.mesh.Self()
	out := []Member{{Name: self.Name, Zone: self.Zone, Leaving: s.leaving}}
	limit := s.clock.Now().Add(-AliveFor)
	for name, seen := range s.heard {
		if seen.at.Before(limit) {
			delete(s.heard, name)
			continue
		}
		out = append(out, seen.member)
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

// Run lists instances and sends heartbeats until ctx ends.
func (s *Membership) Run(ctx context.Context) error {
	list := s.clock.NewTicker(listInterval)
	defer list.Stop()
	beat := s.clock.NewTicker(heartbeatInterval)
	defer beat.Stop()
	s.refresh(ctx)
	for {
		select {
		case <-list.Chan():
			s.refresh(ctx)
		case <-beat.Chan():
			s.Beat(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// refresh takes the platform's list. During an outage the last list stays.
func (s *Membership) refresh(ctx context.Context) {
	records, err := s.instances.Instances(ctx)
	if err != nil || len(records) == 0 {
		s.log.Debugf("No list of instances: %v.", err)
		return
	}
	peers := make([]mesh.PeerAddress, 0, len(records))
	for _, r := range records {
		peers = append(peers, mesh.PeerAddress{Peer: mesh.Peer{Name: r.Name, Zone: r.Zone}, Address: r.MeshAddress})
	}
	if s.dialer != nil {
		s.dialer.SetPeers(peers)
	}
}

// Beat sends one round of heartbeats without waiting for the answers.
func (s *Membership) Beat(ctx context.Context) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	for _, p := range s.mesh.Peers() {
		go s.beatPeer(ctx, p, leaving)
	}
}

func (s *Membership) beatPeer(ctx context.Context, p mesh.Peer, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	answer, err := mesh.Call[heartbeat, heartbeatAnswer](ctx, s.mesh, p.Name, methodHeartbeat, &heartbeat{Leaving: leaving})
	if err == nil {
		s.saw(p, answer.Leaving)
	}
}

func (s *Membership) onHeartbeat(_ context.Context, from mesh.Peer, h *heartbeat) (*heartbeatAnswer, error) {
	s.saw(from, h.Leaving)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &heartbeatAnswer{Leaving: s.leaving}, nil
}

func (s *Membership) saw(p mesh.Peer, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[p.Name] = sighting{member: Member{Name: p.Name, Zone: p.Zone, Leaving: leaving}, at: s.clock.Now()}
}
