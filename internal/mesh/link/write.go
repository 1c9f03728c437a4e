package link

import (
	"net/http"
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// suppressedHeaders are headers that net/http adds unless they are set to nil. The receiver must see only what the
// target sent, and each header costs bytes between failure domains.
var suppressedHeaders = []string{"Date", "Content-Type"}

// WriteBody sends the status, the headers that were set and the body of a result. It panics with
// http.ErrAbortHandler when the body breaks off, so that a truncated response does not look complete.
func WriteBody(w http.ResponseWriter, status int, r *Result) {
	header := w.Header()
	for _, name := range suppressedHeaders {
		if _, set := header[name]; !set {
			header[name] = nil
		}
	}
	if r.Verdict != hop.Ran {
		if !hop.Bodyless(status) {
			header["Content-Length"] = []string{"0"}
		}
		w.WriteHeader(status)
		return
	}
	delete(header, "Content-Length")
	if r.Length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(r.Length, 10)}
	}
	w.WriteHeader(status)
	if _, err := w.Write(r.Body); err != nil || r.Rest == nil {
		return
	}
	stream := hop.Stream{W: w, Control: http.NewResponseController(w), Length: -1, BeforeWrite: func() {}}
	if err := stream.Copy(r.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}
