// Command standins runs one case of the review: it starts the project's own program as
// processes before stand-ins for clients, runners and the platform's store, and checks one
// rule against what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// maxRun ends a case that does not end.
const maxRun = 115 * time.Second

// cases returns, for each case, whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{
	"large-request": largeRequest,
	"cold-outage":   coldOutage,
	"cut-watches":   cutWatches,
	"long-cut":      longCut,
	"old-members":   oldMembers,
	"paused":        pausedMachine,
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file to write to")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := newWorld(absolute, *record)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxRun):
		}
		w.fail("stopped before its end")
	}()
	broken := run(w, *trouble != "0")
	verdict := map[bool]string{true: "broken", false: "held"}[broken]
	w.note("verdict   the rule was %s", verdict)
	fmt.Printf("%s: the rule was %s\n", flag.Arg(0), verdict)
	w.end()
	if broken {
		os.Exit(1)
	}
}

// say prints a line and writes it to the record.
func say(w *world, format string, args ...any) {
	w.note("check     "+format, args...)
	fmt.Printf(format+"\n", args...)
}

// small adds seven machines in three zones.
func small(w *world) []*machine {
	return add(w, map[string]int{"a": 3, "b": 2, "c": 2})
}

func add(w *world, counts map[string]int) []*machine {
	for _, zone := range []string{"a", "b", "c"} {
		for i := range counts[zone] {
			w.addMachine(fmt.Sprintf("edge-ro-nord-%s-%02d", zone, i+1), "ro-nord-"+zone)
		}
	}
	return w.machines
}

// sendTimes returns when each attempt was sent.
func (w *world) sendTimes() map[string]time.Time {
	out := make(map[string]time.Time)
	for _, r := range w.answers {
		out[r.attempt] = r.sent
	}
	return out
}

