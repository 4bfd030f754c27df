package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitMB is MemoryMb of a machine.
	memoryLimitMB = 284
	// crowdSize is the number of clients, and uploadBytes the size of the bodies that they send
	// ahead. MaxBodyBytes is 4 MiB.
	crowdSize   = 750
	uploadBytes = 3_900_000
	// streamEvents is the number of events of the streams: 9 s.
	streamEvents = 180
	crowdLasts   = 14 * time.Second
	sampleEvery  = 20 * time.Millisecond
)

// plainConfig is a configuration with two routes to one plain service.
func plainConfig() map[string]any {
	return map[string]any{
		"Version": 7,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 12000},
		"Routes": []map[string]any{
			{"Name": "log", "Hostname": host, "PathPrefix": "/log/", "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 2, "MaxAttempts": 1, "Service": "registro"},
			{"Name": "stream", "Hostname": host, "PathPrefix": "/stream/", "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 400, "GapAimMs": 300, "Priority": 0, "MaxAttempts": 1, "Service": "registro"},
		},
		"Services": []map[string]any{{"Name": "registro", "HealthPath": "/healthz", "MaxConns": 360, "ColdStartS": 0}},
		"Tenants":  []map[string]any{{"Name": "t1", "ApiKeys": []string{key}}},
	}
}

// crowdCase: clients of one machine each send an upload ahead of the answer to a stream.
func crowdCase(w *world, trouble bool) verdict {
	w.slots = 64
	w.store.put("config", "main", plainConfig())
	zones := []string{"a", "b", "c"}
	for i := range 12 {
		r := w.startRunner(fmt.Sprintf("i-%02d", i), "registro", zones[i%3], fmt.Sprintf("%s.%d:8308", w.network, 100+i), nil)
		r.bound(64, 192)
	}
	// Two of the seven machines are lost.
	for i, zone := range []string{"a", "a", "b", "b", "c"} {
		w.addMachine(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, true).start()
	}
	w.waitReady()
	time.Sleep(contact)
	w.note("the crowd of %d comes", crowdSize)
	m := w.machines[0]
	ctx, cancel := context.WithTimeout(context.Background(), crowdLasts)
	defer cancel()
	var group sync.WaitGroup
	for i := range crowdSize {
		group.Add(1)
		go func() {
			defer group.Done()
			w.crowdClient(ctx, m, i, trouble)
		}()
	}
	worst, over, most := w.watchMemory(ctx, m)
	group.Wait()
	ordinary := w.send(m, http.MethodPost, "/log/ordinary/", nil, 3*time.Second)
	return verdict{over > 0, fmt.Sprintf("at most %d MB in memory and received but not read, %d MB allowed; %d samples over it, %d in a row; an ordinary request afterwards: %d",
		worst, memoryLimitMB, over, most, ordinary.status)}
}

// crowdClient sends a stream request, and with trouble an upload ahead of its answer, which it
// does not read.
func (w *world) crowdClient(ctx context.Context, m *machine, i int, trouble bool) {
	c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", m.ip+":8221")
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	head := func(path, id string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Dotterellink-Attempt-Id: %s\r\nX-Dotterellink-Deadline-Ms: 15000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", path, host, id, key, length)
	}
	if _, err := io.WriteString(c, head(fmt.Sprintf("/stream/%d/?events=%d", i, streamEvents), fmt.Sprintf("c%07da", i), 0)); err != nil {
		return
	}
	if !trouble {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	_, _ = io.WriteString(c, head(fmt.Sprintf("/log/%d/", i), fmt.Sprintf("c%07db", i), uploadBytes)+strings.Repeat("z", uploadBytes))
	<-ctx.Done()
}

// watchMemory samples the memory of a machine until ctx ends: what is resident, and then what its
// clients' sockets have received and it has not read, so that nothing counts twice. It returns the most, in MB, how many samples
// were over the limit and how many in a row.
func (w *world) watchMemory(ctx context.Context, m *machine) (worst int64, over, most int) {
	row := 0
	for n := 0; ctx.Err() == nil; n++ {
		resident, unread := m.resident(), m.unread()
		total := (resident + unread) >> 20
		worst = max(worst, total)
		if row++; total <= memoryLimitMB {
			row = 0
		} else {
			over++
		}
		most = max(most, row)
		if n%20 == 0 {
			w.note("resident %d MB, unread %d MB", resident>>20, unread>>20)
		}
		time.Sleep(sampleEvery)
	}
	return worst, over, most
}

// resident returns the bytes of memory that the process has resident.
func (m *machine) resident() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.command.Process.Pid))
	var size, pages int64
	if err == nil {
		_, err = fmt.Sscan(string(data), &size, &pages)
	}
	if err != nil {
		m.w.cannotRun("memory of %s: %v", m.name, err)
	}
	return pages * int64(os.Getpagesize())
}

// unread returns the bytes that the sockets at the machine's front address have received and the
// process has not read.
func (m *machine) unread() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		m.w.cannotRun("sockets: %v", err)
	}
	ip := net.ParseIP(m.ip).To4()
	front := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], 8221)
	total := int64(0)
	for _, line := range strings.Split(string(data), "\n") {
		// The fields are: number, local and remote address, state, queues of sent and received.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != front || fields[3] == "0A" {
			continue
		}
		var sent, received int64
		if _, err := fmt.Sscanf(fields[4], "%X:%X", &sent, &received); err == nil {
			total += received
		}
	}
	return total
}
