package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/quarantine"
)

const (
	methodTrial = "gateway.trial"
	// trialCallTimeout bounds a call to the instance that grants trials.
	trialCallTimeout = 300 * time.Millisecond
	// trialRetryAfter is the time after which callers come back if that instance does not
	// answer. Another one takes its place by then.
	trialRetryAfter = 1500 * time.Millisecond
)

// trialRequest asks for the trial of a request, or reports its end.
type trialRequest struct {
	Service string `msgpack:"s"`
	Request uint64 `msgpack:"r"`
	// Suspicion is what the asking instance knows, which may not have arrived yet.
	Suspicion *quarantine.Suspicion `msgpack:"p,omitempty"`
	Ended     bool                  `msgpack:"e,omitempty"`
	// Used is set at the end if the request reached a target.
	Used bool `msgpack:"u,omitempty"`
}

type trialResponse struct {
	Granted bool  `msgpack:"g,omitempty"`
	WaitMS  int64 `msgpack:"w,omitempty"`
}

// trials asks one instance of the fleet for trials of the requests for a service. It
// implements passthrough.Trials. Each side of a network partition has its own.
type trials struct {
	g     *Gateway
	local *quarantine.Trials
}

func newTrials(g *Gateway) trials {
	t := trials{g, quarantine.NewTrials(g.quarantine)}
	mesh.Handle(g.node, methodTrial, func(_ context.Context, _ mesh.Peer, r *trialRequest) (*trialResponse, error) {
		return t.handle(r), nil
	})
	return t
}

func (t trials) handle(r *trialRequest) *trialResponse {
	if r.Ended {
		t.local.End(r.Service, r.Request, r.Used, time.Now())
		return &trialResponse{}
	}
	if r.Suspicion != nil {
		t.g.quarantine.Merge([]quarantine.Suspicion{*r.Suspicion}, time.Now())
	}
	wait, granted := t.local.Begin(r.Service, r.Request, time.Now())
	return &trialResponse{Granted: granted, WaitMS: wait.Milliseconds()}
}

// Begin implements passthrough.Trials.
func (t trials) Begin(ctx context.Context, service string, request uint64) (end func(used bool), wait time.Duration) {
	granter := t.granter(service)
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	response, err := t.call(ctx, granter, &trialRequest{
		Service: service, Request: request, Suspicion: t.g.quarantine.SuspicionOf(request, time.Now()),
	})
	if err != nil {
		t.g.log.WithField("peer", granter).WithError(err).Info("gateway: Cannot ask for the trial of a request.")
		return nil, trialRetryAfter
	}
	if !response.Granted {
		return nil, time.Duration(response.WaitMS) * time.Millisecond
	}
	return func(used bool) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), trialCallTimeout)
			defer cancel()
			if _, err := t.call(ctx, granter, &trialRequest{Service: service, Request: request, Ended: true, Used: used}); err != nil {
				t.g.log.WithField("peer", granter).WithError(err).Info("gateway: Cannot report the end of a trial.")
			}
		}()
	}, 0
}

func (t trials) call(ctx context.Context, granter string, r *trialRequest) (*trialResponse, error) {
	if granter == t.g.settings.Name {
		return t.handle(r), nil
	}
	return mesh.Call[trialRequest, trialResponse](ctx, t.g.node, granter, methodTrial, r)
}

// granter returns the instance that grants the trials for a service: the one with the
// highest hash among the reachable instances that are not leaving.
func (t trials) granter(service string) string {
	names := []string{t.g.settings.Name}
	if t.g.ready.isLeaving() {
		names = nil
	}
	for _, p := range t.g.exchange.Reachable() {
		if !p.Leaving {
			names = append(names, p.Name)
		}
	}
	return highestHash(service, names, t.g.settings.Name)
}

// highestHash returns the name with the highest hash together with key, or otherwise if
// there are no names.
func highestHash(key string, names []string, otherwise string) string {
	best, highest := otherwise, uint64(0)
	for _, name := range names {
		if h := xxhash.Sum64String(key + "\x00" + name); h > highest {
			best, highest = name, h
		}
	}
	return best
}
