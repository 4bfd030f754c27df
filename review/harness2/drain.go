package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// leavesAfter is when the runner's entry is removed, from the start of traffic.
	leavesAfter = 6 * time.Second
	// lingers is how long it still serves after that: DrainMs and a little longer.
	lingers = 6 * time.Second
	// cutEvery is the time between two moments in which the store cuts off the watches that
	// wait, cutsFrom and cutsUntil bound these moments.
	cutEvery  = 900 * time.Millisecond
	cutsFrom  = 4 * time.Second
	cutsUntil = 13 * time.Second
	trafficOf = 15 * time.Second
)

// plainConfig is a configuration with two routes to one plain service.
func plainConfig() map[string]any {
	return map[string]any{
		"Version": 7,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 12000},
		"Routes": []map[string]any{
			{"Name": "log", "Hostname": host, "PathPrefix": "/log/", "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 2, "MaxAttempts": 1, "Service": "registro"},
			{"Name": "stream", "Hostname": host, "PathPrefix": "/stream/", "Kind": "streaming", "TimeoutMs": 10000, "TargetLatencyMs": 400, "GapAimMs": 300, "Priority": 0, "MaxAttempts": 1, "Service": "registro"},
		},
		"Services": []map[string]any{{"Name": "registro", "HealthPath": "/healthz", "MaxConns": 100, "ColdStartS": 0}},
		"Tenants":  []map[string]any{{"Name": "t1", "ApiKeys": []string{key}}},
	}
}

// drainCase: a runner leaves without having reported that it drains, while the store cuts off
// watches that wait.
func drainCase(w *world, trouble bool) verdict {
	w.store.put("config", "main", plainConfig())
	zones := []string{"a", "b", "c"}
	for i, zone := range zones {
		w.startRunner(fmt.Sprintf("i-%s1", zone), "registro", zone, fmt.Sprintf("%s.%d:8308", w.network, 100+i), nil)
	}
	for _, zone := range zones {
		w.addMachine("edge-"+zone+"-1", zone, true).start()
	}
	w.waitReady()
	time.Sleep(contact)
	start := time.Now()
	w.note("traffic starts")
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(trafficOf))
	defer cancel()
	var group sync.WaitGroup
	for _, m := range w.machines {
		every(ctx, &group, 100*time.Millisecond, func(n int) {
			w.send(m, http.MethodPost, fmt.Sprintf("/log/%d/", n), nil, 1500*time.Millisecond)
		})
		every(ctx, &group, 300*time.Millisecond, func(n int) {
			w.send(m, http.MethodPost, fmt.Sprintf("/stream/%d/?events=20", n), nil, 10*time.Second)
		})
	}
	if trouble {
		every(ctx, &group, cutEvery, func(int) {
			if at := time.Since(start); at >= cutsFrom && at <= cutsUntil {
				w.store.cutWatches()
				w.note("the store cuts off the watches that wait")
			}
		})
	}
	time.Sleep(time.Until(start.Add(leavesAfter)))
	leaver := w.runners[0]
	leaver.mu.Lock()
	leaver.silent = true
	leaver.mu.Unlock()
	goneAt := w.store.remove("servers", leaver.id)
	w.note("the store has removed the entry of %s, which serves for %v more", leaver.id, lingers)
	time.Sleep(time.Until(goneAt.Add(lingers)))
	w.note("%s exits", leaver.id)
	leaver.end()
	group.Wait()
	return w.judgeDrain(leaver, goneAt)
}

// judgeDrain applies the rule DRAIN: a request reaches a runner later than DrainMs after the
// store has acknowledged that it is gone.
func (w *world) judgeDrain(leaver *runner, goneAt time.Time) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	late, served, lost := 0, 0, 0
	var last time.Duration
	lateIDs := make(map[string]bool)
	for _, a := range w.arrivals {
		if after := a.at.Sub(goneAt); a.runner == leaver.id && after > drainBound && a.outcome != "not run" {
			late++
			lateIDs[a.id] = true
			last = max(last, after)
		}
	}
	for _, r := range w.results {
		if r.status == http.StatusOK && r.whole {
			served++
		} else if lateIDs[r.id] {
			lost++
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached %s later than %v after the store had removed its entry, the last %v after; %d of them got no whole answer; %d of %d requests were served; %d watches were cut off",
		late, leaver.id, drainBound, last.Round(time.Millisecond), lost, served, len(w.results), w.store.cutCount())}
}