// settle ends the processes, so that nothing more arrives.
func (w *world) settle() {
	for _, m := range w.machines {
		m.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
}

// mostTokens returns the most tokens that a tenant's requests had that were both sent and
// arrived at a runner that ran them within a window.
func (w *world) mostTokens(name string, from, to time.Time) (most int, at time.Time) {
	sent := w.sendTimes()
	seen := make(map[string]bool)
	var list []arrival
	for _, a := range w.arrivals {
		if a.tenant == name && !seen[a.attempt] && !a.at.Before(from) && a.at.Before(to) {
			seen[a.attempt] = true
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	for i := range list {
		// The window begins when this request was sent.
		begin := sent[list[i].attempt]
		sum := 0
		for _, b := range list {
			if s := sent[b.attempt]; !s.Before(begin) && b.at.Sub(begin) <= quotaWindow {
				sum += b.tokens
			}
		}
		if sum > most {
			most, at = sum, begin
		}
	}
	return most, at
}

// quotaBound is what the rule allows in a window.
func quotaBound(rate, burst float64) float64 {
	return (rate*quotaWindow.Seconds()+burst)*(1+quotaOver) + quotaSlack
}

// checkQuota reports whether the rule QUOTA was broken for a tenant.
func (w *world) checkQuota(name string, rate float64, from, to time.Time) bool {
	most, at := w.mostTokens(name, from, to)
	bound := quotaBound(rate, rate)
	say(w, "QUOTA: tenant %s ran at most %d tokens in a window of 8 s (from %.3f s), allowed are %.0f", name, most, at.Sub(w.started).Seconds(), bound)
	return float64(most) > bound
}

// largeRequest: a tenant sends single requests that are larger than what it may use in a
// whole window.
func largeRequest(w *world, trouble bool) bool {
	const rate = 10000.0
	machines := small(w)
	for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "huvo11a", "ro-nord-"+zone, 64, 0, "daka510000")
	}
	w.configure(config{
		Version: 7,
		Routes: []map[string]any{{
			"Name": "r-828m82t", "Hostname": routeHost, "PathPrefix": "/pufi791/", "Kind": "streaming", "TimeoutMs": 10000, "TargetLatencyMs": 4000,
			"Priority": 2, "Service": "huvo11a", "MaxAttempts": 2, "Anonymous": false, "Sticky": true, "Resumable": true, "GapAimMs": 300,
		}},
		Services: []map[string]any{modelService("huvo11a", "daka510000")},
		Tenants:  []map[string]any{tenant("hule930", "i9n73hh2b9wu3fexd9dn", rate)},
	})
	w.startMachines(machines)
	time.Sleep(4 * time.Second)
	usage := "9190,50"
	if trouble {
		usage = "230000,500"
	}
	w.press(2, 20*time.Second, machines, request{
		method: "POST", path: "/pufi791/2f", key: "i9n73hh2b9wu3fexd9dn", model: "daka510000", usage: usage, deadline: 10 * time.Second, body: []byte("draft\n"),
	})
	w.settle()
	return w.checkQuota("hule930", rate, w.started, time.Now())
}

// coldOutage: a runner turns cold while the store is down for 4.5 s.
func coldOutage(w *world, trouble bool) bool {
	machines := small(w)
	warm := w.startRunner("i-7f3a0001", "huvo11a", "ro-nord-b", 64, 0, "daka510000")
	cold := w.startRunner("i-7f3a0002", "huvo11a", "ro-nord-a", 64, 0, "daka510000")
	w.configure(config{
		Version: 7,
		Routes: []map[string]any{{
			"Name": "r-nr26tta", "Hostname": routeHost, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 400,
			"Priority": 0, "Service": "huvo11a", "MaxAttempts": 1, "Anonymous": false, "Sticky": true, "Resumable": false, "GapAimMs": 300,
		}},
		Services: []map[string]any{modelService("huvo11a", "daka510000")},
		Tenants:  []map[string]any{tenant("hule930", "i9n73hh2b9wu3fexd9dn", 105500)},
	})
	w.startMachines(machines)
	time.Sleep(5 * time.Second)
	go func() {
		time.Sleep(4 * time.Second)
		if trouble {
			w.note("store     down")
			w.store.setDown(true)
		}
		time.Sleep(time.Second)
		cold.turnCold(3 * time.Second)
		w.note("cold      %s for 3 s", cold.id)
		time.Sleep(3500 * time.Millisecond)
		w.store.setDown(false)
		w.note("store     up")
	}()
	w.press(60, 12*time.Second, machines, request{
		method: "POST", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", model: "daka510000", usage: "826,50", deadline: 5 * time.Second, body: []byte("chat\n"),
	})
	w.settle()
	_ = warm
	until := cold.coldUntil
	from := until.Add(-3 * time.Second)
	sent := w.sendTimes()
	most := 0
	for _, a := range w.arrivals {
		begin := sent[a.attempt]
		if a.runner != cold.id || begin.Before(from) {
			continue
		}
		n := 0
		for _, b := range w.arrivals {
			if s := sent[b.attempt]; b.runner == cold.id && !s.Before(begin) && b.at.Sub(begin) <= time.Second && b.at.Before(until) {
				n++
			}
		}
		most = max(most, n)
	}
	bound := 6.9*coldOvershoot + coldSlack
	say(w, "FAILBACK: the cold runner got at most %d requests in one second, allowed are %.2f", most, bound)
	return float64(most) > bound
}

// cutAfter is how long a watch waits before the store cuts it off.
const cutAfter = 800 * time.Millisecond

// cutWatches: watches that wait are cut off after 0.8 s while a runner leaves.
func cutWatches(w *world, trouble bool) bool {
	machines := small(w)
	var leaving *runner
	for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		r := w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "wuno96b", "ro-nord-"+zone, 6, 60*time.Millisecond)
		if i == 0 {
			leaving = r
		}
	}
	w.configure(config{
		Version: 7,
		Routes: []map[string]any{{
			"Name": "r-cu5041", "Hostname": routeHost, "PathPrefix": "/cufi504/", "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300,
			"Priority": 1, "Service": "wuno96b", "MaxAttempts": 2, "Anonymous": false, "Resumable": false,
		}},
		Services: []map[string]any{plainService("wuno96b")},
		Tenants:  []map[string]any{tenant("hule930", "i9n73hh2b9wu3fexd9dn", 105500)},
	})
	w.startMachines(machines)
	time.Sleep(5 * time.Second)
	if trouble {
		w.note("store     cuts watches that wait for 0.8 s")
		w.store.cutWatchesAfter(cutAfter)
	}
	var gone time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(8 * time.Second)
		gone = leaving.leave()
		w.note("gone      %s is no longer listed, acknowledged", leaving.id)
	}()
	w.press(30, 18*time.Second, machines, request{
		method: "GET", path: "/cufi504/fi50/2f", key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond,
	})
	<-done
	w.settle()
	const drain = 2 * time.Second
	through := make(map[string]string)
	for _, r := range w.answers {
		through[r.attempt] = r.machine
	}
	late, by := 0, make(map[string]int)
	var last time.Duration
	for _, a := range w.arrivals {
		if after := a.at.Sub(gone); a.runner == leaving.id && after > drain {
			late++
			by[through[a.attempt]]++
			last = max(last, after)
		}
	}
	say(w, "DRAIN: %d requests reached %s later than 2 s after the acknowledgement, the last after %.3f s, through %v; %d watches were cut", late, leaving.id, last.Seconds(), by, w.store.cuts)
	return late > 0
}

