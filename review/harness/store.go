package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/dotterellink/objects/"

// pageSize is the number of objects in one answer to a list call.
const pageSize = 500

type metadata struct {
	Name           string
	Revision       uint64
	CreateRevision uint64   `json:",omitempty"`
	Finalizers     []string `json:",omitempty"`
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
}

type event struct {
	Removed bool
	Object  object
	kind    string
	at      uint64
}

// store is a stand-in for the platform's metadata store. It is linearizable and keeps its
// whole history.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []event
	revision uint64
	changed  chan struct{}
	// down makes each call of an instance end with 503: nothing was done.
	down bool
	// cutAfter, if not 0, is how long a watch may wait before it is cut off.
	cutAfter time.Duration
	cuts     int
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), revision: 100, changed: make(chan struct{})}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) cutWatchesAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = d
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// write creates or replaces an object, for the platform's other writers. It reports whether
// the store took it.
func (s *store) write(kind, name string, spec []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(kind, name, spec)
	return true
}

// remove removes an object. It reports whether the store took it.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.record(kind, event{Removed: true, Object: o})
	}
	return true
}

// names lists the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.objects[kind] {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// put requires s.mu.
func (s *store) put(kind, name string, spec []byte) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, existed := s.objects[kind][name]
	if existed && string(old.Spec) == string(spec) {
		return old
	}
	o := object{Metadata: metadata{Name: name, Revision: s.revision + 1, CreateRevision: old.Metadata.CreateRevision}, Spec: spec}
	if !existed {
		o.Metadata.CreateRevision = s.revision + 1
	}
	s.objects[kind][name] = o
	s.record(kind, event{Object: o})
	return o
}

// record requires s.mu.
func (s *store) record(kind string, e event) {
	s.revision++
	e.kind, e.at = kind, s.revision
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := struct {
		Items     []object `json:"items"`
		Truncated bool
		AsOf      uint64
	}{Items: []object{}, Truncated: len(names) > pageSize, AsOf: s.revision}
	for _, name := range names[:min(len(names), pageSize)] {
		page.Items = append(page.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	started := time.Now()
	for {
		s.mu.Lock()
		out := struct {
			Events []event `json:"events"`
			AsOf   uint64
		}{Events: []event{}, AsOf: s.revision}
		for _, e := range s.history {
			if e.at > from && e.kind == kind {
				out.Events = append(out.Events, e)
			}
		}
		changed, cutAfter, down := s.changed, s.cutAfter, s.down
		s.mu.Unlock()
		waited := time.Since(started)
		left := time.Duration(wait)*time.Millisecond - waited
		if len(out.Events) > 0 || left <= 0 {
			answer(w, http.StatusOK, out)
			return
		}
		if cutAfter > 0 && waited >= cutAfter || down {
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if cutAfter > 0 {
			left = min(left, cutAfter-waited)
		}
		select {
		case <-changed:
		case <-time.After(min(left, 50*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

// change carries out POST, PUT and DELETE.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var sent object
	if len(data) > 0 {
		if err := json.Unmarshal(data, &sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if v := r.URL.Query().Get("Revision"); v != "" {
		expected, _ = strconv.ParseUint(v, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodPost && expected != 0 && expected != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.record(kind, event{Removed: true, Object: old})
		answer(w, http.StatusOK, old)
	default:
		answer(w, http.StatusOK, s.put(kind, name, sent.Spec))
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
