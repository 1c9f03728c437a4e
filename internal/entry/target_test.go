package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// recordingTarget is a target's handler that records what reached it.
type recordingTarget struct {
	mu sync.Mutex
	// dumps holds a dump of each request: line, headers and body.
	dumps []string
	runs  int
	// serve answers after the request was recorded; nil answers 200 "done".
	serve http.HandlerFunc
}

func (t *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.runs++
	t.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	var dump strings.Builder
	dump.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n")
	_ = r.Header.Write(&dump)
	dump.Write(body)
	t.mu.Lock()
	t.dumps = append(t.dumps, dump.String())
	t.mu.Unlock()
	if t.serve != nil {
		t.serve(w, r)
		return
	}
	_, _ = w.Write([]byte("done"))
}

// count returns the number of requests that reached the target.
func (t *recordingTarget) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs
}

// dump returns everything that reached the target.
func (t *recordingTarget) dump() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.dumps, "\n")
}

// lostAnswer runs the request and then aborts the connection instead of responding.
func lostAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bl-Attempt") == "" {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// lostRequest aborts the connection before the gate receives the request.
func lostRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bl-Attempt") == "" {
			next.ServeHTTP(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	})
}

// crossedAnswer replaces the attempt id in the response by that of another attempt.
func crossedAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&headerRewriter{ResponseWriter: w, rewrite: func(h http.Header) {
			if h.Get("Bl-Attempt") != "" {
				h.Set("Bl-Attempt", strings.Repeat("0", 32))
			}
		}}, r)
	})
}

// uncertifiedAnswer ends the body normally, but without the certificate of completeness.
func uncertifiedAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		w.Header().Del("Bl-Complete")
	})
}

// discardWriter is a response writer without a connection; it discards the body.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// headerRewriter is a response writer that changes the header before it is sent.
type headerRewriter struct {
	http.ResponseWriter
	rewrite func(http.Header)
}

func (r *headerRewriter) WriteHeader(status int) {
	r.rewrite(r.Header())
	r.ResponseWriter.WriteHeader(status)
}

func (r *headerRewriter) Unwrap() http.ResponseWriter { return r.ResponseWriter }
