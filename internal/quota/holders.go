package quota

import (
	"context"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// keptRequest asks whether a holder keeps a generation.
type keptRequest struct {
	Generation uint64 `msgpack:"g"`
}

type keptAnswer struct {
	Incarnation string `msgpack:"i"`
	Kept        bool   `msgpack:"k"`
}

// watchHolders requires syncMu. It reports whether this instance leads its zone,
// which the first holder in sight does, and which holders are long out of sight.
func (e *Escrow) watchHolders(d *division) (bool, map[string]bool) {
	alive := make(map[string]bool)
	for _, m := range e.config.Members() {
		alive[m.Name] = m.Zone == e.self.Zone && !m.Leaving
	}
	now := e.now()
	suspects := make(map[string]bool)
	var first string
	for _, h := range d.Holders {
		if h.Fenced {
			continue
		}
		if alive[h.Name] && (first == "" || h.Name < first) {
			first = h.Name
		}
		if _, isMember := alive[h.Name]; isMember {
			delete(e.sync.unseenSince, h.Incarnation)
		} else if since, ok := e.sync.unseenSince[h.Incarnation]; !ok {
			e.sync.unseenSince[h.Incarnation] = now
		} else if now.Sub(since) >= suspectAfter {
			suspects[h.Incarnation] = true
		}
	}
	return first == e.self.Name, suspects
}

// askKept asks the pending holders in sight whether they keep the division.
func (e *Escrow) askKept(ctx context.Context, d *division) map[string]bool {
	kept := make(map[string]bool)
	request := &keptRequest{Generation: d.Generation}
	for i := range d.Holders {
		h := &d.Holders[i]
		if !h.isPending() || h.Fenced {
			continue
		}
		answer := e.keeps(request)
		if h.Incarnation != answer.Incarnation {
			ctx, cancel := context.WithTimeout(ctx, keptTimeout)
			var err error
			answer, err = mesh.Call[keptRequest, keptAnswer](ctx, e.config.Mesh, h.Name, methodKept, request)
			cancel()
			if err != nil {
				continue
			}
		}
		if answer.Kept && answer.Incarnation == h.Incarnation {
			kept[h.Incarnation] = true
		}
	}
	return kept
}

func (e *Escrow) keeps(r *keptRequest) *keptAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &keptAnswer{Incarnation: e.incarnation, Kept: e.keptGeneration >= r.Generation}
}

func (e *Escrow) onKept(_ context.Context, _ mesh.Peer, r *keptRequest) (*keptAnswer, error) {
	return e.keeps(r), nil
}
