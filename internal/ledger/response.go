package ledger

import "net/http"

// stringOverheadBytes is counted for each header name and value in addition to its text: the size of
// a Go string header.
const stringOverheadBytes = 16

// Response is a recorded response. Header and Body are shared and must not be modified.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the number of bytes that the response counts towards the storage limits.
func (r Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name) + stringOverheadBytes
		for _, v := range values {
			n += len(v) + stringOverheadBytes
		}
	}
	return n
}
