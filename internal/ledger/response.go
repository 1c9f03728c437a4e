package ledger

import "net/http"

// headerFieldOverhead is counted for each header value beside its text: one string header.
const headerFieldOverhead = 16

// Response is a recorded response. It is shared: neither the recorder nor a reader may modify it.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the bytes that the response counts against the storage limits.
func (r Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name) + headerFieldOverhead
		for _, v := range values {
			n += len(v) + headerFieldOverhead
		}
	}
	return n
}
