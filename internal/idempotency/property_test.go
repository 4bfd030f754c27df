package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/idempotency"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// crash is the panic value that ends a request between two of its steps.
type crash struct{}

// actor is one request at one instance. It stops before and after each call to the
// platform and to the service until the schedule continues it.
type actor struct {
	world *world
	key   string
	step  func() (struct{}, bool)
	kill  func()
	yield func(struct{}) bool

	finished bool
	// runs counts the service's runs of this request, as the service's Witness
	// reports them.
	runs  int
	reply *target.ServiceReply
	err   error
}

func newActor(w *world, name, key, body string, deadline time.Duration) *actor {
	a := &actor{world: w, key: key}
	call := w.call(key, body)
	call.Deadline = w.clock.Now().Add(deadline)
	a.step, a.kill = iter.Pull(func(yield func(struct{}) bool) {
		a.yield = yield
		defer func() {
			if r := recover(); r != nil && r != (crash{}) {
				panic(r)
			}
		}()
		claims := w.instance(name, &steppedObjects{w.store, a}, steppedService{a})
		a.reply, a.err = claims.Invoke(context.Background(), call)
		a.finished = true
	})
	return a
}

// waitForStep returns control to the schedule, which continues the request later or
// crashes the instance.
func (a *actor) waitForStep() {
	if !a.yield(struct{}{}) {
		panic(crash{})
	}
}

// steppedObjects is the platform of an actor, which stops before and after each call.
type steppedObjects struct {
	*platformstandin.Store
	actor *actor
}

func (s *steppedObjects) Get(ctx context.Context, key string) (platform.Object, error) {
	s.actor.waitForStep()
	defer s.actor.waitForStep()
	return s.Store.Get(ctx, key)
}

func (s *steppedObjects) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	s.actor.waitForStep()
	defer s.actor.waitForStep()
	return s.Store.Put(ctx, key, value, expected)
}

func (s *steppedObjects) Delete(ctx context.Context, key string, expected platform.Version) error {
	s.actor.waitForStep()
	defer s.actor.waitForStep()
	return s.Store.Delete(ctx, key, expected)
}

// steppedService is the service of an actor, which stops before and after each call.
type steppedService struct{ actor *actor }

func (s steppedService) Invoke(ctx context.Context, address string, call *target.ServiceCall) (*target.ServiceReply, error) {
	s.actor.waitForStep()
	before := s.actor.world.service.Witness().Runs
	reply, err := s.actor.world.service.Invoke(ctx, address, call)
	s.actor.runs += s.actor.world.service.Witness().Runs - before
	s.actor.waitForStep()
	return reply, err
}

// schedule draws the events of a random run.
type schedule struct {
	t     *rapid.T
	world *world
	// running holds the requests that have neither finished nor crashed.
	running []*actor
	all     []*actor
}

var (
	testKeys = []string{"gate-1", "gate-2"}
	// pauses are shorter than the lease, between lease and deadline, and longer than
	// the deadline.
	pauses = []time.Duration{time.Second, 16 * time.Second, 40 * time.Second}
)

func (s *schedule) begin() {
	key := rapid.SampledFrom(testKeys).Draw(s.t, "key")
	body := key
	if rapid.IntRange(0, 9).Draw(s.t, "other body") == 0 {
		body = key + "-other"
	}
	a := newActor(s.world, fmt.Sprint("instance-", len(s.all)), key, body, 30*time.Second)
	s.running = append(s.running, a)
	s.all = append(s.all, a)
}

func (s *schedule) next() {
	switch rapid.SampledFrom([]string{"step", "step", "step", "step", "step", "step", "begin", "crash", "pause", "platform", "service"}).Draw(s.t, "event") {
	case "begin":
		s.begin()
	case "crash":
		if len(s.running) > 0 {
			i := rapid.IntRange(0, len(s.running)-1).Draw(s.t, "actor")
			s.running[i].kill()
			s.remove(i)
		}
	case "pause":
		// All running requests are paused. No time passes between other events.
		s.world.clock.Advance(rapid.SampledFrom(pauses).Draw(s.t, "pause"))
	case "platform":
		s.world.store.SetFaults(platformstandin.Faults{
			Outage:      rapid.IntRange(0, 3).Draw(s.t, "outage") == 0,
			LoseAnswers: rapid.IntRange(0, 2).Draw(s.t, "lost answers"),
			StaleReads:  rapid.Bool().Draw(s.t, "stale"),
		})
	case "service":
		s.world.service.SetFaults(servicestandin.Faults{
			LoseAnswers:  rapid.IntRange(0, 1).Draw(s.t, "lost"),
			RejectNotRun: rapid.IntRange(0, 2).Draw(s.t, "not run"),
			Truncate:     rapid.IntRange(0, 1).Draw(s.t, "truncated"),
			Down:         rapid.IntRange(0, 5).Draw(s.t, "down") == 0,
		})
	default:
		if len(s.running) > 0 {
			s.stepOne(rapid.IntRange(0, len(s.running)-1).Draw(s.t, "actor"))
		}
	}
}

func (s *schedule) stepOne(i int) {
	if _, more := s.running[i].step(); !more {
		s.remove(i)
	}
}

func (s *schedule) remove(i int) { s.running = append(s.running[:i], s.running[i+1:]...) }

// finish runs all requests to their end on a healthy platform.
func (s *schedule) finish() {
	s.world.store.SetFaults(platformstandin.Faults{})
	s.world.service.SetFaults(servicestandin.Faults{})
	for len(s.running) > 0 {
		s.stepOne(0)
	}
}

func isNotRun(err error) bool {
	return errors.Is(err, relay.ErrNotRun) || errors.Is(err, idempotency.ErrUnavailable) || errors.Is(err, idempotency.ErrMismatch)
}

// check compares the results of callers with the runs that the service counted.
func (s *schedule) check() {
	witness := s.world.service.Witness()
	for _, key := range testKeys {
		ran := witness.RunsByBody[key] + witness.RunsByBody[key+"-other"]
		if ran > 1 {
			s.t.Fatalf("%s ran %d times", key, ran)
		}
		response := ""
		for _, a := range s.all {
			if a.key != key || !a.finished || a.err != nil {
				continue
			}
			if got := string(a.reply.Body); response != "" && got != response {
				s.t.Fatalf("%s has the responses %q and %q", key, response, got)
			}
			response = string(a.reply.Body)
		}
		if response != "" && ran != 1 {
			s.t.Fatalf("%s has a response but ran %d times", key, ran)
		}
	}
	for _, a := range s.all {
		if a.finished && isNotRun(a.err) && a.runs > 0 {
			s.t.Fatalf("a request under %s was reported as not run but ran", a.key)
		}
	}
}

func TestAtMostOnceUnderEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{t: t, world: newWorld()}
		defer func() {
			for _, a := range s.running {
				a.kill()
			}
		}()
		s.begin()
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			s.next()
		}
		s.finish()
		s.check()
	})
}
