package dispatch

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// sendHalfLife smooths the rate of sends to a target. An instance of a large fleet sends a
	// target less than one call a second, so a shorter time would leave too few of them.
	sendHalfLife = 5 * time.Second
	// minCounted bounds how much the first sends of an instance stand for.
	minCounted = time.Second
	// viewAgeTTL is how long a computed age of the view is used again. It is short against
	// the time between two statuses of a peer.
	viewAgeTTL = 50 * time.Millisecond
)

// spread holds what UseSpread adds to a Dispatcher.
type spread struct {
	random *rand.Rand
	// heardAt is when the last update of each peer arrived.
	heardAt map[string]time.Time
	// instances, viewAge and computedAt are the last result of view.
	instances  int
	viewAge    time.Duration
	computedAt time.Time
	options    []spreadOption
	// firstSendAt is when the counts of sends began.
	firstSendAt time.Time
}

// spreadOption is a candidate that may get the call.
type spreadOption struct {
	index int
	score float64
}

// sendRate counts the sends of this instance to a target and their costs, decaying.
type sendRate struct {
	calls, work float64
	at          time.Time
}

// countSend counts a send to a target for the expected arrivals. It requires Dispatcher.mu.
func (s *spread) countSend(r *sendRate, cost time.Duration, now time.Time) {
	if s.firstSendAt.IsZero() {
		s.firstSendAt = now
	}
	r.decay(now)
	r.calls++
	r.work += float64(cost)
}

func (r *sendRate) decay(now time.Time) {
	if age := now.Sub(r.at); age > 0 && r.calls > 0 {
		factor := math.Exp2(-float64(age) / float64(sendHalfLife))
		r.calls, r.work = factor*r.calls, factor*r.work
	}
	r.at = now
}

// UseSpread spreads calls over the candidates by the calls that all instances are expected to
// send before they hear of each other's. Without peers it changes nothing, and none of the
// decisions after UseZones. It is to be called before the first Pick. Decisions with the same
// seed and input are the same.
func (d *Dispatcher) UseSpread(seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spread = &spread{random: rand.New(rand.NewPCG(seed, 0)), heardAt: make(map[string]time.Time)}
}

// view returns the number of instances and the mean age of what the peers reported.
func (s *spread) view(now time.Time) (int, time.Duration) {
	if age := now.Sub(s.computedAt); age >= 0 && age < viewAgeTTL {
		return s.instances, s.viewAge
	}
	sum := time.Duration(0)
	s.instances, s.viewAge, s.computedAt = 1, 0, now
	for peer, at := range s.heardAt {
		age := now.Sub(at)
		if age >= peerLoadTTL {
			delete(s.heardAt, peer)
			continue
		}
		s.instances++
		sum += max(0, age)
	}
	if s.instances > 1 {
		s.viewAge = sum / time.Duration(s.instances-1)
	}
	return s.instances, s.viewAge
}

// perSend returns the number of sends of the peers within the age of the view for each one
// in a sendRate.
func (s *spread) perSend(instances int, viewAge time.Duration, now time.Time) float64 {
	counted := max(minCounted, now.Sub(s.firstSendAt))
	full := 1 - math.Exp2(-float64(counted)/float64(sendHalfLife))
	return math.Ln2 * float64(viewAge) / float64(sendHalfLife) * float64(instances-1) / full
}

// pickSpread is Pick after UseSpread. It requires d.mu and a known peer.
//
// Peers send further calls to the candidates that no status has reported yet. They see the
// same loads, so all that arrive within the age of the view would go to the same candidate.
// Instead, their work is thought to fill the candidates from the lowest score up, as water
// does, and the call goes to a candidate with the probability of its share in that work.
//
// The calls expected for each candidate level the difference between two loads together, but
// each of them pays for itself what it costs to leave its cached prefix. So with n further
// calls the load of the peers, and the work that fills, count 1/(1+n).
func (d *Dispatcher) pickSpread(candidates []Candidate, q Query, instances int, viewAge time.Duration, idle *Pick) (Pick, bool) {
	options := d.spread.options[:0]
	var calls, work float64
	for i := range candidates {
		if c := &candidates[i]; !c.Limited && !q.Excluded[c.Target.ID] {
			if s := d.state(c.Target.ID); !s.lacks(&q) {
				s.sends.decay(q.Now)
				calls, work = calls+s.sends.calls, work+s.sends.work
				options = append(options, spreadOption{index: i})
			}
		}
	}
	d.spread.options = options
	if len(options) == 0 {
		return Pick{}, false
	}
	perSend := d.spread.perSend(instances, viewAge, q.Now)
	weight := 1 / (1 + perSend*calls/float64(len(options)))
	var p Pick
	for i := range options {
		c := &candidates[options[i].index]
		s := d.state(c.Target.ID)
		load := s.load(q.Now)
		d.scoreAt(c, s, &q, load.damped(s.own, weight, q.Work.Model != ""), &p)
		options[i].score = float64(p.Score)
		if load.Running == 0 {
			// The load is not damped then, so that the score is the one without UseSpread.
			idle.offerIdle(c, &p)
		}
	}
	work, point := weight*perSend*work, d.spread.random.Float64()
	chosen := d.scoreFull(candidates, options[fill(options, work, point)], q)
	if q.TargetLatency <= 0 || chosen.Expected <= q.TargetLatency {
		return chosen, true
	}
	// The call may be refused for what its target is expected to take. That must not happen
	// while another one is expected to be on time.
	onTime := options[:0]
	for _, o := range options {
		if p := d.scoreFull(candidates, o, q); p.Expected <= q.TargetLatency && !p.Down {
			onTime = append(onTime, o)
		}
	}
	if len(onTime) == 0 {
		return chosen, true
	}
	return d.scoreFull(candidates, onTime[fill(onTime, work, point)], q), true
}

// scoreFull scores an option at the whole load that is known. It requires d.mu.
func (d *Dispatcher) scoreFull(candidates []Candidate, o spreadOption, q Query) Pick {
	c := &candidates[o.index]
	var p Pick
	d.score(c, d.state(c.Target.ID), &q, &p)
	return p
}

// damped returns the load with a weight for the part that is not the own one. At engines only
// the waiting work is weighted: the full slots and memory of an engine are a bound.
func (l Load) damped(own Load, weight float64, engine bool) Load {
	l.Waiting = own.Waiting + time.Duration(weight*float64(l.Waiting-own.Waiting))
	if !engine {
		l.Running = own.Running + int(math.Round(weight*float64(l.Running-own.Running)))
	}
	return l
}

// fill distributes work over the options such that those with a part of it reach the same
// level, and returns the option at a point of the work, from 0 to 1. Without work it returns
// the first option with the lowest score.
func fill(options []spreadOption, work, point float64) int {
	level := math.Inf(1)
	for {
		sum, count := work, 0.0
		for _, o := range options {
			if o.score < level {
				sum, count = sum+o.score, count+1
			}
		}
		next := sum / count
		if count == 0 || next >= level {
			break
		}
		level = next
	}
	least := 0
	for i, o := range options {
		if o.score < options[least].score {
			least = i
		}
	}
	left := point * work
	for i, o := range options {
		if part := level - o.score; part > 0 {
			if left -= part; left < 0 {
				return i
			}
		}
	}
	return least
}
