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

// Details is the body of a refusal.
type Details struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the stable, documented code of the refusal.
	Code Code `json:"code"`
	// Run is the fate of the request, or of the idempotency key when it has one.
	Run Run `json:"run"`
	// Send is the fate of this send alone; empty when it equals Run.
	Send Run `json:"send,omitempty"`
	// RetryAfter is sent as a header in whole seconds, rounded up; zero when unknown.
	RetryAfter time.Duration `json:"-"`
}

// New returns the details for a code, with the code's status and title.
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

// Write sends the details as the whole response.
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
