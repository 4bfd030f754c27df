package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/platform/platformtest"
)

const (
	// crashingPart is the part of a prompt that crashes each target that begins to answer.
	crashingPart = 0xbad
	// crashingEvery is the mean time between two calls with the part.
	crashingEvery = 150 * time.Millisecond
	// enoughCrashes is the number of crashes after which such calls have to be held back,
	// within heldBackAfter; most is how many may still get through.
	enoughCrashes = 5
	heldBackAfter = 3 * time.Second
	mostCrashing  = 3
	// enoughSound is the number of sound calls from which their share is judged.
	enoughSound = 20
	minAway     = 1500 * time.Millisecond
	maxAway     = 3 * time.Second
)

// crashes reports whether a call has a prompt part that crashes targets.
func (b *book) crashes(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[id]
	return r != nil && r.crashes
}

// crashOn sends the head of an answer and ends the process, which comes back later.
func (t *target) crashOn(w http.ResponseWriter, c platformtest.Received) {
	platformtest.SetResponseHeader(w.Header(), c.ID, t.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	t.w.book.mu.Lock()
	t.w.book.crashed = append(t.w.book.crashed, time.Now())
	t.w.book.mu.Unlock()
	t.w.note("%s crashes on call %s", t.id, c.ID)
	sound := t.beginUnsound()
	go func() {
		t.beginAnew(minAway + time.Duration(rand.Int64N(int64(maxAway-minAway))))
		sound()
	}()
	panic(http.ErrAbortHandler)
}

// crashInSoak has calls with the part come from a third of the disruptions on, if
// SOAK_CRASHING is set.
func (w *world) crashInSoak(until time.Time) {
	if setting("SOAK_CRASHING", 0) == 0 || !w.pause(time.Until(until)/3) {
		return
	}
	crashing, stop := context.WithDeadline(w.ctx, until)
	defer stop()
	w.callCrashing(crashing)
}

// composeCrashing draws a call with the part, which is neither the first nor the last of its
// prompt. Sound calls share its account and its first part.
func (w *world) composeCrashing(n *instance) *record {
	s := state(1, "alpha")
	routes := []*catalog.Route{&s.Routes[chatRoute], &s.Routes[resumedRoute]}
	r := &record{instance: n, account: plainAccount, route: routes[rand.IntN(len(routes))], crashes: true}
	id := w.name("crashing")
	r.call = call.Call{
		ID: id, Method: http.MethodPost, URI: r.route.PathPrefix + id, Host: hostName, Key: keys[plainAccount][0],
		Timeout: patience, Body: []byte("asked by " + id),
	}
	w.composeStream(r)
	first, last := r.call.Prefix[0], r.call.Prefix[1]
	r.call.Prefix = []call.PrefixPart{first, {ID: crashingPart, Tokens: 50}, last}
	return r
}

// callCrashing sends calls with the part at any instance.
func (w *world) callCrashing(until context.Context) {
	for pause.For(until, time.Duration(rand.ExpFloat64()*float64(crashingEvery))) {
		n := w.instances[rand.IntN(len(w.instances))]
		go w.callOnce(w.composeCrashing(n), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	}
}

// judgeCrashing checks that calls with a part that crashes targets are held back, and that
// sound calls of their routes are not.
func (b *book) judgeCrashing(w *world) {
	if len(b.crashed) == 0 {
		return
	}
	first, last := b.crashed[0], b.crashed[min(enoughCrashes, len(b.crashed))-1]
	if len(b.crashed) >= enoughCrashes {
		n := 0
		for _, arrivals := range b.arrivals {
			for _, a := range arrivals {
				if a.crashes && a.at.After(last.Add(heldBackAfter)) && w.reachable(a.instance, a.at) {
					n++
				}
			}
		}
		if n > mostCrashing {
			b.breaks("BUDGET", "%d calls with a part that crashes targets reached targets after the fifth crash, %d targets ended in all", n, len(b.crashed))
		}
	}
	b.judgeSound(w, first, last.Add(2*contact))
}

// judgeSound compares the shares of sound calls served before the first crash and from a
// time on, while calls with the part still come.
func (b *book) judgeSound(w *world, first, from time.Time) {
	var until time.Time
	for _, r := range b.records {
		if r.crashes && r.sent.After(until) {
			until = r.sent
		}
	}
	var asked, answered [2]float64
	for _, r := range b.records {
		if r.route.Kind != catalog.Stream || r.crashes || !r.leftAt.IsZero() || !w.reachable(r.instance.name, r.sent) {
			continue
		}
		phase := 0
		switch {
		case r.sent.Before(first.Add(-time.Second)):
		case r.sent.After(from) && r.sent.Before(until):
			phase = 1
		default:
			continue
		}
		asked[phase]++
		if r.status == http.StatusOK && r.answered() {
			answered[phase]++
		}
	}
	w.shares = [2]float64{answered[0] / max(1, asked[0]), answered[1] / max(1, asked[1])}
	w.soundCalls = asked
	if asked[0] >= enoughSound && asked[1] >= enoughSound && w.shares[1] < w.shares[0]/2 {
		b.breaks("LOST", "%.0f of %.0f sound calls served beside those that crash targets, %.0f of %.0f before", answered[1], asked[1], answered[0], asked[0])
	}
}

// reachable reports whether an instance ran and its links were whole for the time of contact
// before at.
func (w *world) reachable(name string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.disturbances {
		if !d.ofTarget && (d.instance == nil || d.instance.name == name) && !d.from.After(at) && d.to.Add(contact).After(at) {
			return false
		}
	}
	return true
}

const (
	// soundBefore is how long sound calls are counted before the first call with the part,
	// soundBeside how long while such calls are held back.
	soundBefore = 6 * time.Second
	soundBeside = 4 * time.Second
	// plannedEvery is the time between two planned changes beside them.
	plannedEvery = 2 * time.Second
)

var _ = Describe("Instances before calls with a prompt part that crashes targets", func() {
	// Guards against targets that crashed one after the other on calls with the same part.
	It("hold such calls back after the fifth crash and serve the others", func() {
		w := newWorld(1, defaultInstances)
		defer w.end()
		calling, stop := context.WithCancel(context.Background())
		defer stop()
		var callers sync.WaitGroup
		for _, n := range w.instances {
			for range callersPerInstance {
				callers.Go(func() { w.callOn(n, calling) })
			}
		}
		w.pause(soundBefore)
		lasts := enoughCrashes*crashingEvery + 2*contact + soundBeside
		go w.planned(time.Now().Add(lasts))
		crashing, stopCrashing := context.WithTimeout(calling, lasts)
		defer stopCrashing()
		w.callCrashing(crashing)
		stop()
		callers.Wait()
		w.pause(patience)
		broken := w.book.judge(w)
		GinkgoWriter.Printf("%d crashes, shares of sound calls %.2f, calls %v\n%s\n", len(w.book.crashed), w.shares, w.soundCalls, strings.Join(w.notes, "\n"))
		Expect(broken).To(BeEmpty())
		Expect(w.soundCalls[0]).To(BeNumerically(">=", enoughSound))
		Expect(w.soundCalls[1]).To(BeNumerically(">=", enoughSound))
	})
})

// planned makes changes that are planned, and has targets fall silent, until a time.
func (w *world) planned(until time.Time) {
	for w.pause(plannedEvery) && time.Now().Before(until) {
		n := w.anInstance()
		switch w.pick(3) {
		case 0:
			w.note("planned stop: %s", n.name)
			go n.stop()
		case 1:
			w.note("hang-up: %s", n.name)
			n.signal(syscall.SIGHUP)
		default:
			w.note("configuration")
			w.configure([]string{"alpha", "beta"}[w.pick(2)])
		}
		w.aTarget().fallSilent(minSilence)
	}
}
