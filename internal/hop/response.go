package hop

import (
	"net/http"
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Response holds the hop headers of a response.
type Response struct {
	// Attempt echoes the request's attempt id.
	Attempt id.AttemptID
	Verdict Verdict
	// Reason is the code of a refusal; empty for a target's response.
	Reason problem.Code
	Clock  GateClock
	// Load is the gate's load for the service; LoadKnown is false when the gate sent none.
	Load      Load
	LoadKnown bool
	// Length is the length of the body in bytes, -1 when unknown.
	Length int64
}

// Encode sets the hop headers and declares the completion trailer.
func (r Response) Encode(header http.Header) {
	header[HeaderAttempt] = []string{r.Attempt.String()}
	header[HeaderVerdict] = []string{string(r.Verdict)}
	header[HeaderGateClock] = []string{r.Clock.String()}
	header["Trailer"] = []string{HeaderComplete}
	if r.Reason != "" {
		header[HeaderReason] = []string{string(r.Reason)}
	}
	if r.LoadKnown {
		header[HeaderLoad] = []string{r.Load.String()}
	}
	if r.Length >= 0 {
		header[HeaderLength] = []string{strconv.FormatInt(r.Length, 10)}
	}
}

// DecodeResponse reads the hop headers of a response.
func DecodeResponse(header http.Header) (Response, error) {
	d := decoder{header: header}
	r := Response{
		Attempt: d.attempt(HeaderAttempt),
		Verdict: Verdict(d.name(HeaderVerdict, true)),
		Reason:  problem.Code(d.name(HeaderReason, false)),
		Clock:   d.clock(HeaderGateClock),
		Length:  d.length(),
	}
	if !r.Verdict.valid() {
		d.fail(HeaderVerdict)
	}
	if d.err != nil {
		return Response{}, d.err
	}
	r.Load, r.LoadKnown = parseLoad(d.value(HeaderLoad, false))
	return r, nil
}

// length reads the optional body length.
func (d *decoder) length() int64 {
	v := d.value(HeaderLength, false)
	if v == "" {
		return -1
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		d.fail(HeaderLength)
		return -1
	}
	return n
}
