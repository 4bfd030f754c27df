package enginestandin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
)

// Paths of the stand-in's own controls.
const (
	FaultsPath   = "/stand-in/faults"
	WitnessPath  = "/stand-in/witness"
	TurnColdPath = "/stand-in/turn-cold"
	RestartPath  = "/stand-in/restart"
)

const maxRequestBytes = 4 << 20

// NewHandler serves engine in the protocol of httptarget and the stand-in's
// controls: PUT FaultsPath, GET WitnessPath, POST TurnColdPath, POST
// RestartPath.
func NewHandler(engine *Engine) http.Handler {
	h := &handler{engine: engine}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httptarget.ChatPath, h.generate(target.KindChat))
	mux.HandleFunc("POST "+httptarget.CompletionPath, h.generate(target.KindCompletion))
	mux.HandleFunc("POST "+httptarget.EmbeddingPath, h.generate(target.KindEmbedding))
	mux.HandleFunc("POST "+httptarget.OrdersPath, h.order)
	mux.HandleFunc("GET "+httptarget.ReportPath, h.report)
	mux.HandleFunc("GET "+httptarget.CacheEventsPath, h.cacheEvents)
	mux.HandleFunc("PUT "+FaultsPath, h.setFaults)
	mux.HandleFunc("GET "+WitnessPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, engine.Witness()) })
	mux.HandleFunc("POST "+TurnColdPath, func(http.ResponseWriter, *http.Request) { engine.TurnCold() })
	mux.HandleFunc("POST "+RestartPath, func(http.ResponseWriter, *http.Request) { engine.Restart() })
	return mux
}

type handler struct{ engine *Engine }

func (h *handler) generate(kind target.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, err := readCall(kind, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if hasCredentials(r) {
			h.engine.NoteCredentials()
		}
		stream, err := h.engine.Generate(r.Context(), call)
		if err != nil {
			writeCallError(w, err)
			return
		}
		defer stream.Close()
		w.Header().Set(httptarget.HeaderRequestID, call.ID)
		if call.Stream {
			writeEvents(w, stream)
			return
		}
		writeWhole(w, stream)
	}
}

func readCall(kind target.Kind, r *http.Request) (*target.ModelCall, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	var head struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return nil, err
	}
	resume, _ := strconv.Atoi(r.Header.Get(httptarget.HeaderResumeFrom))
	priority, _ := strconv.Atoi(r.Header.Get(httptarget.HeaderPriority))
	return &target.ModelCall{
		ID:         r.Header.Get(httptarget.HeaderRequestID),
		Kind:       kind,
		Model:      head.Model,
		Body:       body,
		Stream:     head.Stream,
		ResumeFrom: resume,
		Priority:   priority,
	}, nil
}

// hasCredentials reports whether any header or the query could hold a caller's
// key.
func hasCredentials(r *http.Request) bool {
	for name := range r.Header {
		lower := strings.ToLower(name)
		if strings.Contains(lower, "auth") || strings.Contains(lower, "key") || lower == "cookie" {
			return true
		}
	}
	return r.URL.RawQuery != ""
}

func writeCallError(w http.ResponseWriter, err error) {
	var rejected *target.RejectedError
	var invalid *target.InvalidError
	switch {
	case errors.As(err, &rejected):
		w.Header().Set("Retry-After", strconv.Itoa(int(rejected.RetryAfter.Seconds())))
		http.Error(w, rejected.Message, rejected.Status)
	case errors.As(err, &invalid):
		http.Error(w, string(invalid.Body), invalid.Status)
	default:
		// A fallen engine does not answer.
		dropConnection(w)
	}
}

func writeEvents(w http.ResponseWriter, stream target.Stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			fmt.Fprintf(w, "data: %s\n\n", httptarget.EndMark)
			return
		}
		if err != nil {
			dropConnection(w)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", chunk.Index, chunk.Data); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}

func writeWhole(w http.ResponseWriter, stream target.Stream) {
	chunk, err := stream.Recv()
	if err != nil {
		dropConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(chunk.Data)))
	_, _ = w.Write(chunk.Data)
}

func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := h.engine.Order(r.Context(), order)
	var rejected *target.RejectedError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, target.ErrFenced):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &rejected):
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	default:
		dropConnection(w)
	}
}

func (h *handler) report(w http.ResponseWriter, r *http.Request) {
	report, err := h.engine.Report(r.Context())
	if err != nil {
		dropConnection(w)
		return
	}
	writeJSON(w, report)
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, err := h.engine.CacheEvents(r.Context(), after)
	if err != nil {
		dropConnection(w)
		return
	}
	writeJSON(w, httptarget.CacheEventList{Events: events})
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.engine.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
