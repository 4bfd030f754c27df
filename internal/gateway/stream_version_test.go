package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const versionConfig = `{"Version":1,"Routes":[
 {"Name":"one","Hostname":"h.example","PathPrefix":"/one/","Kind":"streaming","Resumable":true,"TimeoutMs":10000,"Service":"s","MaxAttempts":1},
 {"Name":"more","Hostname":"h.example","PathPrefix":"/more/","Kind":"streaming","Resumable":true,"TimeoutMs":10000,"Service":"s","MaxAttempts":3}],
 "Services":[{"Name":"s","MaxConns":200}],"Limits":{"MaxBodyBytes":1000000}}`

// engineConfig makes the targets of versionConfig engines.
const engineConfig = `{"Version":2,"Routes":[
 {"Name":"one","Hostname":"h.example","PathPrefix":"/one/","Kind":"streaming","Resumable":true,"TimeoutMs":10000,"Service":"s","MaxAttempts":1},
 {"Name":"more","Hostname":"h.example","PathPrefix":"/more/","Kind":"streaming","Resumable":true,"TimeoutMs":10000,"Service":"s","MaxAttempts":3}],
 "Services":[{"Name":"s","MaxConns":200,"Engine":{"Slots":50,"KvCapacity":100000,"WeightsMb":100,"AdapterSlots":4,"LoadsPerS":1,
 "Models":[{"Name":"m","WeightsMb":10,"LoadTimeS":1,"Adapters":2,"AdapterMb":1},{"Name":"n","WeightsMb":10,"LoadTimeS":1,"Adapters":0}]}}],
 "Limits":{"MaxBodyBytes":1000000}}`

// streamEvents is the number of events of a whole stream. The last one ends it.
const streamEvents = 6

// versionTarget is a target whose events name its software version.
type versionTarget struct {
	id, address string
	// models is the list of models that it announces, in JSON; empty for a plain service.
	models  string
	version atomic.Pointer[string]
	// breaks makes it break off every nth stream after some events, 0 none.
	breaks atomic.Int32
	served atomic.Int32
}

func (t *versionTarget) setVersion(version string) { t.version.Store(&version) }

func (t *versionTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, version := t.served.Add(1), *t.version.Load()
	w.Header().Set("X-Dotterellink-Attempt-Id", r.Header.Get("X-Dotterellink-Attempt-Id"))
	w.Header().Set("X-Dotterellink-Server-Seal", "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
	}
	for id := first + 1; id <= streamEvents; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
		_ = http.NewResponseController(w).Flush()
		if every := t.breaks.Load(); every > 0 && n%every == 0 && id >= first+2 && id < streamEvents {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Millisecond)
	}
}

// versionFleet is a fleet before targets of several software versions.
type versionFleet struct {
	rateFleet
	versions []*versionTarget
}

func newVersionFleet(instances int, versions ...string) *versionFleet {
	f := &versionFleet{rateFleet: rateFleet{crashFleet: newCrashFleet()}}
	for _, v := range versions {
		f.addVersion(v)
	}
	f.write("config/main", versionConfig)
	for n := range instances {
		f.instances = append(f.instances, f.start(fmt.Sprint("i", n), fmt.Sprint("z", n%3)))
	}
	for _, i := range f.instances {
		Eventually(func() bool { return f.begin(i, "/more/x").complete }, 5*time.Second).Should(BeTrue())
	}
	return f
}

func (f *versionFleet) addVersion(version string) *versionTarget {
	t := &versionTarget{id: fmt.Sprint("i-", len(f.versions))}
	t.setVersion(version)
	server := httptest.NewServer(t)
	DeferCleanup(server.Close)
	t.address = strings.TrimPrefix(server.URL, "http://")
	f.versions = append(f.versions, t)
	f.announce(t, "ready")
	return t
}

func (f *versionFleet) announce(t *versionTarget, state string) {
	if t.models != "" {
		f.write("servers/"+t.id, fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"z1","Slots":50,"State":%q,"Version":%q,"born":1,"Models":%s}`, t.address, state, *t.version.Load(), t.models))
		return
	}
	f.write("servers/"+t.id, fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"z1","Slots":50,"State":%q,"Version":%q,"born":1}`, t.address, state, *t.version.Load()))
}

// stream is a stream over all tries of its caller.
type stream struct {
	// id is that of the attempt that brought the first event; empty if there was none.
	id   string
	path string
	key  string
	// model is the model that the call names, empty for none.
	model    string
	last     int
	versions map[string]bool
	complete bool
	status   int
}

// begin makes the first try of a stream.
func (f *versionFleet) begin(i *instance, path string) *stream {
	return f.beginModel(i, path, "")
}

