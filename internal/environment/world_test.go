package environment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

const (
	simStep = 250 * time.Millisecond
	// withdrawalBound is the stated maximum time from the acceptance of a
	// withdrawal until no instance admits the key.
	withdrawalBound = 5 * time.Second
	// maxChangeDepth is the changeDepth from which reads of the platform make no
	// random changes of other operators.
	maxChangeDepth = 2
)

// errProcessEnded unwinds a change in a process that was replaced meanwhile.
var errProcessEnded = errors.New("process was replaced")

// world simulates instances, their platform and their operators on one goroutine.
// When any of them waits, simulated time advances for all.
type world struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	network   *meshtest.Network
	platform  *platformstandin.Store
	instances []*simInstance
	listed    []membership.Member
	faults    platformstandin.Faults
	loss      float64
	// faultEnds holds the end times of active faults.
	faultEnds map[string]time.Time
	delayed   []delayedResponse
	steps     int
	// changeDepth is the number of nested calls of changeKeyAt. Tests set it to
	// maxChangeDepth to make no random changes.
	changeDepth int
	nextKey     int
	created     map[string]bool
	// withdrawnAt holds when the withdrawal of each key was accepted.
	withdrawnAt     map[string]time.Time
	withdrawalTried map[string]bool
	violations      []string
	// onWait is called once, when a process next waits.
	onWait func()
}

// delayedResponse is a response to a status request that is still in flight.
type delayedResponse struct {
	at     time.Time
	to     *Syncer
	from   string
	sentAt time.Time
	body   *status
}

type simInstance struct {
	world       *world
	name, zone  string
	generation  int
	pausedUntil time.Time
	store       *Store
	syncer      *Syncer
	watch       watch
	heartbeatAt map[string]time.Time
	listed      []membership.Member
	// lastRevision and lastNonce are those of the last checkInvariants.
	lastRevision uint64
	lastNonce    string
}

func newWorld(seed uint64, sizes []int, loss float64) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2040, 1, 1, 0, 0, 0, 0, time.UTC))
	w := &world{
		clock: clock, random: rand.New(rand.NewPCG(seed, 1)), network: meshtest.NewNetwork(), loss: loss,
		platform: platformstandin.NewStore(clock, seed), faultEnds: make(map[string]time.Time),
		created: make(map[string]bool), withdrawnAt: make(map[string]time.Time), withdrawalTried: make(map[string]bool),
	}
	w.network.SetOutcomes(w.fate)
	for z, size := range sizes {
		for n := range size {
			i := &simInstance{world: w, name: fmt.Sprintf("%c%d", 'a'+z, n), zone: fmt.Sprintf("zone-%c", 'a'+z)}
			w.instances = append(w.instances, i)
			i.start()
		}
	}
	document := Document{}
	for z := range sizes {
		document.Zones = append(document.Zones, Zone{Name: fmt.Sprintf("zone-%c", 'a'+z)})
	}
	w.run(2 * time.Second)
	w.changeDepth = maxChangeDepth
	_, err := w.instances[0].store.Change(context.Background(), "op", "declare", 0, func(s *State) error {
		s.Document = document
		return nil
	})
	w.require(err == nil, "declare: %v", err)
	w.run(peerDiscoveryTimeout)
	w.changeDepth = 0
	return w
}

