// Package dispatch decides which target gets a call. A Dispatcher tracks the load
// of each target: the calls of this instance immediately, those of its peers as
// they are reported, and the speed and failures observed in answers. Pick filters
// and scores the candidates. The package does no I/O and takes the current time
// as an argument.
package dispatch

import (
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/zones"
)

const (
	// cacheShare is the share of an engine's KV memory that is assumed to hold
	// cached prompt prefixes. Running calls use the rest.
	cacheShare = 0.7
	// defaultCacheTokens is the cache capacity assumed for prompts that peers report,
	// because the report does not contain the engine's memory, and for calls without
	// a model.
	defaultCacheTokens = 100_000
	// failureWeight is the weight of one result in a target's failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of a failure rate without new results.
	failureHalfLife = 4 * time.Second
	// peerLoadTTL is how long a load reported by a peer counts without a new
	// report. By then the calls of that load have ended or the peer is gone.
	peerLoadTTL = 3 * time.Second
	// maxPeerRunning bounds the calls that a peer reports at one target, so that products with
	// durations do not overflow. It is above the descriptors of any instance.
	maxPeerRunning = 1 << 16
	// minConnectBackoff and maxConnectBackoff bound the time for which a target
	// that accepted no connection is avoided.
	minConnectBackoff = 500 * time.Millisecond
	maxConnectBackoff = 2 * time.Second
)

// Work describes the work that a call causes at an engine.
type Work struct {
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	Parts        []call.PrefixPart
	// prefixKeys holds one key for each prefix of Parts. NewWork fills it.
	prefixKeys []PrefixKey
}

// NewWork returns the work of a call.
func NewWork(c *call.Call) Work {
	return Work{
		Model: c.Model, Adapter: c.Adapter, PromptTokens: c.PromptTokens, OutputTokens: c.MaxOutputTokens,
		Parts: c.Prefix, prefixKeys: hashPrefixes(c.Model, c.Adapter, c.Prefix),
	}
}

// tokens returns the memory that the call occupies at an engine with a memory of the given
// size; 0 if that is unknown.
func (w *Work) tokens(memory int) int {
	return call.BoundTokens(call.AddTokens(max(w.PromptTokens, 0), max(w.OutputTokens, 0)), memory)
}

// Load is the work at a target, of one instance or of all together.
type Load struct {
	// Running counts calls without a final answer.
	Running int
	// Waiting is the sum of the estimated costs of the calls without a first
	// answer. For engines that is their prefill time.
	Waiting time.Duration
	// Tokens is the memory that the calls occupy, in tokens.
	Tokens int
}

// plus returns the sum of two loads, in which Waiting is at most maxEstimate and Tokens at
// most the largest int.
func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Waiting: min(l.Waiting+o.Waiting, maxEstimate), Tokens: call.AddTokens(l.Tokens, o.Tokens)}
}

// targetState is what the Dispatcher knows about one target.
type targetState struct {
	own Load
	// peers holds the loads of the peers that have calls at the target. busyPeer is one of them
	// that isIdle has found; it may have ended its calls since.
	peers    map[string]peerLoad
	busyPeer string
	// slowness is the decaying average ratio of observed to expected time to the
	// first answer.
	slowness    decayingAverage
	failureRate decayingAverage
	// pace is what the target reports of its pace. While it is known, slowness is neither
	// used nor updated.
	pace  reportedPace
	cache *prefixCache
	// downUntil is when the target is no longer avoided for having accepted no
	// connection.
	downUntil      time.Time
	connectBackoff time.Duration
	// peerDownUntil is downUntil as reported by each peer.
	peerDownUntil map[string]time.Time
	// notHeldAt is when a call last found that the target does not hold a model or
	// adapter, by MODEL/ADAPTER.
	notHeldAt map[string]time.Time
	// quietUntil is until when the target wants no requests of this instance.
	quietUntil time.Time
	// mayBeColdSince is when the target may have become cold without announcing it.
	mayBeColdSince time.Time
	lastSentAt     time.Time
	// sends is kept only after UseSpread.
	sends sendRate
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
	// prefixUpdates lists the prompts sent since the last TakeUpdates.
	prefixUpdates []PrefixUpdate
	// suspicionsChanged is set once a target may have become cold that was not reported.
	suspicionsChanged bool
	// zones is nil unless UseZones was called.
	zones *zoneRule
	// spread is nil unless UseSpread was called.
	spread *spread
}

// PrefixUpdate reports a prompt sent to a target, which caches its prefixes.
type PrefixUpdate struct {
	// Adapter is MODEL/ADAPTER, empty without one.
	Adapter  string `msgpack:"a,omitempty"`
	TargetID string `msgpack:"t"`
	// Keys holds the key of each prefix of the prompt, shortest first. Tokens holds
	// the tokens of the last part of each prefix.
	Keys   []PrefixKey `msgpack:"k"`
	Tokens []int       `msgpack:"n"`
}

// NewDispatcher returns a Dispatcher without targets.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{targets: make(map[string]*targetState), times: newTokenTimes(), changed: make(map[string]bool)}
}

