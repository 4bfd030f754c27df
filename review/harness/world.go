package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the wait until all machines are ready.
	startTimeout = 15 * time.Second
	routeHost    = "ficu95.example"
	// Figures of the settings, as in the example of the deployment.
	graceS        = 8
	quotaWindow   = 8 * time.Second
	quotaOver     = 0.1
	quotaSlack    = 110000
	coldOvershoot = 1.5
	coldSlack     = 5
)

// world is a small deployment: the store, runners, machines, and what they did.
type world struct {
	root, dir string
	network   int
	store     *store
	storeAddr string
	started   time.Time
	record    *os.File
	clients   *http.Client

	mu       sync.Mutex
	arrivals []arrival
	answers  []result
	ended    bool

	runners  []*runner
	machines []*machine
	// meshLinks puts a link before the mesh address of each machine.
	meshLinks bool
}

// newWorld starts the store.
func newWorld(root, recordPath string) *world {
	w := &world{root: root, network: freeNetwork(), store: newStore(), started: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	w.must(err)
	w.dir = dir
	w.record, err = os.Create(recordPath)
	w.must(err)
	l, err := net.Listen("tcp", w.host(250)+":0")
	w.must(err)
	w.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
	w.clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	return w
}

// freeNetwork returns the second number of loopback addresses that nobody uses now.
func freeNetwork() int {
	for i := range 200 {
		n := 20 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7999", n))
		if err == nil {
			_ = l.Close()
			return n
		}
	}
	return 20
}

func (w *world) host(i int) string { return fmt.Sprintf("127.%d.%d.1", w.network, i) }

// must ends the run with status 2, as the case could not run.
func (w *world) must(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

func (w *world) fail(format string, args ...any) {
	w.note("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	w.end()
	os.Exit(2)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	if w.record != nil && !w.ended {
		fmt.Fprintf(w.record, "%8.3f  "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
	}
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.noteLocked("ran       %s at %s, tenant %q, %d tokens", a.attempt, a.runner, a.tenant, a.tokens)
}

// end ends all processes that the world started.
func (w *world) end() {
	for _, m := range w.machines {
		m.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.record != nil {
		_ = w.record.Close()
	}
	w.ended = true
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// machine is one machine with its process of the deploy file.
type machine struct {
	w                    *world
	name, zone           string
	front, ready, mesh   string
	metrics, settings    string
	link                 *link
	firstStart, rendered bool

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// addMachine prepares a machine with addresses of its own.
func (w *world) addMachine(name, zone string) *machine {
	host := w.host(len(w.machines) + 1)
	m := &machine{w: w, name: name, zone: zone, firstStart: true, settings: filepath.Join(w.dir, name+".json")}
	for _, a := range []*string{&m.front, &m.ready, &m.mesh, &m.metrics} {
		l, err := net.Listen("tcp", host+":0")
		w.must(err)
		*a = l.Addr().String()
		defer l.Close()
	}
	if w.meshLinks {
		m.link = newLink(w, host+":0", m.mesh)
	}
	w.machines = append(w.machines, m)
	return m
}

// meshAddress is the address at which others reach the machine.
func (m *machine) meshAddress() string {
	if m.link != nil {
		return m.link.addr
	}
	return m.mesh
}

// render writes the settings as the template of the deploy file has them.
func (m *machine) render() {
	var seeds []string
	zones := make(map[string]bool)
	for _, other := range m.w.machines {
		if !zones[other.zone] && len(seeds) < 3 {
			zones[other.zone] = true
			seeds = append(seeds, other.meshAddress())
		}
	}
	listen := map[string]any{"callers": m.front, "ready": m.ready, "mesh": m.mesh, "metrics": m.metrics}
	if m.link != nil {
		listen["mesh_advertised"] = m.link.addr
	}
	s := map[string]any{
		"name": m.name, "zone": m.zone, "listen": listen, "seeds": seeds, "store": m.w.storeAddr,
		"drain": map[string]any{"grace_seconds": graceS},
		"bounds": map[string]any{
			"retry_ratio": 0.2, "retry_window_seconds": 10, "retry_slack": 54, "cold_overshoot": coldOvershoot, "cold_slack": coldSlack,
			"quota_window_seconds": quotaWindow.Seconds(), "quota_overshoot": quotaOver, "quota_slack": quotaSlack, "order_gap_ms": 3000,
		},
	}
	if m.firstStart {
		s["bootstrap"] = true
	}
	data, err := json.MarshalIndent(s, "", "  ")
	m.w.must(err)
	m.w.must(os.WriteFile(m.settings, data, 0o600))
}

// start runs the command of the deploy file with the settings of this machine.
func (m *machine) start() {
	m.render()
	m.firstStart = false
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	m.w.must(err)
	c := exec.Command("target/dotterellinkd", "--gateway", "--settings", m.settings)
	c.Dir, c.Stdout, c.Stderr = m.w.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.w.dir}
	m.w.must(c.Start())
	m.w.note("start     %s", m.name)
	done := make(chan struct{})
	m.mu.Lock()
	m.command, m.done = c, done
	m.mu.Unlock()
	go func() {
		err := c.Wait()
		_ = log.Close()
		m.w.note("ended     %s: %v", m.name, err)
		close(done)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	c, done := m.command, m.done
	m.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	m.w.note("signal    %s %v", m.name, s)
	_ = c.Process.Signal(s)
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

func (m *machine) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + m.ready + "/dotterellink/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startMachines starts the machines and waits until they are ready.
func (w *world) startMachines(list []*machine) {
	for _, m := range list {
		m.start()
	}
	w.awaitReady(list)
}

func (w *world) awaitReady(list []*machine) {
	until := time.Now().Add(startTimeout)
	for _, m := range list {
		for !m.isReady() {
			if time.Now().After(until) {
				w.fail("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("ready     %d machines", len(list))
}

// config is what the operator writes.
type config struct {
	Version  int
	Routes   []map[string]any
	Services []map[string]any
	Limits   map[string]any
	Tenants  []map[string]any
}

func (w *world) configure(c config) {
	c.Limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	data, err := json.Marshal(c)
	w.must(err)
	w.store.write("config", "main", data)
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": healthPath, "MaxConns": 360, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0}
}

func modelService(name, model string) map[string]any {
	return map[string]any{
		"Name": name, "HealthPath": healthPath, "MaxConns": 360, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 6.9,
		"Engine": map[string]any{
			"Slots": 64, "KvCapacity": kvCapacity, "KvTokenBytes": 163840, "LinkMbps": 1100000.0, "Moves": false, "Backups": false, "Stride": 5, "Cap": 12,
			"HostMb": 150000.0, "DiskMb": 440000.0, "PinMs": 4000.0, "HoldMs": 2000.0, "WeightsMb": 220000.0, "AdapterSlots": 8, "LoadsPerS": 1.4,
			"Models": []map[string]any{{"Name": model, "WeightsMb": 72700.0, "LoadTimeS": 4.2, "Adapters": 0, "AdapterMb": 66.0, "WarmS": 0.4, "DiskS": 0.84}},
		},
	}
}

func tenant(name, key string, rate float64) map[string]any {
	return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Unit": "token_count", "PlainTokens": 200, "RatePerS": rate, "Burst": rate}
}

// request is one client attempt.
type request struct {
	machine  *machine
	method   string
	path     string
	key      string
	model    string
	usage    string
	deadline time.Duration
	body     []byte
}

// result is how a client attempt ended.
type result struct {
	attempt, machine string
	sent, ended      time.Time
	status           int
	err              error
}

// send sends a request and reads its whole answer.
func (w *world) send(r request, attempt string) result {
	q, err := http.NewRequest(r.method, "http://"+r.machine.front+r.path, bytes.NewReader(r.body))
	w.must(err)
	q.GetBody = nil
	q.Host = routeHost
	q.Header.Set("X-Dotterellink-Attempt-Id", attempt)
	q.Header.Set("X-Dotterellink-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.key != "" {
		q.Header.Set("Authorization", "Token "+r.key)
	}
	if r.model != "" {
		q.Header.Set("X-Dotterellink-Model", r.model)
		q.Header.Set("X-Dotterellink-Prompt-Prefix", attempt+":"+inOf(r.usage))
	}
	if r.usage != "" {
		q.Header.Set("X-Dotterellink-Token-Usage", r.usage)
	}
	out := result{attempt: attempt, machine: r.machine.name, sent: time.Now()}
	w.note("sent      %s to %s %s %s", attempt, r.machine.name, r.path, r.usage)
	c := *w.clients
	c.Timeout = r.deadline + 500*time.Millisecond
	answer, err := c.Do(q)
	if err == nil {
		out.status = answer.StatusCode
		_, err = new(bytes.Buffer).ReadFrom(answer.Body)
		_ = answer.Body.Close()
	}
	out.err, out.ended = err, time.Now()
	w.note("answered  %s %d %v", attempt, out.status, errText(err))
	w.mu.Lock()
	w.answers = append(w.answers, out)
	w.mu.Unlock()
	return out
}

func inOf(usage string) string {
	in, _ := tokensOf(usage)
	return fmt.Sprint(in)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// press sends requests at a steady rate for a while, by turns to the machines.
func (w *world) press(perSecond float64, d time.Duration, machines []*machine, r request) {
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	started := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(i) * interval
		if at >= d {
			break
		}
		time.Sleep(at - time.Since(started))
		q := r
		q.machine = machines[i%len(machines)]
		group.Add(1)
		go func() {
			defer group.Done()
			w.send(q, w.newAttempt())
		}()
	}
	group.Wait()
}

var attempts struct {
	sync.Mutex
	n uint64
}

// newAttempt returns the ID of a new client attempt.
func (w *world) newAttempt() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("%08x%08x", uint32(w.started.UnixNano()), attempts.n)
}
