package platform

import (
	"encoding/json"
	"net/http"
)

// controlPath is the endpoint that reads and replaces the faults.
const controlPath = "/control/faults"

// controlBodyLimit bounds the body of a control request in bytes.
const controlBodyLimit = 4096

// state is the body of a control response.
type state struct {
	Faults Faults `json:"faults"`
	Counts Counts `json:"counts"`
}

// serveGetFaults writes the faults and counts.
func (s *Server) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	faults, counts := s.switches.get()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state{Faults: faults, Counts: counts})
}

// servePutFaults replaces the faults.
func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, controlBodyLimit))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.switches.set(faults)
	s.serveGetFaults(w, r)
}
