package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object, event and the answers below are spelled as the platform's page spells them.
type metadata struct {
	Name           string
	Revision       uint64
	CreateRevision uint64
	Finalizers     []string
	Deleting       bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type event struct {
	Object  object
	Removed bool
}

type loggedEvent struct {
	kind     string
	revision uint64
	event
}

// store is a stand-in of the platform's store: one revision counter, conditional writes and
// watches. It answers at once and loses nothing.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	log      []loggedEvent
	// changed is closed at the next change, cut when waiting watches are cut off.
	changed, cut chan struct{}
	cuts         int
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{}), cut: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l) //nolint:errcheck // Ends with the process.
	return s, nil
}

// move makes the store answer at another address too, and closes the former one after a while.
func (s *store) move(address string, after time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	former := s.server
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l) //nolint:errcheck // Ends with the process.
	time.AfterFunc(after, func() { _ = former.Close() })
	return nil
}

// cutWatches ends the connections of all watches that are waiting, without an answer, and
// returns how many they were.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// change requires s.mu. It logs the change of an object and wakes the watches.
func (s *store) change(kind string, o object, removed bool) {
	s.log = append(s.log, loggedEvent{kind, s.revision, event{o, removed}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces an object, and returns when the store has accepted it.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
	return time.Now()
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.revision++
	o, exists := s.kinds[kind][name]
	if !exists {
		o.Metadata = metadata{Name: name, CreateRevision: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.kinds[kind][name] = o
	s.change(kind, o, false)
	return o
}

// remove removes an object, and returns when the store has accepted it.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		delete(s.kinds[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.change(kind, o, true)
	}
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/dotterellink/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "Truncated": false, "AsOf": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.log {
			if e.kind == kind && e.revision > after {
				events = append(events, e.event)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	expected, _ := strconv.ParseUint(r.URL.Query().Get("Revision"), 10, 64)
	if r.Method != http.MethodDelete {
		if json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		expected = o.Metadata.Revision
		if r.Method == http.MethodPost {
			name = o.Metadata.Name
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		writeJSON(w, http.StatusConflict, known)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case expected != 0 && exists && known.Metadata.Revision != expected:
		writeJSON(w, http.StatusConflict, known)
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.revision++
		known.Metadata.Revision = s.revision
		s.change(kind, known, true)
		writeJSON(w, http.StatusOK, known)
	case r.Method != http.MethodPost && string(known.Spec) == string(o.Spec):
		writeJSON(w, http.StatusOK, known)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
