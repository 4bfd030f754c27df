package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is DrainMs.
	drainBound = 2000 * time.Millisecond
	// clockAhead is how far the clock of the runner's machine is ahead when the runner starts, until
	// it is set right. The runner ends crashesAfter and is back backAfter its start.
	clockAhead   = 2400 * time.Millisecond
	crashesAfter = 800 * time.Millisecond
	backAfter    = 2000 * time.Millisecond
	// drainsAfter is when it reports that it drains, from the start of traffic; it serves for
	// drainServes more.
	drainsAfter     = 6 * time.Second
	drainServes     = 6 * time.Second
	restartedLasts  = 14 * time.Second
	streamsOfDrains = 20
)

// restartedCase: a runner starts while the clock of its machine is ahead, crashes, starts again
// under its Id once the clock is right, and later drains.
func restartedCase(w *world, trouble bool) verdict {
	w.store.put("config", "main", plainConfig())
	zones := []string{"a", "b", "c"}
	for _, zone := range zones {
		w.addMachine("edge-"+zone+"-1", zone, true).start()
	}
	for i, zone := range zones[1:] {
		w.startRunner(fmt.Sprintf("i-%s1", zone), "registro", zone, fmt.Sprintf("%s.%d:8308", w.network, 101+i), nil)
	}
	w.waitReady()
	time.Sleep(contact)
	startedAt := time.Now()
	clock := time.Now()
	if trouble {
		clock = clock.Add(clockAhead)
	}
	address := fmt.Sprintf("%s.%d:8308", w.network, 100)
	first := w.startRunnerAt(clock, "i-a1", "registro", "a", address, nil)
	w.note("i-a1 starts, born %d", first.born)
	time.Sleep(crashesAfter)
	first.end()
	w.note("i-a1 crashes")
	time.Sleep(time.Until(startedAt.Add(backAfter)))
	leaver := w.startRunner("i-a1", "registro", "a", address, nil)
	w.note("i-a1 starts again, born %d", leaver.born)
	time.Sleep(contact)
	start := time.Now()
	w.note("traffic starts")
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(restartedLasts))
	defer cancel()
	var group sync.WaitGroup
	for _, m := range w.machines {
		every(ctx, &group, 100*time.Millisecond, func(n int) {
			w.send(m, http.MethodPost, fmt.Sprintf("/log/%d/", n), nil, 1500*time.Millisecond)
		})
		every(ctx, &group, 300*time.Millisecond, func(n int) {
			w.send(m, http.MethodPost, fmt.Sprintf("/stream/%d/?events=%d", n, streamsOfDrains), nil, 10*time.Second)
		})
	}
	time.Sleep(time.Until(start.Add(drainsAfter)))
	leaver.mu.Lock()
	leaver.state = "draining"
	leaver.mu.Unlock()
	drainsAt := leaver.announce()
	w.note("the store has accepted that i-a1 drains; it serves for %v more", drainServes)
	time.Sleep(time.Until(drainsAt.Add(drainServes)))
	leaver.end()
	w.store.remove("servers", leaver.id)
	w.note("i-a1 exits")
	group.Wait()
	return w.judgeDrain(leaver, drainsAt)
}

// judgeDrain applies the rule DRAIN: a request reaches a runner later than DrainMs after the
// store has acknowledged that it drains.
func (w *world) judgeDrain(leaver *runner, drainsAt time.Time) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	late, served, lost := 0, 0, 0
	var last time.Duration
	lateIDs := make(map[string]bool)
	for _, a := range w.arrivals {
		if after := a.at.Sub(drainsAt); a.runner == leaver.id && after > drainBound && a.outcome != "not run" {
			late++
			lateIDs[a.id] = true
			last = max(last, after)
		}
	}
	machines := make(map[string]int)
	for _, r := range w.results {
		if lateIDs[r.id] {
			machines[r.machine]++
		}
		if r.status == http.StatusOK && r.whole {
			served++
		} else if lateIDs[r.id] {
			lost++
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests of %d machines reached %s later than %v after the store had accepted that it drains, the last %v after; %d of them got no whole answer; %d of %d requests were served",
		late, len(machines), leaver.id, drainBound, last.Round(time.Millisecond), lost, served, len(w.results))}
}
