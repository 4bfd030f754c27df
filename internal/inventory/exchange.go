package inventory

import (
	"context"
	"time"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/target"
)

const methodPull = "inventory.pull"

// pullRequest asks a peer for the changes of the targets that the peer polls,
// after version After.
type pullRequest struct {
	// Epoch identifies the peer's run to which After belongs. In another run the
	// peer ignores After.
	Epoch uint64 `msgpack:"e"`
	After uint64 `msgpack:"a"`
}

// pullResponse is the response to a pullRequest. Its ages are as of the time of
// the response. The receiver subtracts them from the time at which it sent the
// request, so that no report appears younger than it is.
type pullResponse struct {
	Epoch   uint64        `msgpack:"e"`
	Version uint64        `msgpack:"v"`
	Targets []pulledState `msgpack:"t,omitempty"`
}

// pulledState is the state of one target. AgeMS is the time since the report was
// requested, rounded up, or -1 if there is no report. Body is omitted if the fields
// that sameBody compares did not change.
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

// pullPosition is the version up to which this instance has pulled the changes of
// a peer, and the peer's epoch.
type pullPosition struct {
	epoch uint64
	after uint64
}

func (i *Inventory) onPull(_ context.Context, _ mesh.Peer, request *pullRequest) (*pullResponse, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	after := request.After
	if request.Epoch != i.epoch {
		after = 0
	}
	now := i.clock.Now()
	response := &pullResponse{Epoch: i.epoch, Version: i.version}
	for name := range i.own {
		r := i.records[name]
		if r == nil || r.version <= after {
			continue
		}
		response.Targets = append(response.Targets, stateOf(name, r, after, now))
	}
	return response, nil
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
	if !r.requestedAt.IsZero() {
		s.AgeMS = now.Sub(r.requestedAt).Milliseconds() + 1
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

// pullFrom pulls the changes of one peer and applies them.
func (i *Inventory) pullFrom(ctx context.Context, peer string) {
	i.mu.Lock()
	position := i.pullPositions[peer]
	i.mu.Unlock()
	sentAt := i.clock.Now()
	response, err := mesh.Call[pullRequest, pullResponse](ctx, i.mesh, peer, methodPull, &pullRequest{Epoch: position.epoch, After: position.after})
	if err != nil {
		i.log.Debugf("No reports from %s: %v.", peer, err)
		return
	}
	i.applyResponse(peer, response, sentAt)
}

func (i *Inventory) applyResponse(peer string, response *pullResponse, sentAt time.Time) {
	i.mu.Lock()
	var newEvents []TargetEvents
	for n := range response.Targets {
		s := &response.Targets[n]
		if i.own[s.Name] {
			continue
		}
		if events := i.applyState(s, sentAt); len(events) > 0 {
			newEvents = append(newEvents, TargetEvents{Target: s.Name, Events: events})
		}
	}
	i.pullPositions[peer] = pullPosition{epoch: response.Epoch, after: response.Version}
	i.mu.Unlock()
	i.notifyEvents(newEvents)
}

// applyState applies the state of a target that a peer polls and returns the new
// cache events. A report that is not newer than the stored one is ignored. It
// requires i.mu.
func (i *Inventory) applyState(s *pulledState, sentAt time.Time) []target.CacheEvent {
	r := i.record(s.Name)
	if s.AgeMS >= 0 {
		requestedAt := sentAt.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		report := r.report
		if s.Body != nil {
			report = *s.Body
			// If this instance polls the target later, it has not yet sent the body
			// to its peers. A bodyVersion of 0 makes it send the body with the next
			// new report.
			r.bodyVersion = 0
			i.bodyChanges++
		}
		hasBody := s.Body != nil || report.Incarnation == s.Incarnation
		if hasBody && requestedAt.After(r.requestedAt) {
			report.Incarnation, report.Sequence, report.AsOf = s.Incarnation, s.Sequence, s.AsOf
			report.Cold, report.Running, report.Queued = s.Cold, s.Running, s.Queued
			r.apply(report, requestedAt)
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
	return r.addEvents(events, 0)
}
