package hop

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// MaxRemaining bounds the time that an attempt may last. The gate retains block marks for longer.
	MaxRemaining = 10 * time.Minute
	// maxNameBytes bounds the length of names in hop headers, in bytes.
	maxNameBytes = 256
	// maxURIBytes bounds the length of the caller's request URI, in bytes.
	maxURIBytes = 16 << 10
)

// ErrRequest reports a malformed hop request; the message names the header.
var ErrRequest = errors.New("malformed hop request")

// HeaderError reports one malformed hop header.
type HeaderError struct {
	Header string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return "malformed hop header " + e.Header
}

// Unwrap returns ErrRequest.
func (e *HeaderError) Unwrap() error {
	return ErrRequest
}

// Request holds the hop headers of a request.
type Request struct {
	Attempt id.AttemptID
	// Remaining is the time left for the attempt, counted from its arrival at the gate.
	Remaining time.Duration
	Customer  id.CustomerID
	Service   id.ServiceName
	// Target is the preferred target's name at the gate; empty for any.
	Target      string
	Class       Class
	Fingerprint string
	KeyID       catalogue.KeyID
	// ValidUntil is the validity stamp: the time on the receiving gate's clock after which the attempt must not be
	// dispatched.
	ValidUntil GateClock
	// URI is the caller's request URI in origin form.
	URI string
}

// Encode sets the hop headers and deletes those whose value is empty.
func (r Request) Encode(header http.Header) {
	values := [...]struct{ name, value string }{
		{HeaderAttempt, r.Attempt.String()},
		{HeaderRemaining, strconv.FormatInt(r.Remaining.Milliseconds(), 10)},
		{HeaderCustomer, string(r.Customer)},
		{HeaderService, string(r.Service)},
		{HeaderTarget, r.Target},
		{HeaderClass, string(r.Class)},
		{HeaderFingerprint, r.Fingerprint},
		{HeaderKeyID, string(r.KeyID)},
		{HeaderValidUntil, r.ValidUntil.String()},
		{HeaderURI, r.URI},
	}
	backing := make([]string, len(values))
	for i, v := range values {
		if v.value == "" {
			delete(header, v.name)
			continue
		}
		backing[i] = v.value
		header[v.name] = backing[i : i+1 : i+1]
	}
}

// DecodeRequest reads the hop headers. Every header must occur at most once, be of bounded length and have no
// control characters.
func DecodeRequest(header http.Header) (Request, error) {
	d := decoder{header: header}
	r := Request{
		Attempt:     d.attempt(HeaderAttempt),
		Remaining:   d.remaining(),
		Customer:    id.CustomerID(d.name(HeaderCustomer, true)),
		Service:     id.ServiceName(d.name(HeaderService, true)),
		Target:      d.name(HeaderTarget, false),
		Class:       Class(d.name(HeaderClass, true)),
		Fingerprint: d.name(HeaderFingerprint, false),
		KeyID:       catalogue.KeyID(d.name(HeaderKeyID, true)),
		ValidUntil:  d.clock(HeaderValidUntil),
		URI:         d.uri(),
	}
	if !r.Class.valid() {
		d.fail(HeaderClass)
	}
	if d.err != nil {
		return Request{}, d.err
	}
	return r, nil
}

// ValidURI reports whether s is a bounded request URI in origin form.
func ValidURI(s string) bool {
	return len(s) <= maxURIBytes && strings.HasPrefix(s, "/") && plain(s, false)
}

// plain reports whether s has no control characters, and no spaces unless allowed.
func plain(s string, spaces bool) bool {
	for i := range len(s) {
		c := s[i]
		if c < ' ' || c == 0x7f || (c == ' ' && !spaces) {
			return false
		}
	}
	return true
}
