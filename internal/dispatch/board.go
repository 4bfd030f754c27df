// Package dispatch decides which target gets a call. A Board keeps what is known
// of the load of each target: the calls of this instance at once, those of its
// peers with their lag, and what answers taught about speed and failures. Pick
// filters, scores and picks over that; it does no I/O and takes the time as an
// argument.
package dispatch

import (
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
)

const (
	// cacheShare is the share of an engine's memory that is expected to keep
	// prompt parts; running calls hold the rest.
	cacheShare = 0.7
	// defaultCacheTokens stands for an engine whose memory is not known.
	defaultCacheTokens = 100_000
	// failureWeight is the weight of one outcome in a target's failure rate.
	failureWeight = 0.3
	// failureHalfLife is how fast failures without new outcomes are forgotten.
	failureHalfLife = 4 * time.Second
	// peerLoadFor is how long the load told by a peer counts without a new word:
	// its calls have ended by then, or it is gone.
	peerLoadFor = 3 * time.Second
	// downFirst and downMax bound the time for which a target that takes no
	// connection is left alone.
	downFirst = 500 * time.Millisecond
	downMax   = 2 * time.Second
)

// Work is what a call costs an engine.
type Work struct {
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	Parts        []call.PrefixPart
	// keys names the runs of parts; Board fills it.
	keys []PrefixKey
}

// NewWork returns the work of a call.
func NewWork(c *call.Call) Work {
	return Work{
		Model: c.Model, Adapter: c.Adapter, PromptTokens: c.PromptTokens, OutputTokens: c.MaxOutputTokens,
		Parts: c.Prefix, keys: chain(c.Model, c.Adapter, c.Prefix),
	}
}

// Load is the work that one instance has at a target.
type Load struct {
	// Running counts calls without a final answer.
	Running int
	// Waiting is the expected time of prompts not read yet.
	Waiting time.Duration
	// Tokens is the memory that the calls take, in tokens.
	Tokens int
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Waiting: l.Waiting + o.Waiting, Tokens: l.Tokens + o.Tokens}
}

// targetState is what the Dispatcher knows about one target.
type targetState struct {
	own       Load
	peers     map[string]peerLoad
	slowness  level
	failures  level
	cache     *cached
	downUntil time.Time
	downFor   time.Duration
	// downAt is the same by the word of each peer.
	downAt map[string]time.Time
	// absent notes models and adapters that the target lacked when last called.
	absent map[string]time.Time
	// coldFrom is when the target may have turned cold without a word.
	coldFrom time.Time
	usedAt   time.Time
}

type peerLoad struct {
	Load
	at time.Time
}

// Dispatcher keeps the state of all targets. It is safe for concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	targets map[string]*targetState
	times   *tokenTimes
	// changed lists targets whose own load changed since the last TakeUpdates.
	changed map[string]bool
	// read lists prompt prefixes sent since the last TakeUpdates.
	read []PrefixUpdate
}

// PrefixUpdate tells that a target reads the parts of a prompt.
type PrefixUpdate struct {
	// Adapter is MODEL/ADAPTER, empty without one.
	Adapter  string      `msgpack:"a,omitempty"`
	TargetID string      `msgpack:"t"`
	Keys     []PrefixKey `msgpack:"k"`
	Tokens   []int       `msgpack:"n"`
}

// NewDispatcher returns an empty board.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{targets: make(map[string]*targetState), times: newTokenTimes(), changed: make(map[string]bool)}
}

// state requires b.mu.
func (b *Dispatcher) state(id string) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{peers: make(map[string]peerLoad), downAt: make(map[string]time.Time), cache: newCached(), absent: make(map[string]time.Time)}
		b.targets[id] = s
	}
	return s
}