// beginModel makes the first try of a stream of a model.
func (f *versionFleet) beginModel(i *instance, path, model string) *stream {
	s := &stream{path: path, model: model, versions: make(map[string]bool), key: fmt.Sprintf("a1:10,%x:5", 1<<32+f.calls.Add(1))}
	f.try(i, s, nil)
	return s
}

// try makes one try, which takes the stream up if it has begun. It reports whether any
// further event came.
func (f *versionFleet) try(i *instance, s *stream, header http.Header) bool {
	r, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Listen.Callers+s.path, nil)
	Expect(err).NotTo(HaveOccurred())
	id := fmt.Sprint("stream-", f.calls.Add(1))
	r.Host = "h.example"
	r.Header.Set("X-Dotterellink-Attempt-Id", id)
	r.Header.Set("X-Dotterellink-Deadline-Ms", "8000")
	r.Header.Set("X-Dotterellink-Prompt-Prefix", s.key)
	if s.model != "" {
		r.Header.Set("X-Dotterellink-Model", s.model)
		r.Header.Set("X-Dotterellink-Token-Usage", "15,10")
	}
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", fmt.Sprint(s.last))
		r.Header.Set("Resumes", s.id)
	}
	for name, values := range header {
		if r.Header[name] = values; len(values) == 0 {
			delete(r.Header, name)
		}
	}
	before := s.last
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		s.status = 0
		return false
	}
	defer answer.Body.Close()
	if s.status = answer.StatusCode; s.status != http.StatusOK {
		return false
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			_, _ = fmt.Sscan(value, &s.last)
			if s.id == "" {
				s.id = id
			}
		}
		if value, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.versions[value] = true
		}
	}
	s.complete = s.last == streamEvents
	return s.last > before
}

// beginMany begins streams at all instances, a few at a time.
func (f *versionFleet) beginMany(count int, path string) []*stream {
	out := make([]*stream, count)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			defer GinkgoRecover()
			for n := worker; n < count; n += 8 {
				out[n] = f.begin(f.instances[n%len(f.instances)], path)
			}
		})
	}
	group.Wait()
	return out
}

// beginBroken begins streams of which one in three is broken off.
func (f *versionFleet) beginBroken(count int, path string) []*stream {
	for _, t := range f.versions {
		t.breaks.Store(3)
	}
	list := f.beginMany(count, path)
	for _, t := range f.versions {
		t.breaks.Store(0)
	}
	return list
}

// takeUp takes the streams up that have begun and are not complete, at other instances than
// those that began them. It returns how many it took up and how many went on.
func (f *versionFleet) takeUp(list []*stream, header http.Header) (tries, wentOn int) {
	for n, s := range list {
		if s.complete || s.last == 0 {
			continue
		}
		tries++
		if f.try(f.instances[(n+1)%len(f.instances)], s, header) {
			wentOn++
		}
	}
	return tries, wentOn
}

// joined returns the number of streams with events of two versions.
func joined(list []*stream) int {
	n := 0
	for _, s := range list {
		if len(s.versions) > 1 {
			n++
		}
	}
	return n
}

// served returns how many streams each version began.
func served(list []*stream) map[string]int {
	out := make(map[string]int)
	for _, s := range list {
		for v := range s.versions {
			out[v]++
		}
	}
	return out
}