func (w *world) require(ok bool, format string, args ...any) {
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// start replaces the process of an instance by a new one without any state.
func (i *simInstance) start() {
	w := i.world
	i.generation++
	i.pausedUntil = time.Time{}
	i.heartbeatAt = make(map[string]time.Time)
	i.listed, i.watch, i.lastRevision = nil, watch{}, 0
	process := &simProcess{FakeClock: w.clock, instance: i, generation: i.generation}
	i.store = NewStore("production", process, process, telemetry.Discard())
	i.syncer = NewSyncer(i.store, w.network.Join(i.name, i.zone), i, process, prometheus.NewRegistry(), telemetry.Discard())
}

func (i *simInstance) isPaused() bool { return i.world.clock.Now().Before(i.pausedUntil) }

// Members implements Members by heartbeats within membership.LivenessTimeout.
func (i *simInstance) Members() []membership.Member {
	out := []membership.Member{{Name: i.name, Zone: i.zone}}
	for _, other := range i.world.instances {
		at, ok := i.heartbeatAt[other.name]
		if ok && i.world.clock.Since(at) <= membership.LivenessTimeout {
			out = append(out, membership.Member{Name: other.name, Zone: other.zone})
		}
	}
	return out
}

// Listed implements Members.
func (i *simInstance) Listed() []membership.Member { return i.listed }

// fate drops and duplicates messages at random, and drops all messages of paused
// instances. The loss rate within a zone is a third of that between zones, since a
// zone is assumed not to be partitioned and heavy loss would act like a partition.
func (w *world) fate(from, to mesh.Peer, _ string) meshtest.Outcome {
	for _, i := range w.instances {
		if i.isPaused() && (i.name == from.Name || i.name == to.Name) {
			return meshtest.LoseRequest
		}
	}
	loss := w.loss
	if from.Zone == to.Zone {
		loss /= 3
	}
	switch draw := w.random.Float64(); {
	case draw < loss/2:
		return meshtest.LoseRequest
	case draw < loss:
		return meshtest.LoseResponse
	case draw < loss+0.05:
		return meshtest.Duplicate
	}
	return meshtest.Deliver
}

// simProcess is the platform and the clock of one process. After advances the
// world; it panics with errProcessEnded if the process was replaced meanwhile.
type simProcess struct {
	*clockwork.FakeClock
	instance   *simInstance
	generation int
}

func (p *simProcess) panicIfReplaced() {
	if p.generation != p.instance.generation {
		panic(errProcessEnded)
	}
}

func (p *simProcess) After(d time.Duration) <-chan time.Time {
	if f := p.instance.world.onWait; f != nil {
		p.instance.world.onWait = nil
		f()
	}
	p.instance.world.run(max(d, time.Millisecond))
	for p.instance.isPaused() {
		p.instance.world.run(simStep)
	}
	p.panicIfReplaced()
	fired := make(chan time.Time, 1)
	fired <- p.Now()
	return fired
}

func (p *simProcess) context() context.Context {
	return platformstandin.WithZone(context.Background(), p.instance.zone)
}

func (p *simProcess) Get(_ context.Context, key string) (platform.Object, error) {
	object, err := p.instance.world.platform.Get(p.context(), key)
	// Another operator may make a change between the read and the write.
	if w := p.instance.world; w.changeDepth < maxChangeDepth && w.random.Float64() < 0.3 {
		w.changeKey(w.random.Float64() < 0.5)
	}
	p.panicIfReplaced()
	return object, err
}

func (p *simProcess) List(_ context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	return p.instance.world.platform.List(p.context(), prefix)
}

func (p *simProcess) Put(_ context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	return p.instance.world.platform.Put(p.context(), key, value, expected)
}

func (p *simProcess) Delete(_ context.Context, key string, expected platform.Version) error {
	return p.instance.world.platform.Delete(p.context(), key, expected)
}

func (p *simProcess) Changes(_ context.Context, prefix string, after platform.Version, _ time.Duration) ([]platform.Object, platform.Version, error) {
	return p.instance.world.platform.Changes(p.context(), prefix, after, 0)
}

// run advances simulated time by d.
func (w *world) run(d time.Duration) {
	for d > 0 {
		step := min(d, simStep)
		d -= step
		w.clock.Advance(step)
		w.endFaults()
		w.deliverDelayed()
		w.steps++
		for _, i := range w.instances {
			if !i.isPaused() {
				i.checkInvariants()
				i.step()
				i.checkInvariants()
			}
		}
	}
}

// step does the work of an instance's loops.
func (i *simInstance) step() {
	w := i.world
	i.syncer.Tick()
	i.receiveHeartbeats()
	if i.syncer.IsWatcher() && i.store.watchOnce(context.Background(), &i.watch) == nil {
		i.syncer.recordPlatformResponse()
	}
	triggered := false
	select {
	case <-i.syncer.exchangeTrigger:
		triggered = true
	default:
	}
	if triggered || w.steps%4 == 0 {
		for _, p := range i.syncer.mesh.Peers() {
			i.exchangeWith(p.Name)
		}
	}
}

// exchangeWith exchanges status with a peer. Some responses arrive late and out of
// order.
func (i *simInstance) exchangeWith(peer string) {
	w := i.world
	if w.random.Float64() < 0.8 {
		i.syncer.exchangeWith(context.Background(), peer)
		return
	}
	sentAt := w.clock.Now()
	request := &statusRequest{Revision: i.store.View().State.Revision}
	response, err := mesh.Call[statusRequest, status](context.Background(), i.syncer.mesh, peer, methodStatus, request)
	if err == nil {
		delay := time.Duration(w.random.Int64N(int64(statusTimeout)))
		w.delayed = append(w.delayed, delayedResponse{at: sentAt.Add(delay), to: i.syncer, from: peer, sentAt: sentAt, body: response})
	}
}

func (w *world) deliverDelayed() {
	w.delayed = slices.DeleteFunc(w.delayed, func(r delayedResponse) bool {
		if w.clock.Now().Before(r.at) {
			return false
		}
		r.to.applyStatus(r.from, r.sentAt, r.body)
		return true
	})
}

// receiveHeartbeats receives heartbeats of the peers and reads the list of
// instances.
func (i *simInstance) receiveHeartbeats() {
	w := i.world
	for _, other := range w.instances {
		self, peer := i.syncer.mesh.Self(), other.syncer.mesh.Self()
		connected := slices.Contains(i.syncer.mesh.Peers(), peer)
		if other != i && connected && w.fate(self, peer, "") == meshtest.Deliver {
			i.heartbeatAt[other.name] = w.clock.Now()
		}
	}
	if _, err := w.platform.Instances(platformstandin.WithZone(context.Background(), i.zone)); err == nil {
		i.listed = w.listed
	}
}

// checkInvariants checks that revisions do not go back and that no withdrawn key
// is served after withdrawalBound.
func (i *simInstance) checkInvariants() {
	w := i.world
	state := i.store.View().State
	w.require(state.Revision >= i.lastRevision, "%s went back from revision %d to %d", i.name, i.lastRevision, state.Revision)
	w.require(state.Revision > i.lastRevision || state.Change.Nonce == i.lastNonce || i.lastRevision == 0, "%s changed the content of revision %d", i.name, state.Revision)
	i.lastRevision, i.lastNonce = state.Revision, state.Change.Nonce
	if i.syncer.Verdict() == VerdictCutOff {
		return
	}
	for _, key := range state.Keys {
		if at, ok := w.withdrawnAt[key.ID]; ok && w.clock.Since(at) > withdrawalBound {
			w.require(false, "%s serves key %s %s after its withdrawal, verdict %s", i.name, key.ID, w.clock.Since(at), i.syncer.Verdict())
		}
	}
}

// changeKey creates or withdraws a key at a random instance.
func (w *world) changeKey(withdraw bool) {
	w.changeKeyAt(w.instances[w.random.IntN(len(w.instances))], withdraw)
}

func (w *world) changeKeyAt(i *simInstance, withdraw bool) {
	w.changeDepth++
	defer func() { w.changeDepth-- }()
	defer func() {
		if recovered := recover(); recovered != nil && recovered != errProcessEnded {
			panic(recovered)
		}
	}()
	id := w.pickKey()
	if i.isPaused() || (withdraw && id == "") {
		return
	}
	if withdraw {
		w.withdrawalTried[id] = true
		if _, err := i.store.Change(context.Background(), "op", "withdraw", 0, func(s *State) error {
			s.Keys = slices.DeleteFunc(s.Keys, func(k Key) bool { return k.ID == id })
			return nil
		}); err == nil {
			w.withdrawnAt[id] = w.clock.Now()
		}
		return
	}
	w.nextKey++
	id = fmt.Sprintf("key-%d", w.nextKey)
	if _, err := i.store.Change(context.Background(), "op", "create", 0, func(s *State) error {
		s.Keys = append(s.Keys, Key{ID: id})
		return nil
	}); err == nil {
		w.created[id] = true
	}
}

// pickKey returns the first created key whose withdrawal was not tried, or "".
func (w *world) pickKey() string {
	for n := 1; n <= w.nextKey; n++ {
		id := fmt.Sprintf("key-%d", n)
		if w.created[id] && !w.withdrawalTried[id] {
			return id
		}
	}
	return ""
}

// fault is a fault or an operator's change in a run.
type fault struct {
	Kind     string
	Instance int
	For      time.Duration
}

// inject starts a fault. A pause ends by itself, other lasting faults are ended
// by endFaults.
func (w *world) inject(f fault) {
	i := w.instances[f.Instance%len(w.instances)]
	end := w.clock.Now().Add(f.For)
	switch f.Kind {
	case "pause":
		i.pausedUntil = end
	case "restart":
		i.start()
	case "lost answer":
		w.faults.LoseAnswers++
	case "publish list":
		w.listed = nil
		for _, other := range w.instances {
			w.listed = append(w.listed, membership.Member{Name: other.name, Zone: other.zone})
		}
	case "create", "withdraw":
		w.changeKey(f.Kind == "withdraw")
	case "isolated":
		w.faultEnds["cut from platform "+i.zone] = end
		w.faultEnds["cut from zones "+i.zone] = end
	default:
		w.faultEnds[f.Kind+" "+i.zone] = end
	}
	w.applyFaults()
}

// endFaults ends the faults whose duration has passed.
func (w *world) endFaults() {
	w.faults.LoseAnswers = 0
	for key, end := range w.faultEnds {
		if !w.clock.Now().Before(end) {
			delete(w.faultEnds, key)
		}
	}
	w.applyFaults()
}

func (w *world) applyFaults() {
	w.faults.Outage, w.faults.StaleReads, w.faults.CutZones = false, false, nil
	for _, i := range w.instances {
		_, outage := w.faultEnds["outage "+i.zone]
		_, stale := w.faultEnds["stale reads "+i.zone]
		_, cut := w.faultEnds["cut from platform "+i.zone]
		_, partitioned := w.faultEnds["cut from zones "+i.zone]
		w.faults.Outage = w.faults.Outage || outage
		w.faults.StaleReads = w.faults.StaleReads || stale
		if cut {
			w.faults.CutZones = append(w.faults.CutZones, i.zone)
		}
		w.network.SetZonePartition(i.zone, false)
		if partitioned {
			defer w.network.SetZonePartition(i.zone, true)
		}
	}
	w.platform.SetFaults(w.faults)
}

// recoverAndCheck ends all faults, lets the instances recover and checks that they
// agree and that no accepted change was lost.
func (w *world) recoverAndCheck() {
	clear(w.faultEnds)
	w.loss = 0
	for _, i := range w.instances {
		i.pausedUntil = time.Time{}
	}
	w.run(2 * withdrawalBound)
	newest := w.instances[0].store.View().State
	for _, i := range w.instances {
		state := i.store.View().State
		w.require(state.Revision == newest.Revision && !isConflicting(state, newest), "%s ended at revision %d, not %d", i.name, state.Revision, newest.Revision)
		w.require(i.syncer.Verdict() == VerdictFresh, "%s ended with verdict %s", i.name, i.syncer.Verdict())
		for id := range w.created {
			w.require(w.withdrawalTried[id] || i.store.View().Key(id) != nil, "%s lost key %s", i.name, id)
		}
		for id := range w.withdrawnAt {
			w.require(i.store.View().Key(id) == nil, "%s still has withdrawn key %s", i.name, id)
		}
	}
}
