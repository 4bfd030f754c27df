// Package servicestandin is a small stand-in of a plain service, such as a
// booking desk, for tests and the quickstart. It counts each run of each
// request. It is no part of the product.
package servicestandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
)

// Paths of the stand-in's own controls.
const (
	FaultsPath  = "/stand-in/faults"
	WitnessPath = "/stand-in/witness"
)

const maxRequestBytes = 4 << 20

// Faults are the failures that a service shows. Counts go down as they are
// used up.
type Faults struct {
	// Down refuses connections' requests before they run, without an answer.
	Down bool `json:"down"`
	// LoseAnswers is the number of coming calls that run but whose answers are
	// lost.
	LoseAnswers int `json:"lose_answers"`
	// RejectNotRun is the number of coming calls that are answered as not run.
	RejectNotRun int `json:"reject_not_run"`
	// Fail is the number of coming calls that run and answer status 500.
	Fail int `json:"fail"`
	// DelayMS delays every answer after the run.
	DelayMS int `json:"delay_ms"`
	// Truncate is the number of coming answers cut short.
	Truncate int `json:"truncate"`
}

// Witness is what a service really saw.
type Witness struct {
	Name string `json:"name"`
	Runs int    `json:"runs"`
	// RunsByBody counts the runs of each request body.
	RunsByBody      map[string]int `json:"runs_by_body"`
	CredentialsSeen int            `json:"credentials_seen"`
}

// Service is one service. It is safe for concurrent use.
type Service struct {
	name  string
	clock clockwork.Clock

	mu      sync.Mutex
	faults  Faults
	witness Witness
}

// New returns a healthy service.
func New(name string, clock clockwork.Clock) *Service {
	return &Service{name: name, clock: clock, witness: Witness{Name: name, RunsByBody: make(map[string]int)}}
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Witness returns what the service saw so far.
func (s *Service) Witness() Witness {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.witness
	w.RunsByBody = make(map[string]int, len(s.witness.RunsByBody))
	for body, n := range s.witness.RunsByBody {
		w.RunsByBody[body] = n
	}
	return w
}

// Reply is the JSON answer of a run.
type Reply struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Run     int    `json:"run"`
	Body    string `json:"body"`
}

// Invoke runs one call. It implements target.ServiceCaller for one service,
// whatever the address.
func (s *Service) Invoke(ctx context.Context, _ string, call *target.ServiceCall) (*target.ServiceReply, error) {
	reply, fault := s.run(call)
	if fault.err != nil && !fault.ran {
		return nil, fault.err
	}
	if fault.delay > 0 {
		select {
		case <-s.clock.After(fault.delay):
		case <-ctx.Done():
			return nil, merry.Wrap(target.ErrOutcomeUnknown, merry.WithCause(ctx.Err()))
		}
	}
	if fault.err != nil {
		return nil, fault.err
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return nil, merry.Wrap(target.ErrOutcomeUnknown, merry.WithCause(err))
	}
	header := http.Header{"Content-Type": {"application/json"}, httptarget.HeaderRequestID: {call.ID}}
	return &target.ServiceReply{Status: fault.status, Header: header, Body: body}, nil
}

// outcome is what faults make of one call.
type outcome struct {
	ran    bool
	err    error
	status int
	delay  time.Duration
}

func (s *Service) run(call *target.ServiceCall) (Reply, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return Reply{}, outcome{err: merry.Wrap(target.ErrOutcomeUnknown)}
	}
	if s.faults.RejectNotRun > 0 {
		s.faults.RejectNotRun--
		return Reply{}, outcome{err: &target.RejectedError{Status: http.StatusServiceUnavailable, Message: "not run"}}
	}
	s.witness.Runs++
	s.witness.RunsByBody[string(call.Body)]++
	o := outcome{ran: true, status: http.StatusOK, delay: time.Duration(s.faults.DelayMS) * time.Millisecond}
	switch {
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		o.err = merry.Wrap(target.ErrOutcomeUnknown)
	case s.faults.Truncate > 0:
		s.faults.Truncate--
		o.err = merry.Wrap(target.ErrTruncated)
	case s.faults.Fail > 0:
		s.faults.Fail--
		o.status = http.StatusInternalServerError
	}
	return Reply{Service: s.name, Method: call.Method, Path: call.Path, Run: s.witness.Runs, Body: string(call.Body)}, o
}

// NewHandler serves service over HTTP and the stand-in's controls: PUT
// FaultsPath and GET WitnessPath.
func NewHandler(service *Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		service.SetFaults(f)
	})
	mux.HandleFunc("GET "+WitnessPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(service.Witness())
	})
	mux.HandleFunc("/", service.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	s.noteCredentials(r)
	reply, err := s.Invoke(r.Context(), "", &target.ServiceCall{
		ID:     r.Header.Get(httptarget.HeaderRequestID),
		Method: r.Method,
		Path:   r.URL.Path,
		Body:   body,
	})
	switch {
	case err == nil:
		writeReply(w, reply)
	case errors.Is(err, target.ErrRejected):
		w.Header().Set(httptarget.HeaderNotRun, "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, target.ErrTruncated):
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte(`{"service":`))
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeReply(w http.ResponseWriter, reply *target.ServiceReply) {
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (s *Service) noteCredentials(r *http.Request) {
	if r.Header.Get("Authorization") == "" && r.Header.Get("Cookie") == "" && r.Header.Get("X-Api-Key") == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witness.CredentialsSeen++
}
