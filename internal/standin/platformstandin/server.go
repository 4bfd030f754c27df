package platformstandin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/platform/httpplatform"
)

// Paths of the stand-in's own controls.
const (
	FaultsPath = "/stand-in/faults"
	StatsPath  = "/stand-in/stats"
)

const maxWait = 60 * time.Second

// NewHandler serves store in the protocol of httpplatform and the stand-in's
// controls: PUT FaultsPath with a Faults object, GET StatsPath, PUT and DELETE
// of httpplatform.InstancesPath/NAME with an instance record.
func NewHandler(store *Store) http.Handler {
	h := &handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpplatform.ObjectsPath+"/{key...}", h.get)
	mux.HandleFunc("GET "+httpplatform.ObjectsPath, h.list)
	mux.HandleFunc("PUT "+httpplatform.ObjectsPath+"/{key...}", h.put)
	mux.HandleFunc("DELETE "+httpplatform.ObjectsPath+"/{key...}", h.delete)
	mux.HandleFunc("GET "+httpplatform.ChangesPath, h.changes)
	mux.HandleFunc("GET "+httpplatform.InstancesPath, h.instances)
	mux.HandleFunc("PUT "+httpplatform.InstancesPath+"/{name}", h.putInstance)
	mux.HandleFunc("DELETE "+httpplatform.InstancesPath+"/{name}", h.removeInstance)
	mux.HandleFunc("PUT "+FaultsPath, h.setFaults)
	mux.HandleFunc("GET "+StatsPath, h.stats)
	return markZone(mux)
}

type handler struct{ store *Store }

func markZone(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(WithZone(r.Context(), r.Header.Get(httpplatform.HeaderZone))))
	})
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.store.Get(r.Context(), r.PathValue("key"))
	reply(w, httpplatform.Object(object), err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	objects, version, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, toWire(objects, version), err)
}

func (h *handler) changes(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	objects, version, err := h.store.Changes(r.Context(), query.Get("prefix"), platform.Version(after), wait)
	reply(w, toWire(objects, version), err)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		return
	}
	object, err := h.store.Put(r.Context(), r.PathValue("key"), value, expected(r))
	object.Value = nil
	reply(w, httpplatform.Object(object), err)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	err := h.store.Delete(r.Context(), r.PathValue("key"), expected(r))
	reply(w, httpplatform.Object{}, err)
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request) {
	list, err := h.store.Instances(r.Context())
	reply(w, httpplatform.InstanceList{Instances: list}, err)
}

func (h *handler) putInstance(w http.ResponseWriter, r *http.Request) {
	var record platform.InstanceRecord
	if err := json.NewDecoder(r.Body).Decode(&record); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record.Name = r.PathValue("name")
	h.store.PutInstance(record)
	h.store.PublishInstances()
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) removeInstance(w http.ResponseWriter, r *http.Request) {
	h.store.RemoveInstance(r.PathValue("name"))
	h.store.PublishInstances()
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.store.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) stats(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.store.Stats(), nil)
}

func expected(r *http.Request) platform.Version {
	v, _ := strconv.ParseUint(r.Header.Get(httpplatform.HeaderExpected), 10, 64)
	return platform.Version(v)
}

func toWire(objects []platform.Object, version platform.Version) httpplatform.ObjectList {
	out := httpplatform.ObjectList{Version: version, Objects: make([]httpplatform.Object, 0, len(objects))}
	for _, o := range objects {
		out.Objects = append(out.Objects, httpplatform.Object(o))
	}
	return out
}

func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		dropConnection(w)
	default:
		http.Error(w, err.Error(), errorStatus(err))
	}
}

func errorStatus(err error) int {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, platform.ErrThrottled):
		return http.StatusTooManyRequests
	case errors.Is(err, platform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}
