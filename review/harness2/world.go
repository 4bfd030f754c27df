package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a small deployment, as on the platform's pages.
const (
	leaseBound = 3000 * time.Millisecond
	contact    = 3 * time.Second
	grace      = 8 * time.Second

	host = "case.example"
	key  = "k1"
)

// result is what a client saw of one request.
type result struct {
	id, machine, path, key string
	sentAt, endedAt        time.Time
	// status is 0 if the connection ended without the head of an answer.
	status int
	whole  bool
	seal   string
}

// world is one run of a case: real processes, stand-ins and what was seen.
type world struct {
	dir, daemon string
	network     string
	store       *store
	runners     []*runner
	machines    []*machine
	// slots is how many requests a runner runs at once.
	slots   int
	started time.Time
	nextID  atomic.Uint64

	mu       sync.Mutex
	arrivals []arrival
	orders   []order
	results  []result
	notes    []string
}

// errCannotRun ends a case that could not run.
type errCannotRun string

func (w *world) cannotRun(format string, args ...any) {
	panic(errCannotRun(fmt.Sprintf(format, args...)))
}

// newWorld starts a store on a loopback network whose ports are free.
func newWorld(daemon string) *world {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		panic(errCannotRun(err.Error()))
	}
	w := &world{dir: dir, daemon: daemon, slots: 6, started: time.Now()}
	for range 20 {
		w.network = fmt.Sprintf("127.%d.%d", 50+rand.IntN(150), 1+rand.IntN(250))
		if w.store, err = newStore(w.network + ".1:8225"); err == nil {
			return w
		}
	}
	panic(errCannotRun(err.Error()))
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%8.3f %s", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...)))
}

func (w *world) arrived(a arrival) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	return len(w.arrivals) - 1
}

func (w *world) ran(i int, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[i].outcome = outcome
}

func (w *world) ordered(o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
}

// since returns seconds since the start of the world.
func (w *world) since(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// machine is one real process of the project.
type machine struct {
	w          *world
	name, zone string
	ip         string
	settings   string
	values     map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// addMachine writes the settings of a machine, as the deploy file's template has them.
func (w *world) addMachine(name, zone string, bootstrap bool) *machine {
	i := len(w.machines)
	m := &machine{w: w, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", w.network, 10+i)}
	var seeds []string
	for j := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8229", w.network, 10+j))
	}
	m.settings = filepath.Join(w.dir, name+".json")
	m.values = map[string]any{
		"name": name, "zone": zone, "seeds": seeds, "store": w.network + ".1:8225", "bootstrap": bootstrap,
		"listen": map[string]any{"callers": m.ip + ":8221", "ready": m.ip + ":8224", "mesh": m.ip + ":8229", "metrics": m.ip + ":7601"},
		"drain":  map[string]any{"grace_seconds": grace.Seconds()},
		"bounds": map[string]any{
			"retry_ratio": 0.2, "retry_window_seconds": 10, "retry_slack": 54, "cold_overshoot": 1.5, "cold_slack": 5,
			"quota_window_seconds": 8, "quota_overshoot": 0.1, "quota_slack": 110000, "order_gap_ms": leaseBound.Milliseconds(),
		},
		"limits":   map[string]any{"memory_mb": 284, "descriptors": 4100},
		"overload": map[string]any{"enabled": true},
	}
	m.writeSettings()
	w.machines = append(w.machines, m)
	return m
}

// writeSettings puts the settings in place, as the platform does at each start and whenever they
// change.
func (m *machine) writeSettings() {
	data, _ := json.MarshalIndent(m.values, "", "  ")
	part := m.settings + ".part"
	if err := os.WriteFile(part, data, 0o600); err != nil {
		m.w.cannotRun("settings: %v", err)
	}
	if err := os.Rename(part, m.settings); err != nil {
		m.w.cannotRun("settings: %v", err)
	}
}

// start starts the process of the machine.
func (m *machine) start() {
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		m.w.cannotRun("log: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command = exec.Command(m.w.daemon, "--gateway", "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		m.w.cannotRun("start of %s: %v", m.name, err)
	}
	command, done := m.command, make(chan struct{})
	m.done = done
	go func() {
		err := command.Wait()
		_ = log.Close()
		m.w.note("process of %s has ended: %v", m.name, err)
		close(done)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.note("%v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// end kills the process, if it still runs.
func (m *machine) end() {
	m.mu.Lock()
	command, done := m.command, m.done
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-done
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.ip + ":8224/dotterellink/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready.
func (w *world) waitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(until) {
				w.cannotRun("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// close ends all processes and removes the folder.
func (w *world) close(keep bool) {
	for _, m := range w.machines {
		m.end()
	}
	for _, r := range w.runners {
		r.end()
	}
	_ = w.store.server.Close()
	if !keep {
		_ = os.RemoveAll(w.dir)
	}
}

var caller = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64,
	IdleConnTimeout: 5 * time.Second,
}}

// send sends one request to a machine and waits for its end. header may be nil.
func (w *world) send(m *machine, method, path string, header map[string]string, deadline time.Duration) result {
	id := fmt.Sprintf("%016x", w.nextID.Add(1)+0x5ca1ab1e00000000)
	res := result{id: id, machine: m.name, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.ip+":8221"+path, body)
	if err != nil {
		w.cannotRun("%v", err)
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("X-Dotterellink-Attempt-Id", id)
	r.Header.Set("X-Dotterellink-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	res.key = strings.TrimPrefix(r.Header.Get("Authorization"), "Token ")
	res.sentAt = time.Now()
	answer, err := caller.Do(r)
	if err == nil {
		res.status, res.seal = answer.StatusCode, answer.Header.Get("X-Dotterellink-Server-Seal")
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		res.whole = err == nil
	}
	res.endedAt = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, res)
	return res
}

// every calls f in a goroutine of its own at each interval until ctx ends.
func every(ctx context.Context, group *sync.WaitGroup, interval time.Duration, f func(n int)) {
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				group.Add(1)
				go func() {
					defer group.Done()
					f(n)
				}()
			}
		}
	}()
}

// write writes all that was seen to a file.
func (w *world) write(path, verdict string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "verdict: %s\n\nwhat happened, in seconds since the start\n", verdict)
	for _, n := range w.notes {
		fmt.Fprintln(&b, n)
	}
	fmt.Fprintf(&b, "\norders at runners\n")
	for _, o := range w.orders {
		fmt.Fprintf(&b, "%8.3f %s %s %s/%s holder %s token %d status %d\n", w.since(o.at), o.runner, o.Operation, o.Model, o.Adapter, o.Holder, o.FencingToken, o.status)
	}
	fmt.Fprintf(&b, "\nrequests at runners\n")
	for _, a := range w.arrivals {
		fmt.Fprintf(&b, "%8.3f %s %s %s %s\n", w.since(a.at), a.runner, a.id, a.path, a.outcome)
	}
	fmt.Fprintf(&b, "\nrequests of clients\n")
	for _, r := range w.results {
		fmt.Fprintf(&b, "%8.3f to %8.3f %s %s %s status %d whole %t %s\n", w.since(r.sentAt), w.since(r.endedAt), r.machine, r.id, r.path, r.status, r.whole, r.seal)
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}