// state returns the state of a target and creates it if necessary. It requires
// d.mu.
func (d *Dispatcher) state(id string) *targetState {
	s := d.targets[id]
	if s == nil {
		s = &targetState{peers: make(map[string]peerLoad), peerDownUntil: make(map[string]time.Time), cache: newPrefixCache(), notHeldAt: make(map[string]time.Time)}
		d.targets[id] = s
	}
	return s
}

// peersDown returns the number of peers that report the target as accepting no
// connections.
func (s *targetState) peersDown(now time.Time) int {
	n := 0
	for _, until := range s.peerDownUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// load returns the target's load from all instances. It requires
// Dispatcher.mu.
func (s *targetState) load(now time.Time) Load {
	total := s.own
	for _, p := range s.peers {
		if now.Sub(p.at) < peerLoadTTL {
			total = total.plus(p.Load)
		}
	}
	return total
}

// Ticket tracks a call at a target from its send to its end.
type Ticket struct {
	dispatcher *Dispatcher
	targetID   string
	work       Work
	sentAt     time.Time
	// expected and cost are those of the Pick.
	expected time.Duration
	cost     time.Duration
	paced    paced
	onEngine bool
	service  string
	answered bool
	// answeredAt is when the first event or answer arrived.
	answeredAt time.Time
	done       bool
	tokens     int
}

// Begin records that a call is sent to the picked target.
func (d *Dispatcher) Begin(p Pick, w Work, now time.Time) *Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(p.Target.ID)
	t := &Ticket{
		dispatcher: d, targetID: p.Target.ID, work: w, sentAt: now, expected: p.Expected, cost: p.Cost, paced: p.paced,
		onEngine: w.Model != "", service: p.Target.Service, tokens: p.tokens,
	}
	s.own = s.own.plus(Load{Running: 1, Waiting: t.cost, Tokens: t.tokens})
	s.lastSentAt = now
	if d.spread != nil {
		d.spread.countSend(&s.sends, t.cost, now)
	}
	d.changed[t.targetID] = true
	if d.zones != nil && p.LeavesZone != zones.Stay {
		d.zones.leave(p, now)
	}
	if len(w.prefixKeys) > 0 {
		d.recordPrefix(s, w, p.CacheCapacityTokens)
		d.prefixUpdates = append(d.prefixUpdates, newPrefixUpdate(t.targetID, w))
	}
	return t
}

func newPrefixUpdate(id string, w Work) PrefixUpdate {
	r := PrefixUpdate{TargetID: id, Keys: w.prefixKeys}
	if w.Adapter != "" {
		r.Adapter = w.Model + "/" + w.Adapter
	}
	for _, part := range w.Parts {
		r.Tokens = append(r.Tokens, part.Tokens)
	}
	return r
}

// recordPrefix adds the prefixes of a prompt to the target's estimated cache. It
// requires d.mu.
func (d *Dispatcher) recordPrefix(s *targetState, w Work, capacity int) {
	for i, key := range w.prefixKeys {
		s.cache.touch(key, w.Parts[i].Tokens, capacity)
	}
}

// TargetID returns the ID of the target to which the call was sent.
func (t *Ticket) TargetID() string { return t.targetID }

// FirstAnswer records the first event of a stream, or the answer of a call that is
// not a stream. Only its first use has an effect.
func (t *Ticket) FirstAnswer(now time.Time) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.answered || t.done {
		return
	}
	t.answered, t.answeredAt = true, now
	s := d.state(t.targetID)
	s.own.Waiting = max(0, s.own.Waiting-t.cost)
	d.changed[t.targetID] = true
	observed := now.Sub(t.sentAt)
	switch {
	case observed < minObservedTime || t.expected <= 0:
	case t.paced.atPace > 0:
		if ratio := s.observePace(t, observed, now); t.onEngine {
			d.times.observe(t.work.Model, ratio)
		} else {
			d.times.observeCall(t.service, ratio, now)
		}
	case t.onEngine:
		ratio := float64(observed) / float64(t.expected)
		d.times.observe(t.work.Model, ratio)
		s.slowness.observe(now, min(ratio, maxSlowness), 1, slownessWeight, slownessHalfLife)
	}
}

// FirstAnswerAt returns when FirstAnswer was first used, or the zero time.
func (t *Ticket) FirstAnswerAt() time.Time {
	t.dispatcher.mu.Lock()
	defer t.dispatcher.mu.Unlock()
	return t.answeredAt
}

// Result says how a call at a target ended.
type Result int

// Results of calls.
const (
	// Served means that the target sent a complete answer. Its status may be an error.
	Served Result = iota
	// Failed means that the call broke off, that its answer was not authentic, or
	// that a stream call got a server error.
	Failed
	// Unreachable means that the target accepted no connection.
	Unreachable
	// Rejected means that the target stated that the call did not run.
	Rejected
	// NotHeld means that the target does not hold the model or adapter.
	NotHeld
	// Abandoned means that the caller disconnected.
	Abandoned
)