var _ = Describe("Streams of several software versions", func() {
	// Guards against a stream that goes on at another version within one answer.
	It("go on within one answer at the version that began them", func() {
		f := newVersionFleet(2, "1", "1", "2", "2")
		for _, t := range f.versions {
			t.breaks.Store(3)
		}
		list := f.beginMany(150, "/more/x")
		Expect(joined(list)).To(BeZero())
	})

	// Guards against callers' take-ups at another version, at instances that did not begin
	// the stream.
	It("are taken up at the version that began them", func() {
		f := newVersionFleet(3, "1", "1", "2", "2")
		list := f.beginBroken(200, "/one/x")
		tries, wentOn := f.takeUp(list, nil)
		Expect(joined(list)).To(BeZero())
		Expect(tries).To(BeNumerically(">", 30))
		Expect(wentOn).To(BeNumerically(">=", tries*9/10))
	})

	// Guards against a version that new processes cannot know.
	It("are taken up at the version that began them after all instances have begun anew", func() {
		f := newVersionFleet(3, "1", "1", "2", "2")
		list := f.beginBroken(200, "/one/x")
		f.restartStreams()
		tries, wentOn := f.takeUp(list, nil)
		Expect(joined(list)).To(BeZero())
		Expect(tries).To(BeNumerically(">", 30))
		Expect(wentOn).To(BeNumerically(">=", tries*9/10))
	})

	// Guards against take-ups at the remaining version of streams that one began which is gone.
	It("are not taken up at the other version if theirs has left and all instances have begun anew", func() {
		f := newVersionFleet(3, "1", "1", "2", "2")
		list := f.beginBroken(200, "/one/x")
		f.announce(f.versions[0], "draining")
		f.announce(f.versions[1], "draining")
		time.Sleep(1500 * time.Millisecond)
		f.restartStreams()
		f.takeUp(list, nil)
		Expect(joined(list)).To(BeZero())
		for _, s := range list {
			if s.versions["2"] && s.last > 0 {
				Expect(s.complete).To(BeTrue(), "a stream of the version that stays: %d", s.status)
			}
		}
	})

	// Guards against a take-up at the other version because it holds the model of the stream.
	It("are taken up at the version that began them beside models and adapters that few targets hold", func() {
		f := newVersionFleet(3, "1", "1", "2", "2")
		held := []string{`["a1"]`, `[]`, `["a1"]`, `[]`}
		for n, t := range f.versions {
			t.models = `[{"Name":"m","Version":1,"Adapters":` + held[n] + `}]`
			if n == 1 || n == 2 {
				t.models = `[{"Name":"m","Version":1,"Adapters":` + held[n] + `},{"Name":"n","Version":1,"Adapters":[]}]`
			}
			f.announce(t, "ready")
		}
		f.write("config/main", engineConfig)
		for _, i := range f.instances {
			Eventually(func() bool { return f.beginModel(i, "/one/x", "n").complete }, 5*time.Second).Should(BeTrue())
		}
		for _, t := range f.versions {
			t.breaks.Store(3)
		}
		var list []*stream
		for n := range 150 {
			list = append(list, f.beginModel(f.instances[n%3], "/one/x", []string{"m", "n", "m/a1"}[n%3]))
		}
		for _, t := range f.versions {
			t.breaks.Store(0)
		}
		tries, wentOn := f.takeUp(list, nil)
		Expect(joined(list)).To(BeZero())
		Expect(tries).To(BeNumerically(">", 20))
		Expect(wentOn).To(BeNumerically(">=", tries*9/10))
	})

	// Guards against a stream that is joined because its caller does not name it rightly.
	DescribeTable("are not joined if the caller names the stream wrongly or not at all",
		func(header http.Header) {
			f := newVersionFleet(3, "1", "1", "2", "2", "3")
			list := f.beginBroken(150, "/one/x")
			tries, _ := f.takeUp(list, header)
			Expect(tries).To(BeNumerically(">", 20))
			Expect(joined(list)).To(BeZero())
		},
		Entry("missing", http.Header{"Resumes": nil}),
		Entry("unknown", http.Header{"Resumes": {"nobody-knows"}}),
		Entry("malformed", http.Header{"Resumes": {"\x7f ,,;"}}),
		Entry("without a prompt", http.Header{"X-Dotterellink-Prompt-Prefix": nil}),
		Entry("without a prompt and missing", http.Header{"X-Dotterellink-Prompt-Prefix": nil, "Resumes": nil}),
	)

	// Guards against a version that gets no new streams, and against take-ups at a target that
	// came back under its id with another version.
	It("begin at each version in proportion to its targets, also while they are released one by one", func() {
		f := newVersionFleet(2, "1", "1", "1", "1")
		var list []*stream
		for n, t := range f.versions {
			list = append(list, f.beginMany(60, "/more/x")...)
			t.breaks.Store(4)
			again := f.beginMany(60, "/one/x")
			t.breaks.Store(0)
			if n%2 == 0 {
				f.addVersion("2")
				f.announce(t, "draining")
			} else {
				// It restarts under its id.
				t.setVersion("2")
				f.announce(t, "ready")
			}
			time.Sleep(1200 * time.Millisecond)
			f.takeUp(again, nil)
			list = append(list, again...)
			if n == 1 {
				half := f.beginMany(200, "/more/x")
				Expect(served(half)["1"]).To(BeNumerically("~", 100, 40))
				Expect(served(half)["2"]).To(BeNumerically("~", 100, 40))
			}
		}
		Expect(joined(list)).To(BeZero())
		Expect(served(f.beginMany(40, "/more/x"))).To(HaveKeyWithValue("2", 40))
	})
})

// restartStreams begins new runs of all instances and waits until they serve.
func (f *versionFleet) restartStreams() {
	var all []int
	for n := range f.instances {
		all = append(all, n)
	}
	f.beginAnew(all...)
	for _, i := range f.instances {
		Eventually(func() bool { return f.begin(i, "/more/x").complete }, 5*time.Second).Should(BeTrue())
	}
}
