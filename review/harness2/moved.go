package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// configBound is ConfigApplyMs.
	configBound = 2000 * time.Millisecond
	// movesAfter is when the settings change, from the start of traffic. The former address of
	// the store answers for formerLasts more. The key is taken away at withdrawnAfter.
	movesAfter     = 3 * time.Second
	formerLasts    = 5 * time.Second
	withdrawnAfter = 13 * time.Second
	movedLasts     = 24 * time.Second

	// withdrawnKey is the key that is taken away.
	withdrawnKey = "k2"
)

// withTenants returns a configuration of a version in which each tenant has the given keys.
func withTenants(version int, keys map[string][]string) map[string]any {
	c := plainConfig()
	tenants := []map[string]any{}
	for _, name := range []string{"t1", "t2"} {
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": keys[name]})
	}
	c["Version"], c["Tenants"] = version, tenants
	return c
}

// movedCase: the settings of all machines change to another address of the store, and SIGHUP
// tells it. Later a key is taken away.
func movedCase(w *world, trouble bool) verdict {
	w.store.put("config", "main", withTenants(7, map[string][]string{"t1": {key}, "t2": {withdrawnKey}}))
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
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(movedLasts))
	defer cancel()
	var group sync.WaitGroup
	for _, m := range w.machines {
		every(ctx, &group, 200*time.Millisecond, func(n int) {
			w.send(m, http.MethodPost, fmt.Sprintf("/log/kept/%d/", n), nil, 1500*time.Millisecond)
		})
		every(ctx, &group, 200*time.Millisecond, func(n int) {
			w.send(m, http.MethodPost, fmt.Sprintf("/log/withdrawn/%d/", n), map[string]string{"Authorization": "Token " + withdrawnKey}, 1500*time.Millisecond)
		})
	}
	time.Sleep(time.Until(start.Add(movesAfter)))
	if trouble {
		address := w.network + ".2:8225"
		if err := w.store.move(address, formerLasts); err != nil {
			w.cannotRun("%v", err)
		}
		w.note("the store answers at %s too, the former address ends in %v", address, formerLasts)
		for _, m := range w.machines {
			m.values["store"] = address
			m.writeSettings()
		}
	}
	for _, m := range w.machines {
		m.signal(syscall.SIGHUP)
	}
	time.Sleep(time.Until(start.Add(withdrawnAfter)))
	withdrawnAt := w.store.put("config", "main", withTenants(8, map[string][]string{"t1": {key}}))
	w.note("the store has acknowledged version 8, without the key of t2")
	group.Wait()
	return w.judgeMoved(withdrawnAt)
}

// judgeMoved applies the rule CONFIG: a request sent later than ConfigApplyMs after the
// acknowledgement of a version is run with a key that it has dropped.
func (w *world) judgeMoved(withdrawnAt time.Time) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := make(map[string]bool)
	for _, a := range w.arrivals {
		ran[a.id] = true
	}
	late, refused, served := 0, 0, 0
	var last time.Duration
	for _, r := range w.results {
		after := r.sentAt.Sub(withdrawnAt)
		switch {
		case r.status == http.StatusOK:
			served++
		case after > configBound && r.status == http.StatusUnauthorized:
			refused++
		}
		if after > configBound && ran[r.id] && r.key == withdrawnKey {
			late++
			last = max(last, after)
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests with the withdrawn key that were sent later than %v after the acknowledgement ran, the last %v after; %d were answered 401; %d of %d requests were served",
		late, configBound, last.Round(time.Millisecond), refused, served, len(w.results))}
}