// longCut: the machines of one zone can't reach those of the others for 42 s.
func longCut(w *world, trouble bool) bool {
	const rate = 105500.0
	w.meshLinks = true
	machines := small(w)
	for i := range 12 {
		w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "huvo11a", "ro-nord-"+string("abc"[i%3]), 64, 0, "daka510000")
	}
	w.configure(config{
		Version: 7,
		Routes: []map[string]any{{
			"Name": "r-nr26tta", "Hostname": routeHost, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 800,
			"Priority": 1, "Service": "huvo11a", "MaxAttempts": 1, "Anonymous": false, "Sticky": true, "Resumable": false, "GapAimMs": 300,
		}},
		Services: []map[string]any{modelService("huvo11a", "daka510000")},
		Tenants:  []map[string]any{tenant("hule930", "i9n73hh2b9wu3fexd9dn", rate)},
	})
	w.startMachines(machines)
	time.Sleep(5 * time.Second)
	begun := time.Now()
	if trouble {
		w.note("cut       the machines of ro-nord-c from all others")
		zoneOf := make(map[string]string)
		for _, m := range machines {
			zoneOf[m.name] = m.zone
		}
		for _, m := range machines {
			m.link.setCut(func(from string) bool { return (zoneOf[from] == "ro-nord-c") != (m.zone == "ro-nord-c") })
		}
	}
	r := request{method: "POST", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", model: "daka510000", usage: "9190,50", deadline: 5 * time.Second, body: []byte("draft\n")}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.press(25, 42*time.Second, machines[5:], r)
	}()
	w.press(25, 42*time.Second, machines[:5], r)
	<-done
	w.settle()
	w.checkQuota("hule930", rate, begun, begun.Add(29*time.Second))
	return w.checkQuota("hule930", rate, begun, time.Now())
}

// oldMembers: a fleet was made smaller; then all processes are killed at once.
func oldMembers(w *world, trouble bool) bool {
	const rate = 105500.0
	machines := add(w, map[string]int{"a": 12, "b": 10, "c": 10})
	for i := range 12 {
		w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "huvo11a", "ro-nord-"+string("abc"[i%3]), 64, 0, "daka510000")
	}
	w.configure(config{
		Version: 7,
		Routes: []map[string]any{{
			"Name": "r-nr26tta", "Hostname": routeHost, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 800,
			"Priority": 1, "Service": "huvo11a", "MaxAttempts": 1, "Anonymous": false, "Sticky": true, "Resumable": false, "GapAimMs": 300,
		}},
		Services: []map[string]any{modelService("huvo11a", "daka510000")},
		Tenants:  []map[string]any{tenant("hule930", "i9n73hh2b9wu3fexd9dn", rate)},
	})
	w.startMachines(machines)
	time.Sleep(5 * time.Second)
	kept := []*machine{machines[0], machines[12], machines[13], machines[22]}
	stays := make(map[*machine]bool)
	for _, m := range kept {
		stays[m] = true
	}
	for _, m := range machines {
		if !stays[m] {
			m.signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, m := range machines {
		if !stays[m] {
			m.wait()
		}
	}
	r := request{method: "POST", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", model: "daka510000", usage: "1950,50", deadline: 5 * time.Second, body: []byte("draft\n")}
	before := time.Now()
	w.press(47, 8*time.Second, kept, r)
	if trouble {
		w.note("kill      all machines")
		for _, m := range kept {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range kept {
			m.wait()
		}
		time.Sleep(time.Second)
		for _, m := range kept {
			m.start()
		}
	}
	back := time.Now()
	w.press(47, 27*time.Second, kept, r)
	w.settle()
	share := func(from, to time.Time) float64 {
		n, served := 0, 0
		for _, a := range w.answers {
			if a.sent.Before(from) || !a.sent.Before(to) {
				continue
			}
			n++
			if a.status == 200 && a.err == nil {
				served++
			}
		}
		return float64(served) / float64(max(1, n))
	}
	first, then := share(before, before.Add(8*time.Second)), share(back.Add(12*time.Second), time.Now())
	say(w, "RECOVER: %.3f of the requests were served before, %.3f of those sent later than 12 s after the machines were back; the store lists %d members, 4 machines run", first, then, len(w.store.names("members")))
	return first >= 0.25 && then < 0.25
}

// pausedMachine: single machines stand still for 4.8 s while a tenant asks more than its rate.
func pausedMachine(w *world, trouble bool) bool {
	const rate = 105500.0
	machines := small(w)
	for i := range 12 {
		w.startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "huvo11a", "ro-nord-"+string("abc"[i%3]), 64, 0, "daka510000")
	}
	w.configure(config{
		Version: 7,
		Routes: []map[string]any{{
			"Name": "r-nr26tta", "Hostname": routeHost, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 800,
			"Priority": 1, "Service": "huvo11a", "MaxAttempts": 1, "Anonymous": false, "Sticky": true, "Resumable": false, "GapAimMs": 300,
		}},
		Services: []map[string]any{modelService("huvo11a", "daka510000")},
		Tenants:  []map[string]any{tenant("hule930", "i9n73hh2b9wu3fexd9dn", rate)},
	})
	w.startMachines(machines)
	time.Sleep(4 * time.Second)
	if trouble {
		go func() {
			for i := range 6 {
				time.Sleep(3 * time.Second)
				m := machines[i%len(machines)]
				m.signal(syscall.SIGSTOP)
				time.Sleep(4800 * time.Millisecond)
				m.signal(syscall.SIGCONT)
			}
		}()
	}
	w.press(50, 50*time.Second, machines, request{method: "POST", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", model: "daka510000", usage: "9190,50", deadline: 5 * time.Second, body: []byte("draft\n")})
	w.settle()
	return w.checkQuota("hule930", rate, w.started, time.Now())
}
