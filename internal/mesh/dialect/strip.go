package dialect

import (
	"net/http"
	"net/textproto"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// StripUntrusted removes the headers that a caller may not set for the target, connection-specific headers, and the
// caller's key.
func (h Headers) StripUntrusted(header http.Header) {
	hop.StripConnection(header)
	for _, name := range []string{h.Customer, h.Target, h.Caller, h.NotRun, h.Seal, h.Instance, h.Deadline, "Authorization", "Expect"} {
		delete(header, name)
	}
	for name := range header {
		if strings.HasPrefix(name, ReservedPrefix) {
			delete(header, name)
		}
	}
}

// ReservedPrefix is the prefix of the headers that daemons exchange with each other.
const ReservedPrefix = "Bl-"

// Canonical returns h with all names in the canonical form of net/http.
func (h Headers) Canonical() Headers {
	for _, name := range []*string{&h.RequestID, &h.Deadline, &h.Seal, &h.Customer, &h.Target, &h.Instance, &h.NotRun, &h.Caller} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	return h
}