// peersFailing returns the number of peers for which the target takes no connection.
func (s *targetState) peersFailing(now time.Time) int {
	n := 0
	for _, until := range s.downAt {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// load requires b.mu. It returns the load of all instances.
func (s *targetState) load(now time.Time) Load {
	total := s.own
	for _, p := range s.peers {
		if now.Sub(p.at) < peerLoadFor {
			total = total.plus(p.Load)
		}
	}
	return total
}

// Ticket is a call at a target, from its send to its end.
type Ticket struct {
	board    *Dispatcher
	id       string
	work     Work
	sentAt   time.Time
	expected time.Duration
	// cost is the part of expected that is this call's own.
	cost   time.Duration
	engine bool
	first  bool
	done   bool
	tokens int
}

// Begin notes that a call is sent to the target picked.
func (b *Dispatcher) Begin(p Pick, w Work, now time.Time) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(p.Target.ID)
	t := &Ticket{
		board: b, id: p.Target.ID, work: w, sentAt: now, expected: p.Expected, cost: p.Cost,
		engine: w.Model != "", tokens: w.PromptTokens + w.OutputTokens,
	}
	s.own = s.own.plus(Load{Running: 1, Waiting: t.cost, Tokens: t.tokens})
	s.usedAt = now
	b.changed[t.id] = true
	if len(w.keys) > 0 {
		b.noteParts(s, w, p.CacheTokens)
		b.read = append(b.read, partsRead(t.id, w))
	}
	return t
}

func partsRead(id string, w Work) PrefixUpdate {
	r := PrefixUpdate{TargetID: id, Keys: w.keys}
	if w.Adapter != "" {
		r.Adapter = w.Model + "/" + w.Adapter
	}
	for _, part := range w.Parts {
		r.Tokens = append(r.Tokens, part.Tokens)
	}
	return r
}

// noteParts requires b.mu.
func (b *Dispatcher) noteParts(s *targetState, w Work, capacity int) {
	for i, key := range w.keys {
		s.cache.use(key, w.Parts[i].Tokens, capacity)
	}
}

// TargetID returns the target that has the call.
func (t *Ticket) TargetID() string { return t.id }

// FirstAnswer notes the first event of a stream, or the answer of a plain call.
func (t *Ticket) FirstAnswer(now time.Time) {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.first || t.done {
		return
	}
	t.first = true
	s := b.state(t.id)
	s.own.Waiting = max(0, s.own.Waiting-t.cost)
	b.changed[t.id] = true
	if observed := now.Sub(t.sentAt); t.engine && observed >= minObserved && t.expected > 0 {
		ratio := float64(observed) / float64(t.expected)
		b.times.observe(t.work.Model, ratio)
		s.slowness.observe(now, min(ratio, maxSlowness), 1, slownessWeight, slownessHalfLife)
	}
}

// Result says how a call at a target ended.
type Result int

// Results of calls.
const (
	// Served means a complete answer, whatever its status.
	Served Result = iota
	// Failed means that the target broke the call or answered with an error.
	Failed
	// Unreachable means that the target took no connection.
	Unreachable
	// Rejected means that the target stated that the call did not run.
	Rejected
	// NotHeld means that the target does not hold the model or adapter.
	NotHeld
	// Abandoned means that the caller left.
	Abandoned
)

// End notes the end of the call. It may be called more than once; the first
// counts.
func (t *Ticket) End(r Result, now time.Time) {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	s := b.state(t.id)
	s.own.Running--
	s.own.Tokens -= t.tokens
	if !t.first {
		s.own.Waiting = max(0, s.own.Waiting-t.cost)
	}
	if s.own.Running == 0 {
		s.own = Load{}
	}
	b.changed[t.id] = true
	b.note(s, r, t.work, now)
}

// note requires b.mu.
func (b *Dispatcher) note(s *targetState, r Result, w Work, now time.Time) {
	switch r {
	case Served:
		s.failures.observe(now, 0, 0, failureWeight, failureHalfLife)
		s.downFor, s.downUntil = 0, time.Time{}
	case Failed, Rejected:
		s.failures.observe(now, 1, 0, failureWeight, failureHalfLife)
	case Unreachable:
		s.failures.observe(now, 1, 0, failureWeight, failureHalfLife)
		s.downFor = min(max(2*s.downFor, downFirst), downMax)
		s.downUntil = now.Add(s.downFor)
		s.cache = newCached()
	case NotHeld:
		s.absent[w.Model+"/"+w.Adapter] = now
	}
}

// TargetLoad is the own load of an instance at one target.
type TargetLoad struct {
	TargetID string `msgpack:"t"`
	Running  int    `msgpack:"r"`
	// WaitingUS is in microseconds.
	WaitingUS int64 `msgpack:"w"`
	Tokens    int   `msgpack:"k"`
	// DownMS is how much longer the instance leaves the target alone, as it took no
	// connection.
	DownMS int64 `msgpack:"d,omitempty"`
}

// TakeUpdates returns the changes since the last call, or all loads if full is set.
func (b *Dispatcher) TakeUpdates(full bool, now time.Time) ([]TargetLoad, []PrefixUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []TargetLoad
	for id, s := range b.targets {
		if !b.changed[id] && !(full && s.own.Running > 0) {
			continue
		}
		loads = append(loads, TargetLoad{
			TargetID: id, Running: s.own.Running, WaitingUS: s.own.Waiting.Microseconds(),
			Tokens: s.own.Tokens, DownMS: max(0, s.downUntil.Sub(now).Milliseconds()),
		})
	}
	read := b.read
	b.read = nil
	clear(b.changed)
	return loads, read
}

// Pending reports whether TakeUpdates would return changes.
func (b *Dispatcher) Pending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.changed) > 0 || len(b.read) > 0
}

// ApplyPeerUpdate takes what a peer told of its loads.
func (b *Dispatcher) ApplyPeerUpdate(peer string, loads []TargetLoad, read []PrefixUpdate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range loads {
		s := b.state(l.TargetID)
		if l.Running == 0 {
			delete(s.peers, peer)
		} else {
			s.peers[peer] = peerLoad{Load{l.Running, time.Duration(l.WaitingUS) * time.Microsecond, l.Tokens}, now}
		}
		delete(s.downAt, peer)
		if l.DownMS > 0 {
			s.downAt[peer] = now.Add(min(time.Duration(l.DownMS)*time.Millisecond, downMax))
		}
	}
	for _, r := range read {
		s := b.state(r.TargetID)
		for i, key := range r.Keys {
			if i < len(r.Tokens) {
				s.cache.use(key, r.Tokens[i], defaultCacheTokens)
			}
		}
	}
}

// RemovePeer drops the load of a peer that has ended.
func (b *Dispatcher) RemovePeer(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.targets {
		delete(s.peers, peer)
		delete(s.downAt, peer)
	}
}

// Waiting returns the expected time of the prompts not read yet at a target.
func (b *Dispatcher) Waiting(id string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[id]; s != nil {
		return s.load(now).Waiting
	}
	return 0
}

// Restarted notes that a target began anew: it holds no prompt parts.
func (b *Dispatcher) Restarted(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.cache = newCached()
	s.downFor, s.downUntil = 0, time.Time{}
	clear(s.downAt)
	clear(s.absent)
}

// SuspectCold notes that a target may have turned cold without a word.
func (b *Dispatcher) SuspectCold(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).coldFrom = now
}

// Forget drops targets that are no longer listed and have no calls.
func (b *Dispatcher) Forget(listed func(id string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.targets {
		if !listed(id) && s.own.Running == 0 && now.Sub(s.usedAt) > peerLoadFor {
			delete(b.targets, id)
		}
	}
}

// TokenTime returns the estimated time for one prompt token of a model.
func (b *Dispatcher) TokenTime(model string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.times.of(model))
}
