// Package memlimit holds the account of the memory and the connections that clients of an
// instance occupy. Each connection has a reservation, which grows with the head, the body and
// the answer of its request. When room is short, the reservations whose holders have made no
// progress for longest are evicted.
package memlimit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Holder is what a reservation belongs to. Its methods are called with the account locked, so
// they must not use the account.
type Holder interface {
	// Stalled returns for how long the holder has made no progress. The account evicts the
	// largest value first, and a holder that returns 0 never.
	Stalled(now time.Time) time.Duration
	// Evict ends the holder, whose reservation is released already. It returns false if the
	// holder must not be evicted after all.
	Evict() bool
}

// Account bounds the memory of all reservations together. It is safe for concurrent use.
type Account struct {
	now     func() time.Time
	metrics *metrics

	mu    sync.Mutex
	limit int64
	used  int64
	open  map[*Reservation]struct{}
	// reserved are the classes with a reserve.
	reserved   []*Class
	candidates candidates
	// evicted and refused count since the start.
	evicted, refused uint64
}

// New returns an account that is bounded by limit bytes.
func New(limit int64, registerer prometheus.Registerer, now func() time.Time) *Account {
	a := &Account{now: now, limit: limit, open: make(map[*Reservation]struct{})}
	a.metrics = newMetrics(registerer, a)
	return a
}

// Used returns the bytes that are reserved.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Counts returns the numbers of evictions and of refusals since the start.
func (a *Account) Counts() (evicted, refused uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evicted, a.refused
}

// Class is a group of reservations with a limit on their number.
type Class struct {
	account *Account
	name    string
	limit   int
	open    int
	// noMemory and noConnection are the last demands of the class for which there was no
	// candidate.
	noMemory, noConnection miss
	// reserve is the memory that other classes cannot take, used what the class has taken.
	reserve, used int64
}

// NewClass returns a class of at most limit reservations. The name is a label of metrics.
func (a *Account) NewClass(name string, limit int) *Class {
	return &Class{account: a, name: name, limit: limit}
}

// NewReservedClass returns a class like NewClass that has reserve bytes of the account for itself.
func (a *Account) NewReservedClass(name string, limit int, reserve int64) *Class {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.NewClass(name, limit)
	c.reserve = reserve
	a.reserved = append(a.reserved, c)
	return c
}

// take requires the lock of the account.
func (c *Class) take(n int64) {
	c.used += n
	c.account.used += n
}

// Open returns a reservation of n bytes, or nil if there is no room.
func (c *Class) Open(h Holder, n int64) *Reservation {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for c.open >= c.limit {
		if !a.evict(demand{class: c, reason: reasonConnections}, now) {
			a.refuse(c, reasonConnections)
			return nil
		}
	}
	if !a.makeRoom(c, n, nil, now) {
		a.refuse(c, reasonMemory)
		return nil
	}
	r := &Reservation{class: c, holder: h, taken: n}
	a.open[r] = struct{}{}
	c.take(n)
	c.open++
	return r
}

// Reservation is the room that one client occupies. A nil reservation is not bounded.
type Reservation struct {
	class  *Class
	holder Holder
	taken  int64
	// ended is set by Close and by an eviction.
	ended bool
	// candidate is the position among the candidates plus 1, 0 if it is none.
	candidate int
	// keptUntil is set by an eviction that fails. Searches leave the reservation out until then.
	keptUntil time.Time
}

// Grow takes n further bytes. It returns false if there is no room, or if the reservation has
// ended.
func (r *Reservation) Grow(n int64) bool {
	if r == nil {
		return true
	}
	a := r.class.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.grow(n, a.now())
}

func (r *Reservation) grow(n int64, now time.Time) bool {
	a := r.class.account
	if r.ended {
		return false
	}
	if !a.makeRoom(r.class, n, r, now) {
		a.refuse(r.class, reasonMemory)
		return false
	}
	r.taken += n
	r.class.take(n)
	return true
}

// Force takes n further bytes, also beyond the limit: an answer that is ready is delivered.
func (r *Reservation) Force(n int64) {
	if r == nil {
		return
	}
	a := r.class.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.ended {
		return
	}
	a.makeRoom(r.class, n, r, a.now())
	r.taken += n
	r.class.take(n)
}

// Resize sets the size in bytes. It returns false if there is no room to grow, or if the
// reservation has ended.
func (r *Reservation) Resize(n int64) bool {
	if r == nil {
		return true
	}
	a := r.class.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > r.taken {
		return r.grow(n-r.taken, a.now())
	}
	if r.ended {
		return false
	}
	r.class.take(n - r.taken)
	r.taken = n
	return true
}

// Close gives the room back.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	a := r.class.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end(r)
}

// end requires a.mu.
func (a *Account) end(r *Reservation) {
	if r.ended {
		return
	}
	r.ended = true
	r.class.take(-r.taken)
	r.class.open--
	delete(a.open, r)
	a.candidates.drop(r)
}

func (a *Account) refuse(c *Class, reason string) {
	a.refused++
	a.metrics.refused.WithLabelValues(c.name, reason).Inc()
}

// leastShare bounds the evictions for one request of room: each has to free at least this
// share of it.
const leastShare = 32

// makeRoom evicts reservations other than r until n bytes are free for a class. It requires a.mu.
func (a *Account) makeRoom(c *Class, n int64, r *Reservation, now time.Time) bool {
	for c.used+n > c.reserve && a.used+a.keptFrom(c)+n > a.limit {
		if n > a.limit || !a.evict(demand{class: c, reason: reasonMemory, size: n, grows: r}, now) {
			return false
		}
	}
	return true
}

