package quota

import (
	"context"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// appliedRequest asks whether a holder has applied a generation.
type appliedRequest struct {
	Generation uint64 `msgpack:"g"`
}

type appliedResponse struct {
	Incarnation string `msgpack:"i"`
	Applied     bool   `msgpack:"k"`
}

// observeHolders reports whether this instance is the leader of its zone and
// which holders have been missing from the member list for suspectTimeout. The
// leader is the first holder by name that is neither fenced nor leaving and is
// in the member list. The caller must hold syncMu.
func (e *Escrow) observeHolders(d *division) (bool, map[string]bool) {
	eligible := make(map[string]bool)
	for _, m := range e.config.Members() {
		eligible[m.Name] = m.Zone == e.self.Zone && !m.Leaving
	}
	now := e.now()
	suspects := make(map[string]bool)
	var leader string
	for _, h := range d.Holders {
		if h.Fenced {
			continue
		}
		if eligible[h.Name] && (leader == "" || h.Name < leader) {
			leader = h.Name
		}
		if _, isMember := eligible[h.Name]; isMember {
			delete(e.sync.absentSince, h.Incarnation)
		} else if since, ok := e.sync.absentSince[h.Incarnation]; !ok {
			e.sync.absentSince[h.Incarnation] = now
		} else if now.Sub(since) >= suspectTimeout {
			suspects[h.Incarnation] = true
		}
	}
	return leader == e.self.Name, suspects
}

// queryApplied asks the pending holders that are not fenced whether they have
// applied the division and returns those that have.
func (e *Escrow) queryApplied(ctx context.Context, d *division) map[string]bool {
	applied := make(map[string]bool)
	request := &appliedRequest{Generation: d.Generation}
	for i := range d.Holders {
		h := &d.Holders[i]
		if !h.isPending() || h.Fenced {
			continue
		}
		response := e.appliedStatus(request)
		if h.Incarnation != response.Incarnation {
			ctx, cancel := context.WithTimeout(ctx, appliedTimeout)
			var err error
			response, err = mesh.Call[appliedRequest, appliedResponse](ctx, e.config.Mesh, h.Name, methodApplied, request)
			cancel()
			if err != nil {
				continue
			}
		}
		if response.Applied && response.Incarnation == h.Incarnation {
			applied[h.Incarnation] = true
		}
	}
	return applied
}

func (e *Escrow) appliedStatus(r *appliedRequest) *appliedResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &appliedResponse{Incarnation: e.incarnation, Applied: e.appliedGeneration >= r.Generation}
}

func (e *Escrow) onApplied(_ context.Context, _ mesh.Peer, r *appliedRequest) (*appliedResponse, error) {
	return e.appliedStatus(r), nil
}
