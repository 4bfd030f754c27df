package enginestandin

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Limits of a generated answer.
const (
	defaultTokens = 16
	bytesPerToken = 4
	plansKept     = 100_000
)

// request holds the fields of an OpenAI request that the stand-in reads.
type request struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	// Metadata.Generate is the number of tokens that the stand-in generates,
	// within the limit of the request.
	Metadata struct {
		Generate string `json:"generate"`
	} `json:"metadata"`
}

// plan is the answer that a call gets. It is fixed by the call alone, so that a
// resumed stream continues the same answer.
type plan struct {
	id           string
	kind         target.Kind
	model        string
	promptTokens int
	promptHash   uint64
	tokens       int
	prompt       []byte
}

func newPlan(call *target.ModelCall) (*plan, error) {
	var r request
	if err := json.Unmarshal(call.Body, &r); err != nil {
		return nil, &target.InvalidError{Status: 400, Body: []byte(err.Error())}
	}
	prompt := []byte(string(r.Messages) + string(r.Prompt) + string(r.Input))
	limit := r.MaxTokens
	if r.MaxCompletionTokens > 0 {
		limit = r.MaxCompletionTokens
	}
	if limit == 0 {
		limit = defaultTokens
	}
	tokens := limit
	if r.Metadata.Generate != "" {
		var wanted int
		if _, err := fmt.Sscan(r.Metadata.Generate, &wanted); err == nil {
			tokens = min(limit, wanted)
		}
	}
	return &plan{
		id:           call.ID,
		kind:         call.Kind,
		model:        call.Model,
		promptTokens: (len(prompt) + bytesPerToken - 1) / bytesPerToken,
		promptHash:   xxhash.Sum64(prompt),
		tokens:       tokens,
		prompt:       prompt,
	}, nil
}

// Token returns token i of the answer to the prompt with the hash, so that
// tests can tell one answer from another.
func Token(promptHash uint64, i int) string {
	return fmt.Sprintf("%08x:%d ", uint32(promptHash), i)
}

// Generate implements target.ModelCaller for this engine.
func (e *Engine) Generate(ctx context.Context, call *target.ModelCall) (target.Stream, error) {
	p, err := newPlan(call)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return nil, merry.Wrap(target.ErrNotSent)
	}
	e.witness.Calls++
	if !e.serves(call.Model) {
		e.witness.Rejected++
		return nil, &target.RejectedError{Status: 404, Message: "model not resident"}
	}
	if call.ResumeFrom > 0 {
		if e.faults.ForgetStreams || e.plans[call.ID] == nil {
			e.witness.Rejected++
			return nil, &target.RejectedError{Status: 409, Message: "stream not known"}
		}
		p = e.plans[call.ID]
	} else {
		e.witness.Runs[call.ID]++
		e.keepPlan(p)
	}
	return e.start(ctx, call, p)
}

func (e *Engine) keepPlan(p *plan) {
	if len(e.plans) >= plansKept {
		e.plans = make(map[string]*plan)
	}
	e.plans[p.id] = p
}

func (e *Engine) serves(model string) bool {
	for key, r := range e.residents {
		if servedName(key) == model && r.State == target.ResidencyReady {
			return true
		}
	}
	return false
}

// start takes a slot or a place in the queue. It requires e.mu.
func (e *Engine) start(ctx context.Context, call *target.ModelCall, p *plan) (target.Stream, error) {
	s := &stream{engine: e, ctx: ctx, plan: p, next: call.ResumeFrom, whole: !call.Stream, interrupted: e.interrupted, generation: e.generation}
	if e.faults.CutStreams > 0 {
		e.faults.CutStreams--
		s.cutAfter = e.faults.CutAfter + call.ResumeFrom
		s.cut = true
	}
	if e.faults.CrossAnswers > 0 {
		e.faults.CrossAnswers--
		s.crossed = true
	}
	if e.running < e.cfg.Slots {
		e.run(s)
		return s, nil
	}
	if e.waiting.Len() >= e.cfg.QueueLimit {
		e.witness.Rejected++
		return nil, &target.RejectedError{Status: 503, RetryAfter: time.Second, Message: "queue full"}
	}
	s.ready = make(chan struct{})
	s.priority = call.Priority
	e.waiting.arrivals++
	s.arrival = e.waiting.arrivals
	heap.Push(&e.waiting, s)
	return s, nil
}

// run gives the stream a slot. It requires e.mu.
func (e *Engine) run(s *stream) {
	e.running++
	e.runningBy[s.plan.model]++
	s.running = true
	e.witness.PeakConcurrency = max(e.witness.PeakConcurrency, e.running)
	if e.cold {
		e.witness.PeakColdConcurrent = max(e.witness.PeakColdConcurrent, e.running)
	}
	s.due = e.clock.Now().Add(e.prefill(s.plan))
	if s.ready != nil {
		close(s.ready)
	}
	if e.cold && e.running > e.cfg.ColdConcurrency {
		e.fallOver()
	}
}

