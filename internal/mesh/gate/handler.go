package gate

import (
	"net"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/arrival"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// ServeHTTP runs attempts sent by the entries of other hosts.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer hop.CrashOnViolation()
	inbound := hop.NewInboundBody(w, r)
	defer inbound.Done()
	a, err := link.DecodeAttempt(r)
	if err != nil {
		g.config.EventLog.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("gate: attempt cannot be decoded")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Entry, _, _ = net.SplitHostPort(r.RemoteAddr)
	a.RequestID = r.Header.Get(g.config.Headers.RequestID)
	if conn, ok := hangup.ConnOf(r.Context()); ok {
		// Its entry may be paused and not end an attempt that waited unread until its time had run out.
		a.Remaining -= arrival.Age(conn)
	}
	reply := &reply{w: w}
	result := g.Do(r.Context(), a, reply)
	defer result.Close()
	inbound.BeforeHeader()
	reply.write(result)
}

// reply writes the response to one attempt.
type reply struct {
	w http.ResponseWriter
}

// Queued implements link.Signals.
func (r *reply) Queued() {
	r.w.WriteHeader(link.StatusQueued)
}

// Started implements link.Signals.
func (r *reply) Started() {
	r.w.WriteHeader(link.StatusStarted)
}

// Overdue implements link.Signals.
func (r *reply) Overdue() {
	r.w.WriteHeader(link.StatusOverdue)
}

// CancelAdvised implements link.Signals.
func (r *reply) CancelAdvised() {
	r.w.WriteHeader(link.StatusCancelAdvised)
}

// write sends a result.
func (r *reply) write(result *link.Result) {
	header := r.w.Header()
	status := http.StatusServiceUnavailable
	switch result.Verdict {
	case hop.NotRun:
		// The entry reads the verdict, not the status. This one has the shortest head, as it needs no Content-Length.
		status = http.StatusNoContent
	case hop.Ran:
		status = result.Status
		for name, values := range result.Header {
			header[name] = values
		}
	}
	result.Encode(header)
	link.WriteBody(r.w, status, result)
}
