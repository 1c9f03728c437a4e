package target

import (
	"encoding/json"
	"net/http"
)

// ModeChange is the body of a mode change.
type ModeChange struct {
	// Target is the name of the target.
	Target string `json:"target"`
	Mode   Mode   `json:"mode"`
}

// Control serves the experiment's side of a group of targets:
// POST /mode changes a target's mode, GET /runs returns the runs by request id.
// It listens on an address of its own, which gates do not know.
type Control struct {
	targets []*Target
	runs    *Runs
}

// NewControl returns the control handler of targets that share one count.
func NewControl(targets []*Target, runs *Runs) *Control {
	return &Control{targets: targets, runs: runs}
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/mode":
		c.setMode(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/runs":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.runs.Snapshot())
	default:
		http.NotFound(w, r)
	}
}

// setMode applies a mode change.
func (c *Control) setMode(w http.ResponseWriter, r *http.Request) {
	var change ModeChange
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, target := range c.targets {
		if target.Name() != change.Target {
			continue
		}
		if err := target.SetMode(change.Mode); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
		return
	}
	http.Error(w, "no such target", http.StatusNotFound)
}
