package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/gateway"
	port "github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/platform"
)

const (
	crashingPart  = "bad0"
	promptsConfig = `{"Version":1,"Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/a/","Kind":"streaming","Resumable":true,
 "TimeoutMs":2000,"Service":"s","MaxAttempts":3}],"Services":[{"Name":"s","MaxConns":100}],
 "Tenants":[{"Name":"north","ApiKeys":["k1"]}],"Limits":{"MaxBodyBytes":1000}}`
	// targetRestart is the time after which a crashed target is back.
	targetRestart = time.Second
)

// crashes records when targets crashed and when calls with the crashing part arrived.
type crashes struct {
	mu       sync.Mutex
	at       []time.Time
	arrivals []time.Time
}

func (c *crashes) add(list *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, time.Now())
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// arrivedAfter returns how many calls with the part arrived more than wait after the
// nth crash.
func (c *crashes) arrivedAfter(n int, wait time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < n {
		return 0
	}
	after := 0
	for _, at := range c.arrivals {
		if at.Sub(c.at[n-1]) > wait {
			after++
		}
	}
	return after
}

// crashingTarget crashes when it begins to answer a call with the crashing part, and is
// back after targetRestart.
type crashingTarget struct {
	id       string
	address  string
	crashes  *crashes
	announce func(id, address string, born int)
	mu       sync.Mutex
	born     int
	server   *http.Server
	stopped  bool
}

func (t *crashingTarget) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	listener, err := net.Listen("tcp", t.address)
	Expect(err).NotTo(HaveOccurred())
	t.address = listener.Addr().String()
	t.born++
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, server) })
	t.server = server
	go func() { _ = server.Serve(listener) }()
	t.announce(t.id, t.address, t.born)
}

func (t *crashingTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.server.Close()
}

