package dialect

import (
	"net/http"
	"net/textproto"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// StripCaller removes what a caller may not set for the target, what concerns only its connection, and its key.
func (h Headers) StripCaller(header http.Header) {
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

// ReservedPrefix starts the names of the headers between daemons.
const ReservedPrefix = "Bl-"

// Canonical returns the headers with names as net/http keeps them.
func (h Headers) Canonical() Headers {
	for _, name := range []*string{&h.RequestID, &h.Deadline, &h.Seal, &h.Customer, &h.Target, &h.Instance, &h.NotRun, &h.Caller} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	return h
}
