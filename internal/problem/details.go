package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// contentType is the media type of RFC 9457 problem details.
const contentType = "application/problem+json"

// Details is the response body of a refusal.
type Details struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the stable code that docs/callers.md documents.
	Code Code `json:"code"`
	// Run says whether the request may have run. For a request with an idempotency key it covers every send
	// with that key.
	Run Run `json:"run"`
	// Send says whether this send alone may have run; empty when it equals Run.
	Send Run `json:"send,omitempty"`
	// RetryAfter is sent as a header in whole seconds, rounded up. Zero means unknown and omits the header.
	RetryAfter time.Duration `json:"-"`
}

// New returns the problem details for a code, with its status and title.
func New(code Code, run Run, detail string) Details {
	spec := code.spec()
	return Details{
		Type:   "urn:buckthornlatch:problem:" + string(code),
		Title:  spec.title,
		Status: spec.status,
		Detail: detail,
		Code:   code,
		Run:    run,
	}
}

// Write sends the problem details as the complete response.
func (d Details) Write(w http.ResponseWriter) error {
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "no-store")
	if d.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.RetryAfter.Seconds()))))
	}
	w.WriteHeader(d.Status)
	_, err = w.Write(body)
	return err
}
