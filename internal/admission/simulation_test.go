package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/routing"
)

const (
	slots       = 20
	meanService = time.Second
	deadline    = 6 * time.Second
	length      = 300 * time.Second
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// discipline is a queueing discipline.
type discipline interface {
	add(now time.Time, r routing.Request) bool
	next(now time.Time) *routing.Request
	started(r *routing.Request)
	finished(r *routing.Request, held time.Duration)
}

// fair is the queue under test.
type fair struct{ queue *admission.Queue }

func (f fair) add(now time.Time, r routing.Request) bool {
	_, refused := f.queue.Enqueue(now, r)
	return refused == nil
}

func (f fair) next(now time.Time) *routing.Request {
	f.queue.RemoveExpired(now)
	t := f.queue.Next(now, admission.NewSkipped())
	if t == nil {
		return nil
	}
	f.queue.Remove(t)
	return &t.Request
}

func (f fair) started(r *routing.Request) { f.queue.Started(r) }

func (f fair) finished(r *routing.Request, held time.Duration) {
	f.queue.Finished(r, held, routing.Completed)
}

// fifo is the baseline: an unbounded queue in order of arrival.
type fifo struct{ waiting []routing.Request }

func (f *fifo) add(_ time.Time, r routing.Request) bool {
	f.waiting = append(f.waiting, r)
	return true
}

func (f *fifo) next(time.Time) *routing.Request {
	if len(f.waiting) == 0 {
		return nil
	}
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	return &r
}

func (*fifo) started(*routing.Request) {}

func (*fifo) finished(*routing.Request, time.Duration) {}

// event is the arrival or the end of a call.
type event struct {
	at      time.Time
	request routing.Request
	started time.Time
	isEnd   bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcome counts calls by account: sent, and answered within their deadlines.
type outcome struct {
	sent, metDeadline map[string]int
}

func (o outcome) goodput() float64 {
	sum := 0
	for _, n := range o.metDeadline {
		sum += n
	}
	return float64(sum) / length.Seconds()
}

func (o outcome) attainment(account string) float64 {
	return float64(o.metDeadline[account]) / float64(o.sent[account])
}

type simulation struct {
	discipline discipline
	random     *rand.Rand
	events     events
	free       int
	outcome
}

// simulate runs the offered loads, which are fractions of the capacity by account.
func simulate(o discipline, seed uint64, loads map[string]float64) outcome {
	s := &simulation{discipline: o, random: rand.New(rand.NewPCG(seed, seed)), free: slots}
	s.sent, s.metDeadline = make(map[string]int), make(map[string]int)
	for _, account := range []string{"steady", "flood"} {
		s.arrivals(account, loads[account])
	}
	heap.Init(&s.events)
	for len(s.events) > 0 {
		s.handle(heap.Pop(&s.events).(event))
	}
	return s.outcome
}

func (s *simulation) arrivals(account string, load float64) {
	perSecond := load * slots / meanService.Seconds()
	for at := 0.0; load > 0; {
		at += s.random.ExpFloat64() / perSecond
		if at > length.Seconds() {
			return
		}
		arrived := origin.Add(time.Duration(at * float64(time.Second)))
		r := routing.Request{Served: "reader", Account: account, Class: routing.ClassInteractive, Deadline: arrived.Add(deadline)}
		s.events = append(s.events, event{at: arrived, request: r})
		s.sent[account]++
	}
}

func (s *simulation) handle(e event) {
	if e.isEnd {
		s.free++
		s.discipline.finished(&e.request, e.at.Sub(e.started))
		if !e.at.After(e.request.Deadline) {
			s.metDeadline[e.request.Account]++
		}
	} else if s.free > 0 {
		s.start(e.at, e.request)
	} else {
		s.discipline.add(e.at, e.request)
	}
	for s.free > 0 {
		r := s.discipline.next(e.at)
		if r == nil {
			return
		}
		s.start(e.at, *r)
	}
}

func (s *simulation) start(now time.Time, r routing.Request) {
	s.free--
	s.discipline.started(&r)
	held := time.Duration((0.5 + 0.5*s.random.ExpFloat64()) * float64(meanService))
	heap.Push(&s.events, event{at: now.Add(held), request: r, started: now, isEnd: true})
}

// loadMixes are the offered loads: the steady account offers a fifth of the
// capacity, the other up to five times the capacity.
var loadMixes = []map[string]float64{
	{"steady": 0.2, "flood": 0.6},
	{"steady": 0.2, "flood": 0.8},
	{"steady": 0.2, "flood": 1.8},
	{"steady": 0.2, "flood": 5},
}

var _ = Describe("Overload", func() {
	const seed = 1

	It("keeps its goodput when the load rises from the capacity to twice the capacity", func() {
		atCapacity := simulate(fair{admission.NewQueue()}, seed, loadMixes[1])
		atDouble := simulate(fair{admission.NewQueue()}, seed, loadMixes[2])
		Expect(atDouble.goodput()).To(BeNumerically(">=", 0.95*atCapacity.goodput()))
	})

	It("does not harm an account that stays within its share", func() {
		alone := simulate(fair{admission.NewQueue()}, seed, map[string]float64{"steady": 0.2})
		for _, mix := range loadMixes[2:] {
			mixed := simulate(fair{admission.NewQueue()}, seed, mix)
			Expect(mixed.attainment("steady")).To(BeNumerically(">=", alone.attainment("steady")-0.01))
		}
	})

	It("collapses with an unbounded queue", func() {
		atDouble := simulate(&fifo{}, seed, loadMixes[2])
		Expect(atDouble.goodput()).To(BeNumerically("<", 0.5*slots))
	})
})

// BenchmarkOverload prints goodput and attainment of the queue and the baseline
// for docs/design/admission.md.
func BenchmarkOverload(b *testing.B) {
	for _, mix := range loadMixes {
		for _, o := range []discipline{fair{admission.NewQueue()}, &fifo{}} {
			result := simulate(o, 1, mix)
			fmt.Printf("%T load %.1f goodput %.2f/s steady %.4f flood %.4f\n", o, mix["steady"]+mix["flood"], result.goodput(), result.attainment("steady"), result.attainment("flood"))
		}
	}
	for b.Loop() {
		simulate(fair{admission.NewQueue()}, 1, loadMixes[2])
	}
}