// keptFrom returns the bytes that other classes have not taken of their reserves. It requires
// a.mu.
func (a *Account) keptFrom(c *Class) int64 {
	kept := int64(0)
	for _, other := range a.reserved {
		if other != c {
			kept += max(0, other.reserve-other.used)
		}
	}
	return kept
}

// demand is what an eviction is to make room for.
type demand struct {
	class  *Class
	reason string
	// size is the memory in bytes, grows the reservation that takes it or nil.
	size  int64
	grows *Reservation
}

// allows reports whether the eviction of a reservation helps. It requires the lock of the account.
func (d demand) allows(r *Reservation) bool {
	if d.reason == reasonConnections {
		return r.class == d.class
	}
	// What is within the reserve of another class is not free for this one.
	shared := r.class == d.class || r.class.used > r.class.reserve
	return r != d.grows && shared && r.taken*leastShare >= d.size
}

// miss is a demand for which the candidates of a search held none.
type miss struct {
	search uint64
	size   int64
}

// lastMiss returns where the last miss of such a demand is kept.
func (d demand) lastMiss() *miss {
	if d.reason == reasonConnections {
		return &d.class.noConnection
	}
	return &d.class.noMemory
}

// evict evicts the candidate that is allowed and has stalled for longest. It requires a.mu.
func (a *Account) evict(d demand, now time.Time) bool {
	list, last := &a.candidates, d.lastMiss()
	if now.Sub(list.searchedAt) >= searchInterval {
		list.search(a.open, now)
	}
	if last.search == list.searches && d.size >= last.size {
		return false
	}
	for _, r := range list.sorted {
		if r == nil || !d.allows(r) {
			continue
		}
		if r.holder.Stalled(now) <= 0 {
			list.drop(r)
			continue
		}
		if list.failures == maxFailures {
			break
		}
		if !r.holder.Evict() {
			list.failures++
			r.keptUntil = now.Add(failedDelay)
			list.drop(r)
			continue
		}
		a.end(r)
		a.evicted++
		a.metrics.evicted.WithLabelValues(r.class.name, d.reason).Inc()
		return true
	}
	if d.grows == nil || d.grows.candidate == 0 {
		// Others may be helped by the eviction of the one that grows.
		*last = miss{list.searches, d.size}
	}
	return false
}

const (
	// searchInterval is the least time between two searches for candidates. Each looks at all
	// connections, about 0.15 ms for 1,400 of them.
	searchInterval = 50 * time.Millisecond
	// maxFailures bounds the evictions that fail between two searches, as each costs a system
	// call.
	maxFailures = 64
	// failedDelay is how long a reservation whose eviction failed is left out. Otherwise those with
	// bytes that the instance has not read, such as refused requests with large bodies while
	// net/http waits before it closes them, would use up the evictions of each search.
	failedDelay = time.Second
)

// candidates are reservations that may be evicted, the one that has stalled for longest first.
// One search serves the demands of all classes and sizes: otherwise those that find no candidate
// would use up the searches of others.
type candidates struct {
	// sorted holds nil for each candidate that was dropped.
	sorted     []*Reservation
	found      []candidate
	searchedAt time.Time
	searches   uint64
	// failures counts the evictions that have failed since the search.
	failures int
}

type candidate struct {
	reservation *Reservation
	stalled     time.Duration
}

func (c *candidates) search(open map[*Reservation]struct{}, now time.Time) {
	for _, r := range c.sorted {
		if r != nil {
			r.candidate = 0
		}
	}
	c.found = c.found[:0]
	for r := range open {
		if r.holder == nil || now.Before(r.keptUntil) {
			continue
		}
		if stalled := r.holder.Stalled(now); stalled > 0 {
			c.found = append(c.found, candidate{r, stalled})
		}
	}
	slices.SortFunc(c.found, func(x, y candidate) int { return cmp.Compare(y.stalled, x.stalled) })
	clear(c.sorted)
	c.sorted = c.sorted[:0]
	for _, f := range c.found {
		c.sorted = append(c.sorted, f.reservation)
		f.reservation.candidate = len(c.sorted)
	}
	clear(c.found)
	c.searchedAt, c.failures = now, 0
	c.searches++
}

// drop removes a reservation, also so that it is not kept in memory until the next search.
func (c *candidates) drop(r *Reservation) {
	if r.candidate > 0 {
		c.sorted[r.candidate-1], r.candidate = nil, 0
	}
}

type reservationKey struct{}

// NewContext returns a context that carries a reservation.
func NewContext(ctx context.Context, r *Reservation) context.Context {
	return context.WithValue(ctx, reservationKey{}, r)
}

// FromContext returns the reservation of a context, or nil.
func FromContext(ctx context.Context) *Reservation {
	r, _ := ctx.Value(reservationKey{}).(*Reservation)
	return r
}

// Values of the label reason.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
)

type metrics struct {
	evicted, refused *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, a *Account) *metrics {
	labels := []string{"listener", "reason"}
	m := &metrics{
		evicted: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_client_evictions_total", Help: "Clients without progress whose connection or request was ended to make room."}, labels),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_client_refusals_total", Help: "Connections and requests of clients for which there was no room."}, labels),
	}
	used := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dotterellink_client_memory_bytes", Help: "Memory reserved for clients."}, func() float64 { return float64(a.Used()) })
	if registerer != nil {
		registerer.MustRegister(m.evicted, m.refused, used)
	}
	return m
}
