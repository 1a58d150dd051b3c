package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gooseberryflow/gooseberryflow/streamlog"
)

// maxRecordBytes bounds an append over HTTP.
const maxRecordBytes = 4 << 20

// defaultPageLimit is the number of records in a page if the request has no limit.
const defaultPageLimit = 100

// Handler serves the log service's interface and, for tests and the demo,
// GET and PUT /faults and POST /streams/{name}/rollback?next=.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", s.serveAppend)
	mux.HandleFunc("GET /streams/{name}/records", s.serveRead)
	mux.HandleFunc("POST /streams/{name}/rollback", s.serveRollback)
	mux.HandleFunc("GET /faults", s.serveGetFaults)
	mux.HandleFunc("PUT /faults", s.servePutFaults)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.append(r.Context(), r.PathValue("name"), data)
	if errors.Is(err, streamlog.ErrOutcomeUnknown) {
		// Closes the connection, so that the client doesn't learn the outcome.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, streamlog.AppendResult{Offset: offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 {
		limit = defaultPageLimit
	}
	page, err := s.read(r.Context(), r.PathValue("name"), from, limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

func (s *Service) serveRollback(w http.ResponseWriter, r *http.Request) {
	next, err := strconv.ParseUint(r.FormValue("next"), 10, 64)
	if err != nil {
		http.Error(w, "next: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Rollback(r.PathValue("name"), next)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveGetFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

func (s *Service) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
