package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/standin/addedtime"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// engineFixture is the entry and the relay of an instance in front of an engine
// stand-in. The entry and the engine listen on the loopback interface.
type engineFixture struct {
	key       string
	engineURL string
	entryURL  string
	client    *http.Client
	engine    *enginestandin.Engine
	// calls counts direct calls, for their request identifiers.
	calls atomic.Int64
}

func newEngineFixture(tb testing.TB, intervalMS float64) *engineFixture {
	clock := clockwork.NewRealClock()
	cfg := enginestandin.DefaultConfig("engine")
	cfg.TokenIntervalMS, cfg.BatchSlowdown, cfg.PrefillTokensPerSecond, cfg.Slots = intervalMS, 0, 1e12, 4096
	cfg.Residents = []target.Resident{{Model: "reader", MemoryMB: 1}}
	engine := enginestandin.New(cfg, clock, 1)
	engineServer := httptest.NewServer(enginestandin.NewHandler(engine))
	tb.Cleanup(engineServer.Close)
	address := strings.TrimPrefix(engineServer.URL, "http://")

	key, record := keys.New()
	record.Account = "celula"
	state := &environment.State{Revision: 1, Keys: []environment.Key{record}, Document: environment.Document{
		Accounts: []environment.Account{{Name: "celula", RateTokensPerSecond: 1e12, BurstTokens: 1e12}},
		Models:   []environment.Model{{Name: "reader", ContextTokens: 1e6, DefaultMaxTokens: 16}},
	}}
	view := environment.NewView(state, clock.Now())
	snapshot := inventory.NewSnapshot(view, []*inventory.TargetState{{
		Target:      &environment.Target{Name: "engine", Kind: environment.TargetEngine, Address: address, Zone: "zone", Concurrency: 4096},
		Report:      target.Report{Residents: []target.Resident{{Model: "reader", State: target.ResidencyReady}}},
		RequestedAt: clock.Now().Add(time.Hour),
	}})
	router := routing.New("zone", func() *inventory.Snapshot { return snapshot }, clock)
	tracer := telemetry.NoTracing().Tracer
	registry := prometheus.NewRegistry()
	entryHandler := entry.New(entry.Config{
		Views: &fakeViews{view}, Limiter: quota.NewStatic(func() *environment.View { return view }, 1, clock),
		Relay: relay.New(relay.Config{
			Picker: admission.NewDirectPicker(router), Engines: httptarget.New(), Clock: clock, Tracer: tracer,
			Log: telemetry.Discard(), Metrics: registry,
		}),
		Tracer: tracer, Clock: clock, Log: telemetry.Discard(), Metrics: registry,
	})
	entryServer := httptest.NewUnstartedServer(nil)
	entryServer.Config = entryHandler.HTTPServer()
	entryServer.Start()
	tb.Cleanup(entryServer.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}}
	tb.Cleanup(client.CloseIdleConnections)
	return &engineFixture{key: key, engineURL: engineServer.URL, entryURL: entryServer.URL, client: client, engine: engine}
}