func (t *crashingTarget) serve(w http.ResponseWriter, r *http.Request, server *http.Server) {
	flush := http.NewResponseController(w).Flush
	w.Header().Set("X-Dotterellink-Attempt-Id", r.Header.Get("X-Dotterellink-Attempt-Id"))
	w.Header().Set("X-Dotterellink-Server-Seal", "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = flush()
	crashing := strings.Contains(r.Header.Get("X-Dotterellink-Prompt-Prefix"), crashingPart+":")
	if crashing {
		t.crashes.add(&t.crashes.arrivals)
	}
	for i := range 4 {
		time.Sleep(20 * time.Millisecond)
		if crashing {
			t.crash(server)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = flush()
	}
}

func (t *crashingTarget) crash(server *http.Server) {
	t.mu.Lock()
	first := t.server == server && !t.stopped
	if first {
		t.server = &http.Server{}
	}
	t.mu.Unlock()
	if !first {
		return
	}
	t.crashes.add(&t.crashes.at)
	server.Close()
	time.AfterFunc(targetRestart, func() {
		defer GinkgoRecover()
		t.start()
	})
}

// slowObjects is a store whose single reads take time.
type slowObjects struct{ port.Objects }

func (s slowObjects) Get(ctx context.Context, key string) (port.Object, error) {
	time.Sleep(200 * time.Millisecond)
	return s.Objects.Get(ctx, key)
}

var _ = Describe("Calls with a prompt part that crashes targets", func() {
	var store *platformstandin.Store
	var objects port.Objects
	var seeds []string
	var record *crashes
	var calls atomic.Int64
	ctx := context.Background()

	start := func(name, zone string) *instance {
		s := gateway.DefaultSettings()
		s.Name, s.Zone, s.Store, s.Seeds = name, zone, "127.0.0.1:1", seeds
		s.Listen = gateway.ListenSettings{Callers: freeAddress(), Ready: freeAddress(), Mesh: freeAddress()}
		s.Drain.GraceSeconds = 3
		g, err := gateway.New(s, gateway.Dependencies{
			Objects: objects, Eras: port.NewEras(), Source: platform.Source(), Dialect: platform.Dialect{}, Operator: platform.NewOperator(),
			ReadyPath: platform.ReadyPath, Tracing: telemetry.NoTracing(),
		}, telemetry.Discard(), prometheus.NewRegistry())
		Expect(err).NotTo(HaveOccurred())
		runCtx, cancel := context.WithCancel(ctx)
		i := &instance{settings: s, stop: cancel, done: make(chan error, 1)}
		go func() { i.done <- g.Run(runCtx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(i.done, 10*time.Second).Should(Receive())
		})
		seeds = append(seeds, s.Listen.Mesh)
		return i
	}
	write := func(key, value string) {
		var version port.Version
		if o, err := store.Get(ctx, key); err == nil {
			version = o.Version
		}
		_, err := store.Put(ctx, key, []byte(value), version)
		Expect(err).NotTo(HaveOccurred())
	}
	// send makes one call whose prompt consists of the parts and one of its own, and
	// returns the status and the body, 0 unless the answer is complete.
	send := func(i *instance, parts ...string) (int, string) {
		n := calls.Add(1)
		r, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Listen.Callers+"/a/x", nil)
		if err != nil {
			return 0, ""
		}
		r.Host = "h.example"
		r.Header.Set("Authorization", "Token k1")
		r.Header.Set("X-Dotterellink-Attempt-Id", fmt.Sprint("call-", n))
		r.Header.Set("X-Dotterellink-Deadline-Ms", "2000")
		r.Header.Set("X-Dotterellink-Prompt-Prefix", strings.Join(append(parts, fmt.Sprintf("%x:5", 1<<32+n)), ","))
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, ""
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return 0, ""
		}
		return answer.StatusCode, string(body)
	}
	sendSound := func(i *instance) int {
		status, _ := send(i, "a1:10")
		return status
	}
	// sendCrashing returns the status and the reason of a refusal.
	sendCrashing := func(i *instance) string {
		status, body := send(i, "a1:10", crashingPart+":10")
		return fmt.Sprint(status, " ", strings.TrimSpace(body))
	}
	const refused = "503 quarantined_prompt"
	// every calls do at an interval, concurrently, until the returned function is used.
	every := func(interval time.Duration, do func(n int)) (stop func()) {
		var running sync.WaitGroup
		done := make(chan struct{})
		running.Add(1)
		go func() {
			defer running.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				running.Add(1)
				go func() {
					defer running.Done()
					do(n)
				}()
			}
		}()
		return func() {
			close(done)
			running.Wait()
		}
	}

	BeforeEach(func() {
		store, seeds, record = platformstandin.NewStore(clockwork.NewRealClock(), 1), nil, &crashes{}
		objects = store
		for i := range 8 {
			t := &crashingTarget{id: fmt.Sprint("i-", i), address: "127.0.0.1:0", crashes: record}
			t.announce = func(id, address string, born int) {
				write("servers/"+id, fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"z1","Slots":6,"State":"ready","Born":%d}`, address, born))
			}
			t.start()
			DeferCleanup(t.stop)
		}
		write("config/main", promptsConfig)
	})

	// Guards against calls with a part under which five targets had crashed being sent to
	// further targets, one after the other, at all instances.
	It("reach no more than three targets later than 3 s after the fifth crash, and sound calls are served", func() {
		instances := []*instance{start("i1", "z1"), start("i2", "z2")}
		for _, i := range instances {
			Eventually(func() int { return sendSound(i) }, 3*time.Second).Should(Equal(http.StatusOK))
		}
		var sent, served atomic.Int32
		var counted atomic.Bool
		stopSound := every(20*time.Millisecond, func(n int) {
			count := counted.Load()
			status := sendSound(instances[n%2])
			if count {
				sent.Add(1)
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
		stopCrashing := every(150*time.Millisecond, func(n int) { sendCrashing(instances[n%2]) })
		time.Sleep(5 * time.Second)
		counted.Store(true)
		time.Sleep(3 * time.Second)
		stopCrashing()
		stopSound()
		AddReportEntry("crashes", record.count())
		AddReportEntry("sound calls served", fmt.Sprint(served.Load(), " of ", sent.Load()))
		Expect(record.count()).To(BeNumerically(">=", 3), "targets crashed")
		Expect(record.arrivedAfter(5, 3*time.Second)).To(BeNumerically("<=", 3), "calls with the part that arrived late, of %d", len(record.arrivals))
		Expect(sent.Load()).To(BeNumerically(">=", 100))
		Expect(float64(served.Load())/float64(sent.Load())).To(BeNumerically(">=", 0.5), "share of sound calls served")
	})

	// startAndCrash starts an instance and sends calls until it refuses them.
	startAndCrash := func() *instance {
		first := start("i1", "z1")
		Eventually(func() int { return sendSound(first) }, 3*time.Second).Should(Equal(http.StatusOK))
		stopCrashing := every(150*time.Millisecond, func(int) { sendCrashing(first) })
		Eventually(func() string { return sendCrashing(first) }, 5*time.Second).Should(Equal(refused))
		stopCrashing()
		return first
	}

	// Guards against the crashes beginning anew after the loss of all instances, also in the
	// moment before the stored quarantine is read.
	It("are refused after all instances were lost at once", func() {
		first := startAndCrash()
		Eventually(func() error { _, err := store.Get(ctx, "quarantine/parts"); return err }, time.Second).Should(Succeed())
		first.stop()
		Eventually(first.done, 10*time.Second).Should(Receive())
		first.done <- nil
		seeds, objects = nil, slowObjects{store}
		second := start("i2", "z2")
		before := record.count()
		Eventually(func() string { return sendCrashing(second) }, 5*time.Second, time.Millisecond).Should(Equal(refused))
		for range 5 {
			Expect(sendCrashing(second)).To(Equal(refused))
		}
		Expect(record.count()).To(Equal(before))
		Eventually(func() int { return sendSound(second) }, 2*time.Second).Should(Equal(http.StatusOK))
	})

	It("are refused at an instance that starts after the crashes, also if the others hear nothing more", func() {
		startAndCrash()
		second := start("i2", "z2")
		Eventually(func() int { return sendSound(second) }, 5*time.Second).Should(Equal(http.StatusOK))
		before := record.count()
		for range 5 {
			Expect(sendCrashing(second)).To(Equal(refused))
		}
		Expect(record.count()).To(Equal(before))
	})
})
