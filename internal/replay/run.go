package replay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/trace"
)

// Options of a replay.
type Options struct {
	Trace *trace.Trace
	// Addresses serve callers; requests are spread at random over those that are
	// ready.
	Addresses []string
	// Operators are the operator addresses, asked in turn.
	Operators []string
	Token     string
	// Speed divides the times between arrivals.
	Speed  float64
	Seed   uint64
	Events []Event
	// Platform is the address of the platform stand-in, for events.
	Platform string
	PIDs     map[string]int
	Progress io.Writer
}

// Run is what a replay observed.
type Run struct {
	Options  Options
	Document environment.Document
	Started  time.Time
	Samples  []*Sample
	Before   Witnesses
	After    Witnesses
	// EventErrors are events that could not be carried out.
	EventErrors []string
}

const (
	dialTimeout      = 2 * time.Second
	maxIdlePerHost   = 512
	progressInterval = 5 * time.Second
	// settleWait lets keys come in force and the last calls settle.
	settleWait = 3 * time.Second
)

// Replay runs the trace.
func Replay(ctx context.Context, o Options) (*Run, error) {
	r := &runner{options: o, operators: &operatorClient{addresses: o.Operators, token: o.Token}}
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	defer r.withdrawKeys(context.WithoutCancel(ctx))
	r.run.Before = readWitnesses(ctx, r.targets)
	r.run.Started = time.Now()
	events := r.startEvents(ctx)
	r.sendAll(ctx)
	events.Wait()
	time.Sleep(settleWait)
	r.run.After = readWitnesses(ctx, r.targets)
	return &r.run, ctx.Err()
}

type runner struct {
	options   Options
	operators *operatorClient
	targets   []operator.TargetRow
	keyIDs    []string
	caller    *caller
	run       Run

	mu   sync.Mutex
	done atomic.Int64
}

func (r *runner) prepare(ctx context.Context) error {
	var current operator.EnvironmentAnswer
	if err := r.operators.do(ctx, http.MethodGet, "/environment", nil, &current); err != nil {
		return merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	var list operator.TargetList
	if err := r.operators.do(ctx, http.MethodGet, "/targets", nil, &list); err != nil {
		return merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	r.targets = list.Targets
	keys, ids, err := r.operators.createKeys(ctx, accountNames(&current.Document))
	r.keyIDs = ids
	if err != nil {
		return merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	time.Sleep(settleWait)
	r.run.Options, r.run.Document = r.options, current.Document
	r.caller = &caller{http: newHTTPClient(), keys: keys, tokensPerByte: tokensPerByte(&r.run.Document)}
	return nil
}

func accountNames(d *environment.Document) []string {
	var out []string
	for _, a := range d.Accounts {
		out = append(out, a.Name)
	}
	return out
}

func tokensPerByte(d *environment.Document) func(string) float64 {
	view := environment.NewView(&environment.State{Document: *d}, time.Time{})
	return func(name string) float64 {
		model, _ := view.Resolve(name)
		if model == nil || model.PromptTokensPerByte == 0 {
			return 1
		}
		return model.PromptTokensPerByte
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}}
}

func (r *runner) withdrawKeys(ctx context.Context) {
	for _, id := range r.keyIDs {
		_ = r.operators.change(ctx, http.MethodDelete, "/keys/"+id)
	}
}

// startEvents carries events out at their times.
func (r *runner) startEvents(ctx context.Context) *sync.WaitGroup {
	addresses := make(map[string]string)
	for _, t := range r.targets {
		addresses[t.Name] = t.Address
	}
	e := &eventRunner{operators: r.operators, platform: r.options.Platform, pids: r.options.PIDs, addresses: addresses}
	var wait sync.WaitGroup
	for _, event := range r.options.Events {
		wait.Go(func() {
			if !sleepUntil(ctx, r.at(event.AtMS)) {
				return
			}
			if err := e.run(ctx, event); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.run.EventErrors = append(r.run.EventErrors, fmt.Sprintf("%s %s: %v", event.Action, event.Name, err))
			}
		})
	}
	return &wait
}

// at returns the time of a moment of the trace.
func (r *runner) at(ms int64) time.Time {
	return r.run.Started.Add(time.Duration(float64(ms) * float64(time.Millisecond) / r.options.Speed))
}

// sendAll sends every request at its time, whether earlier ones have ended or
// not, and waits for all.
func (r *runner) sendAll(ctx context.Context) {
	balancer := newBalancer(r.options.Addresses, r.options.Seed)
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	go balancer.run(probing)
	records := ApplySurges(r.options.Trace.Records, r.options.Events)
	stop := r.showProgress(len(records))
	defer stop()
	var wait sync.WaitGroup
	for i := range records {
		s := &Sample{
			Record:    &records[i],
			Scheduled: r.at(records[i].AtMS),
			ID:        fmt.Sprintf("%s-%d-%d", r.options.Trace.Header.Deployment, r.run.Started.UnixNano(), i),
		}
		if !sleepUntil(ctx, s.Scheduled) {
			break
		}
		r.run.Samples = append(r.run.Samples, s)
		wait.Go(func() { r.send(ctx, balancer.pick(), s) })
	}
	wait.Wait()
}

func (r *runner) send(ctx context.Context, address string, s *Sample) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Record.DeadlineMS)*time.Millisecond+dialTimeout)
	defer cancel()
	s.Sent = time.Now()
	r.caller.send(ctx, address, s)
	r.done.Add(1)
}

// showProgress writes a line now and then until it is stopped.
func (r *runner) showProgress(total int) func() {
	ticker := time.NewTicker(progressInterval)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				fmt.Fprintf(r.options.Progress, "%6.0f s  %d of %d requests ended\n", time.Since(r.run.Started).Seconds(), r.done.Load(), total)
			case <-ended:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(ended)
	}
}

// sleepUntil reports whether the time came before ctx ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return pause.For(ctx, wait)
}
