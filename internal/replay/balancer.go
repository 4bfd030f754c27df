package replay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	readyInterval = 250 * time.Millisecond
	readyTimeout  = time.Second
)

// balancer spreads requests at random over the addresses whose /readyz answers,
// as the platform's balancer does.
type balancer struct {
	addresses []string
	http      *http.Client

	mu     sync.Mutex
	random *rand.Rand
	ready  []string
}

func newBalancer(addresses []string, seed uint64) *balancer {
	return &balancer{
		addresses: addresses,
		http:      &http.Client{Timeout: readyTimeout},
		random:    rand.New(rand.NewPCG(seed, 1)),
		ready:     addresses,
	}
}

// run probes all addresses until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		b.probe(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) probe(ctx context.Context) {
	isReady := make([]bool, len(b.addresses))
	var wait sync.WaitGroup
	for i, address := range b.addresses {
		wait.Go(func() { isReady[i] = b.isReady(ctx, address) })
	}
	wait.Wait()
	var ready []string
	for i, address := range b.addresses {
		if isReady[i] {
			ready = append(ready, address)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ready) > 0 {
		b.ready = ready
	}
}

func (b *balancer) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns an address for one request.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[b.random.IntN(len(b.ready))]
}
