package inventory

import (
	"context"
	"time"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/target"
)

const methodPull = "inventory.pull"

// pull asks a peer for what changed in its own polls.
type pull struct {
	// Epoch is the peer's process that After belongs to.
	Epoch uint64 `msgpack:"e"`
	After uint64 `msgpack:"a"`
}

// pulled is the answer. Ages count until the answer was made; the receiver adds
// the time since it asked.
type pulled struct {
	Epoch   uint64        `msgpack:"e"`
	Version uint64        `msgpack:"v"`
	Targets []pulledState `msgpack:"t,omitempty"`
}

// pulledState is one target's state. Body is left out if only the load changed.
type pulledState struct {
	Name        string         `msgpack:"n"`
	AgeMS       int64          `msgpack:"g"`
	Incarnation string         `msgpack:"i"`
	Sequence    uint64         `msgpack:"s"`
	AsOf        int64          `msgpack:"o"`
	Cold        bool           `msgpack:"c,omitempty"`
	Running     int            `msgpack:"r,omitempty"`
	Queued      int            `msgpack:"q,omitempty"`
	Unreachable bool           `msgpack:"u,omitempty"`
	Body        *target.Report `msgpack:"b,omitempty"`
	Events      []pulledEvent  `msgpack:"x,omitempty"`
}

type pulledEvent struct {
	Sequence uint64 `msgpack:"s"`
	Model    string `msgpack:"m"`
	Prefix   string `msgpack:"p"`
	Evicted  bool   `msgpack:"e,omitempty"`
}

// peerState is how far this instance has followed a peer.
type peerState struct {
	epoch uint64
	after uint64
}

func (i *Inventory) onPull(_ context.Context, _ mesh.Peer, p *pull) (*pulled, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	after := p.After
	if p.Epoch != i.epoch {
		after = 0
	}
	now := i.clock.Now()
	out := &pulled{Epoch: i.epoch, Version: i.version}
	for name := range i.own {
		r := i.records[name]
		if r == nil || r.version <= after {
			continue
		}
		out.Targets = append(out.Targets, stateOf(name, r, after, now))
	}
	return out, nil
}

func stateOf(name string, r *record, after uint64, now time.Time) pulledState {
	s := pulledState{
		Name:        name,
		AgeMS:       -1,
		Incarnation: r.report.Incarnation,
		Sequence:    r.report.Sequence,
		AsOf:        r.report.AsOf,
		Cold:        r.report.Cold,
		Running:     r.report.Running,
		Queued:      r.report.Queued,
		Unreachable: r.failures >= unreachableAfter,
	}
	if !r.at.IsZero() {
		s.AgeMS = now.Sub(r.at).Milliseconds() + 1
	}
	if r.bodyVersion > after {
		s.Body = &r.report
	}
	for _, e := range r.events {
		if e.version > after {
			s.Events = append(s.Events, pulledEvent(e.event))
		}
	}
	return s
}

// pullFrom asks one peer and adopts its answer.
func (i *Inventory) pullFrom(ctx context.Context, peer string) {
	i.mu.Lock()
	known := i.peers[peer]
	i.mu.Unlock()
	asked := i.clock.Now()
	answer, err := mesh.Call[pull, pulled](ctx, i.mesh, peer, methodPull, &pull{Epoch: known.epoch, After: known.after})
	if err != nil {
		i.log.Debugf("No reports from %s: %v.", peer, err)
		return
	}
	i.adopt(peer, answer, asked)
}

func (i *Inventory) adopt(peer string, answer *pulled, asked time.Time) {
	i.mu.Lock()
	var fresh []TargetEvents
	for n := range answer.Targets {
		s := &answer.Targets[n]
		if i.own[s.Name] {
			continue
		}
		if events := i.adoptState(s, asked); len(events) > 0 {
			fresh = append(fresh, TargetEvents{Target: s.Name, Events: events})
		}
	}
	i.peers[peer] = peerState{epoch: answer.Epoch, after: answer.Version}
	i.mu.Unlock()
	i.tell(fresh)
}

// adoptState requires i.mu. An older state than the one known changes nothing.
func (i *Inventory) adoptState(s *pulledState, asked time.Time) []target.CacheEvent {
	r := i.record(s.Name)
	if s.AgeMS >= 0 {
		at := asked.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		report := r.report
		if s.Body != nil {
			report = *s.Body
			// The body was not told by this instance, if it polls the target later.
			r.bodyVersion = 0
			i.bodies++
		}
		hasBody := s.Body != nil || report.Incarnation == s.Incarnation
		if hasBody && at.After(r.at) {
			report.Incarnation, report.Sequence, report.AsOf = s.Incarnation, s.Sequence, s.AsOf
			report.Cold, report.Running, report.Queued = s.Cold, s.Running, s.Queued
			r.take(report, at)
		}
	}
	r.failures = 0
	if s.Unreachable {
		r.failures = unreachableAfter
	}
	events := make([]target.CacheEvent, 0, len(s.Events))
	for _, e := range s.Events {
		events = append(events, target.CacheEvent(e))
	}
	return r.keepEvents(events, 0)
}
