package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// targetLog is a target's handler that records what reached it.
type targetLog struct {
	mu sync.Mutex
	// seen holds a dump of each request: line, headers and body.
	seen []string
	runs int
	// serve answers after the request was recorded; nil answers 200 "done".
	serve http.HandlerFunc
}

func (t *targetLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.runs++
	t.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	var dump strings.Builder
	dump.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n")
	_ = r.Header.Write(&dump)
	dump.Write(body)
	t.mu.Lock()
	t.seen = append(t.seen, dump.String())
	t.mu.Unlock()
	if t.serve != nil {
		t.serve(w, r)
		return
	}
	_, _ = w.Write([]byte("done"))
}

// count returns the number of requests that reached the target.
func (t *targetLog) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs
}

// dump returns everything that reached the target.
func (t *targetLog) dump() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.seen, "\n")
}

// lostAnswer runs the request and then breaks the connection instead of answering.
func lostAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bl-Attempt") == "" {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// lostRequest breaks the connection before the gate sees the request.
func lostRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bl-Attempt") == "" {
			next.ServeHTTP(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	})
}

// crossed answers with the echo of another attempt.
func crossed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&rewriting{ResponseWriter: w, rewrite: func(h http.Header) {
			if h.Get("Bl-Attempt") != "" {
				h.Set("Bl-Attempt", strings.Repeat("0", 32))
			}
		}}, r)
	})
}

// uncertified ends the body normally, but without the certificate.
func uncertified(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		w.Header().Del("Bl-Complete")
	})
}

// discard is a response writer without a connection; it fails after a number of body bytes.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// rewriting changes the header before it is sent.
type rewriting struct {
	http.ResponseWriter
	rewrite func(http.Header)
}

func (r *rewriting) WriteHeader(status int) {
	r.rewrite(r.Header())
	r.ResponseWriter.WriteHeader(status)
}

func (r *rewriting) Unwrap() http.ResponseWriter { return r.ResponseWriter }