// prefill returns the time to the first token and moves the prompt into the
// prefix cache. It requires e.mu.
func (e *Engine) prefill(p *plan) time.Duration {
	cachedBlocks, events := e.cache.touch(p.model, p.prompt)
	for _, event := range events {
		event.Sequence = uint64(len(e.events)) + 1
		if e.random.Float64() >= e.faults.DropCacheEvents {
			e.events = append(e.events, event)
		}
	}
	cached := cachedBlocks * target.PrefixBlockBytes / bytesPerToken
	e.witness.PromptTokens += int64(p.promptTokens)
	e.witness.CachedPromptTokens += int64(cached)
	uncached := float64(max(0, p.promptTokens-cached))
	seconds := uncached / e.cfg.PrefillTokensPerSecond
	late := time.Duration(e.faults.LateFirstMS) * time.Millisecond
	return late + time.Duration(seconds*float64(time.Second)) + e.interval()
}

// interval returns the time between tokens at the present batch. It requires
// e.mu.
func (e *Engine) interval() time.Duration {
	factor := 1 + e.cfg.BatchSlowdown*float64(max(0, e.running-1))
	return time.Duration(e.cfg.TokenIntervalMS * factor * float64(time.Millisecond))
}

// release gives the slot to the next waiting call. A stream from before a
// restart has no slot any more. It requires e.mu.
func (e *Engine) release(s *stream, completed bool) {
	if s.generation != e.generation {
		return
	}
	if !s.running {
		e.waiting.remove(s)
		return
	}
	s.running = false
	e.running--
	e.runningBy[s.plan.model]--
	if completed {
		e.complete()
	} else {
		e.witness.Cancelled++
	}
	for e.running < e.cfg.Slots && e.waiting.Len() > 0 {
		e.run(heap.Pop(&e.waiting).(*stream))
	}
}

func (e *Engine) complete() {
	e.witness.Completed++
	if e.cold {
		e.coldLeft--
		e.cold = e.coldLeft > 0
	}
}

// stream is one running call. It is used by one goroutine.
type stream struct {
	engine      *Engine
	ctx         context.Context
	plan        *plan
	next        int
	whole       bool
	cut         bool
	cutAfter    int
	crossed     bool
	due         time.Time
	ready       chan struct{}
	interrupted chan struct{}
	generation  int
	priority    int
	arrival     int
	place       int
	running     bool
	finished    bool
}

// Recv implements target.Stream.
func (s *stream) Recv() (target.Chunk, error) {
	if s.finished {
		return target.Chunk{}, io.EOF
	}
	if err := s.awaitSlot(); err != nil {
		return target.Chunk{}, err
	}
	if s.cut && s.next >= s.cutAfter && !s.whole {
		return target.Chunk{}, s.fail(target.ErrTruncated)
	}
	if s.whole || s.plan.kind == target.KindEmbedding {
		return s.recvWhole()
	}
	return s.recvToken()
}

func (s *stream) awaitSlot() error {
	if s.ready == nil {
		return nil
	}
	select {
	case <-s.ready:
		return nil
	case <-s.interrupted:
		return s.fail(target.ErrTruncated)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// recvToken returns the next token, or the last chunk with the usage.
func (s *stream) recvToken() (target.Chunk, error) {
	index := s.next
	if err := s.sleep(); err != nil {
		return target.Chunk{}, err
	}
	s.next++
	if index < s.plan.tokens {
		s.count(1)
		return target.Chunk{Index: index, Data: s.tokenJSON(index), Generated: 1}, nil
	}
	s.finish()
	usage := s.usage()
	return target.Chunk{Index: index, Data: s.lastJSON(usage), Usage: usage}, nil
}

func (s *stream) recvWhole() (target.Chunk, error) {
	for i := 0; i < max(1, s.plan.tokens); i++ {
		if s.cut && i >= s.cutAfter {
			return target.Chunk{}, s.fail(target.ErrTruncated)
		}
		if err := s.sleep(); err != nil {
			return target.Chunk{}, err
		}
		s.count(1)
	}
	s.finish()
	usage := s.usage()
	return target.Chunk{Data: s.wholeJSON(usage), Usage: usage}, nil
}

// sleep waits for the time of the next token.
func (s *stream) sleep() error {
	e := s.engine
	e.mu.Lock()
	wait := s.due.Sub(e.clock.Now())
	s.due = s.due.Add(e.interval())
	e.mu.Unlock()
	if wait <= 0 {
		return s.check()
	}
	timer := e.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return s.check()
	case <-s.interrupted:
		return s.fail(target.ErrTruncated)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *stream) check() error {
	select {
	case <-s.interrupted:
		return s.fail(target.ErrTruncated)
	default:
		return s.ctx.Err()
	}
}

func (s *stream) count(tokens int64) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.witness.GeneratedTokens += tokens
}

func (s *stream) finish() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.finished = true
	s.engine.release(s, true)
}

func (s *stream) fail(err error) error {
	_ = s.Close()
	return merry.Wrap(err)
}

// Close implements target.Stream.
func (s *stream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if !s.finished {
		s.finished = true
		s.engine.release(s, false)
	}
	return nil
}

func (s *stream) usage() *target.Usage {
	return &target.Usage{
		PromptTokens:     int64(s.plan.promptTokens),
		CompletionTokens: int64(s.plan.tokens),
		TotalTokens:      int64(s.plan.promptTokens + s.plan.tokens),
	}
}

// shownID is the identifier in the answer.
func (s *stream) shownID() string {
	if s.crossed {
		return "another-call"
	}
	return s.plan.id
}

func (s *stream) text() string {
	var b strings.Builder
	for i := range s.plan.tokens {
		b.WriteString(Token(s.plan.promptHash, i))
	}
	return b.String()
}
