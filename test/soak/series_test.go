package soak_test

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// answerFaultEvery is the mean time between the starts of two faults of answers.
	answerFaultEvery = 350 * time.Millisecond
	// configuredShare is the share of silences beside which a configuration is written.
	configuredShare = 0.3
	// onlyHolderShare is the share of silences of targets that alone hold a model.
	onlyHolderShare = 0.4
)

// series is a row of faults with random numbers of its own: what is added to one row leaves
// the other, and what a seed means there, as it was.
type series struct {
	w      *world
	random *rand.Rand
}

// answerFault begins a fault of how a target answers and returns what ends it.
type answerFault struct {
	name string
	// begin may hit a target of its own choice in place of the drawn one.
	begin func(s *series, t *target) (hits *target, lasts time.Duration, end func())
}

var answerFaults = []answerFault{
	{"target falls silent", (*series).silence},
	{"target falls silent", (*series).silence},
	{"target falls silent", (*series).silence},
	{"target sends answers twice", answerFaultOf(answering{copying: 0.5})},
	{"target sends a byte now and then", answerFaultOf(answering{dribbling: 0.2})},
	{"target breaks answers off", answerFaultOf(answering{breaking: 0.4})},
}

func (s *series) silence(t *target) (*target, time.Duration, func()) {
	if holders := s.w.onlyHolders(); len(holders) > 0 && s.random.Float64() < onlyHolderShare {
		t = holders[s.random.IntN(len(holders))]
	}
	d := minSilence + time.Duration(s.random.Int64N(int64(maxSilence-minSilence)))
	t.fallSilent(d)
	if s.random.Float64() < configuredShare {
		go s.w.configure([]string{"alpha", "beta"}[s.random.IntN(2)])
	}
	return t, d, func() {}
}

func answerFaultOf(a answering) func(*series, *target) (*target, time.Duration, func()) {
	return func(s *series, t *target) (*target, time.Duration, func()) {
		sound := func() {}
		if a.dribbling+a.breaking > 0 {
			sound = t.beginUnsound()
		}
		t.setAnswering(a)
		return t, minFault + time.Duration(s.random.Int64N(int64(maxFault-minFault))), func() {
			t.setAnswering(answering{})
			sound()
		}
	}
}

// aTarget draws a target that serves.
func (s *series) aTarget() *target {
	serving := s.w.servingTargets()
	return serving[s.random.IntN(len(serving))]
}

// run begins faults of answers until a time, and ends all of them.
func (s *series) run(until time.Time) {
	var ends sync.WaitGroup
	defer ends.Wait()
	for s.w.pause(min(time.Duration(s.random.ExpFloat64()*float64(answerFaultEvery)), time.Until(until))) && time.Now().Before(until) {
		f, t := answerFaults[s.random.IntN(len(answerFaults))], s.aTarget()
		t, lasts, end := f.begin(s, t)
		s.w.note("%s: %s, %v", f.name, t.id, lasts.Round(time.Millisecond))
		ends.Go(func() {
			s.w.pause(lasts)
			end()
		})
	}
}

// rowEvery is the mean time between two rows of signals, withinRow the longest time
// between two signals of a row.
const (
	rowEvery   = 2500 * time.Millisecond
	withinRow  = 700 * time.Millisecond
	longestRow = 4
)

// signals sends rows of signals and new configurations, each soon after the one before, to
// one or two instances, until a time.
func (s *series) signals(until time.Time) {
	for s.w.pause(min(time.Duration(s.random.ExpFloat64()*float64(rowEvery)), time.Until(until))) && time.Now().Before(until) {
		first := s.random.IntN(len(s.w.instances))
		for range 2 + s.random.IntN(longestRow-1) {
			n := s.w.instances[(first+s.random.IntN(2))%len(s.w.instances)]
			s.w.note("row of signals: %s: %s", n.name, s.signal(n))
			if !s.w.pause(time.Duration(s.random.Int64N(int64(withinRow)))) {
				return
			}
		}
	}
}

// signal draws what an instance is told, and returns its name.
func (s *series) signal(n *instance) string {
	switch s.random.IntN(6) {
	case 0:
		s.w.disturb(n, contact)
		n.kill()
		return "kill"
	case 1, 2:
		go n.stop()
		return "planned stop"
	case 3:
		go s.w.configure([]string{"alpha", "beta"}[s.random.IntN(2)])
		return "configuration"
	}
	n.signal(syscall.SIGHUP)
	return "hang-up"
}

// disruptSignals runs the rows of signals of the seed.
func (w *world) disruptSignals(until time.Time) {
	(&series{w: w, random: rand.New(rand.NewPCG(w.seed, 2))}).signals(until)
}

// disruptAnswers runs the faults of answers of the seed.
func (w *world) disruptAnswers(until time.Time) {
	(&series{w: w, random: rand.New(rand.NewPCG(w.seed, 1))}).run(until)
}
