package metrics

import (
	"net/http"
	"strings"
	"time"
)

// Handler returns an http.Handler that counts and times the requests that it passes to next.
func (s *Set) Handler(next http.Handler) http.Handler {
	return &handler{set: s, next: next}
}

// handler implements Set.Handler.
type handler struct {
	set  *Set
	next http.Handler
}

// ServeHTTP implements http.Handler. A panic, which aborts the connection, passes through.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	h.set.running.Add(1)
	response := &response{ResponseWriter: w}
	complete := false
	defer func() {
		h.set.running.Add(-1)
		h.set.Latency.RecordDuration(time.Since(started))
		h.set.count(response, complete)
	}()
	h.next.ServeHTTP(response, r)
	complete = true
}

// SampleInFlight updates InFlight. One goroutine calls it periodically, because concurrent requests that
// updated the gauge themselves could overwrite a newer value with an older one.
func (s *Set) SampleInFlight() {
	s.InFlight.Update(float64(s.running.Load()))
}

// count counts a finished request as aborted, as a refusal or by its status class.
func (s *Set) count(r *response, complete bool) {
	switch {
	case !complete:
		s.Aborted.Inc(1)
	case r.code != "":
		s.Refusals.Inc(r.code)
	default:
		s.Requests.Inc(statusClass(r.status))
	}
}

// statusClass returns the class of a status, for example "2xx". Zero means that the handler did not call
// WriteHeader, for which net/http sends 200.
func statusClass(status int) string {
	switch {
	case status == 0:
		return "2xx"
	case status < 100 || status > 599:
		return Other
	}
	return [...]string{"1xx", "2xx", "3xx", "4xx", "5xx"}[status/100-1]
}

// problemPrefix is the beginning of the body of every refusal; the code follows it.
const problemPrefix = `{"type":"urn:buckthornlatch:problem:`

// response records the status and, for a refusal, the code. A target can send a body that looks like a refusal,
// which is then counted as one, but it cannot add label values because only listed codes have a counter.
type response struct {
	http.ResponseWriter
	status int
	code   string
	wrote  bool
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if status >= http.StatusOK && r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if !r.wrote {
		r.wrote = true
		r.code = codeOf(p)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (r *response) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

// codeOf returns the code in the body of a refusal, or "" for other bodies.
func codeOf(body []byte) string {
	if len(body) < len(problemPrefix) || string(body[:len(problemPrefix)]) != problemPrefix {
		return ""
	}
	rest := string(body[len(problemPrefix):min(len(body), len(problemPrefix)+64)])
	code, _, _ := strings.Cut(rest, `"`)
	return code
}