// open starts a call at base, which is the address of the instance or of the
// engine. The engine requires a request identifier.
func (f *engineFixture) open(base string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"reader","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"gate 7"}]}`, stream, tokens)
	r, err := http.NewRequestWithContext(context.Background(), "POST", base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if base == f.entryURL {
		r.Header.Set("Authorization", "Bearer "+f.key)
	} else {
		r.Header.Set(httptarget.HeaderRequestID, fmt.Sprintf("%040d", f.calls.Add(1)))
	}
	return f.client.Do(r)
}

func (f *engineFixture) call(tb testing.TB, base string, tokens int, stream bool) {
	response, err := f.open(base, tokens, stream)
	if err != nil {
		tb.Error(err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		tb.Errorf("status %d: %v", response.StatusCode, err)
	}
	if stream && !bytes.HasSuffix(data, []byte("data: [DONE]\n\n")) {
		tb.Error("stream ended without its end mark")
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkAddedTime sends the same number of requests through the instance and
// directly to the engine, and reports how much longer those through the instance
// take.
func BenchmarkAddedTime(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("stream=%t", stream), func(b *testing.B) {
			f := newEngineFixture(b, 0)
			addedtime.Measure(b, f.engineURL, f.entryURL, func(base string) { f.call(b, base, 16, stream) })
		})
	}
}

// BenchmarkCall reports the allocations of a call, including those of the client
// and the engine. The difference between "through" and "direct" is what the
// instance adds.
func BenchmarkCall(b *testing.B) {
	for _, tokens := range []int{16, 1016} {
		for _, name := range []string{"direct", "through"} {
			b.Run(fmt.Sprintf("%s/stream-of-%d", name, tokens), func(b *testing.B) {
				f := newEngineFixture(b, 0)
				base := map[string]string{"direct": f.engineURL, "through": f.entryURL}[name]
				f.call(b, base, tokens, true)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					f.call(b, base, tokens, true)
				}
			})
		}
	}
}

// runStreams reads n streams from base to their end, 50 at a time.
func (f *engineFixture) runStreams(tb testing.TB, base string, n int) {
	var wg sync.WaitGroup
	for worker := range 50 {
		wg.Go(func() {
			for i := worker; i < n; i += 50 {
				f.call(tb, base, 4, true)
			}
		})
	}
	wg.Wait()
}

// BenchmarkStreamedMemory reports the heap size after a tenth of the streams and
// after all of them, including the clients and the engine. The engine stand-in
// records each call, so its heap grows too; the same streams are sent to it
// directly for comparison.
func BenchmarkStreamedMemory(b *testing.B) {
	for _, name := range []string{"direct", "through"} {
		b.Run(name, func(b *testing.B) {
			f := newEngineFixture(b, 0)
			base := map[string]string{"direct": f.engineURL, "through": f.entryURL}[name]
			f.runStreams(b, base, b.N/10)
			early := heapBytes()
			f.runStreams(b, base, b.N-b.N/10)
			b.ReportMetric(float64(early)/(1<<20), "early-MB")
			b.ReportMetric(float64(heapBytes())/(1<<20), "late-MB")
		})
	}
}

// openStreamsHeapBytes returns the heap bytes that n open streams at base use,
// including their clients and the engine.
func (f *engineFixture) openStreamsHeapBytes(tb testing.TB, base string, n int) int64 {
	before := heapBytes()
	responses := make(chan *http.Response, n)
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			response, err := f.open(base, 500_000, true)
			if err != nil {
				tb.Error(err)
				return
			}
			responses <- response
		})
	}
	wg.Wait()
	close(responses)
	usedBytes := int64(heapBytes()) - int64(before)
	for response := range responses {
		response.Body.Close()
	}
	return usedBytes
}

// TestOpenStreamsStayBelow64MB bounds the heap that open streams use in the
// instance. It subtracts the heap of the same number of direct streams, which only
// the clients and the engine use.
func TestOpenStreamsStayBelow64MB(t *testing.T) {
	const streams, limitBytes = 1000, 64 << 20
	direct := newEngineFixture(t, 300)
	directBytes := direct.openStreamsHeapBytes(t, direct.engineURL, streams)
	through := newEngineFixture(t, 300)
	totalBytes := through.openStreamsHeapBytes(t, through.entryURL, streams)
	t.Logf("%d open streams use %d MB in total, of which clients and engine use %d MB", streams, totalBytes>>20, directBytes>>20)
	if totalBytes-directBytes > limitBytes {
		t.Errorf("%d open streams use %d MB in the instance", streams, (totalBytes-directBytes)>>20)
	}
}

func TestCallerDisconnectCancelsRequestAtEngine(t *testing.T) {
	f := newEngineFixture(t, 5)
	response, err := f.open(f.entryURL, 500_000, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 256)); err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	gomega.NewWithT(t).Eventually(func() int { return f.engine.Witness().Cancelled }, 10*time.Second).Should(gomega.Equal(1))
}

func TestCompletedStreamsLeakNoMemory(t *testing.T) {
	const limitBytes = 8 << 20
	f := newEngineFixture(t, 0)
	f.runStreams(t, f.entryURL, 1000)
	before := heapBytes()
	f.runStreams(t, f.entryURL, 4000)
	if growthBytes := int64(heapBytes()) - int64(before); growthBytes > limitBytes {
		t.Errorf("heap grew by %d KB", growthBytes>>10)
	}
}