// End records the end of the call. Only its first use has an effect.
func (t *Ticket) End(r Result, now time.Time) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	s := d.state(t.targetID)
	s.own.Running--
	s.own.Tokens -= t.tokens
	if !t.answered {
		s.own.Waiting = max(0, s.own.Waiting-t.cost)
	}
	if s.own.Running == 0 {
		s.own = Load{}
	}
	d.changed[t.targetID] = true
	d.recordResult(s, r, t.work, now)
}

// recordResult updates the state of a target with the result of a call. It requires
// d.mu.
func (d *Dispatcher) recordResult(s *targetState, r Result, w Work, now time.Time) {
	switch r {
	case Served:
		s.failureRate.observe(now, 0, 0, failureWeight, failureHalfLife)
		s.connectBackoff, s.downUntil = 0, time.Time{}
	case Failed, Rejected:
		s.failureRate.observe(now, 1, 0, failureWeight, failureHalfLife)
	case Unreachable:
		s.failureRate.observe(now, 1, 0, failureWeight, failureHalfLife)
		s.connectBackoff = min(max(2*s.connectBackoff, minConnectBackoff), maxConnectBackoff)
		s.downUntil = now.Add(s.connectBackoff)
		s.cache = newPrefixCache()
	case NotHeld:
		s.notHeldAt[w.Model+"/"+w.Adapter] = now
	}
}

// Waiting returns Load.Waiting of a target, summed over all instances.
func (d *Dispatcher) Waiting(id string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.targets[id]; s != nil {
		return s.load(now).Waiting
	}
	return 0
}

// RunningAt returns Load.Running of a target, summed over all instances.
func (d *Dispatcher) RunningAt(id string, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.targets[id]; s != nil {
		return s.load(now).Running
	}
	return 0
}

// Restarted records that a target has restarted. Its cache is empty, and earlier
// connect failures and missing models no longer count.
func (d *Dispatcher) Restarted(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(id)
	s.cache, s.pace = newPrefixCache(), reportedPace{}
	s.connectBackoff, s.downUntil, s.quietUntil = 0, time.Time{}, time.Time{}
	clear(s.peerDownUntil)
	clear(s.notHeldAt)
}

// maxQuiet bounds the time for which a target gets no requests because it said so. A target
// that names more would otherwise be lost by a single mistaken answer.
const maxQuiet = time.Minute

// Quiet records that a target wants no requests of this instance for a while, at most
// maxQuiet, and returns that time.
func (d *Dispatcher) Quiet(id string, wanted time.Duration, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted = min(wanted, maxQuiet)
	if until := now.Add(wanted); until.After(d.state(id).quietUntil) {
		d.state(id).quietUntil = until
	}
	return wanted
}

// QuietFor returns how much longer a target wants no requests of this instance.
func (d *Dispatcher) QuietFor(id string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.targets[id]; s != nil {
		return max(0, s.quietUntil.Sub(now))
	}
	return 0
}

// SuspectCold records that a target may have become cold without announcing it.
func (d *Dispatcher) SuspectCold(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(id).mayBeColdSince = now
	d.suspicionsChanged = true
}

// ColdSuspicion is a target that may have become cold without announcing it, as one
// instance has found.
type ColdSuspicion struct {
	TargetID string `msgpack:"t"`
	// AgoMS is how long ago that was, in milliseconds.
	AgoMS int64 `msgpack:"a"`
}

// coldSuspicionTTL is how long a suspicion is reported to peers. Cold starts are shorter.
const coldSuspicionTTL = 30 * time.Second

// ColdSuspicions returns the targets that may have become cold, for peers and for
// instances that start, which have not seen what gave rise to it.
func (d *Dispatcher) ColdSuspicions(now time.Time) []ColdSuspicion {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspicionsChanged = false
	var out []ColdSuspicion
	for id, s := range d.targets {
		if ago := now.Sub(s.mayBeColdSince); !s.mayBeColdSince.IsZero() && ago < coldSuspicionTTL {
			out = append(out, ColdSuspicion{id, ago.Milliseconds()})
		}
	}
	return out
}

// HasNewSuspicions reports whether SuspectCold was called since the last ColdSuspicions.
func (d *Dispatcher) HasNewSuspicions() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspicionsChanged
}

// AddColdSuspicions records the suspicions of a peer.
func (d *Dispatcher) AddColdSuspicions(list []ColdSuspicion, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range list {
		s := d.state(c.TargetID)
		if at := now.Add(-time.Duration(c.AgoMS) * time.Millisecond); at.After(s.mayBeColdSince) {
			s.mayBeColdSince = at
		}
	}
}

// Forget drops targets that are no longer listed, have no running calls and got
// none within peerLoadTTL.
func (d *Dispatcher) Forget(listed func(id string) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.targets {
		if !listed(id) && s.own.Running == 0 && now.Sub(s.lastSentAt) > peerLoadTTL && !now.Before(s.quietUntil) {
			delete(d.targets, id)
		}
	}
}

// TokenTime returns the estimated prefill time of one prompt token of a model.
func (d *Dispatcher) TokenTime(model string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.times.estimate(model))
}
