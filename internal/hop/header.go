package hop

import (
	"net/http"
	"strings"
)

// Path is the URL path for attempts on a gate's peer listener. The caller's own URI is sent in HeaderURI, so that
// it cannot select a control handler.
const Path = "/.buckthornlatch/v1/hop"

// Hop headers, in canonical form.
const (
	HeaderAttempt     = "Bl-Attempt"
	HeaderRemaining   = "Bl-Remaining-Ms"
	HeaderCustomer    = "Bl-Customer"
	HeaderService     = "Bl-Service"
	HeaderTarget      = "Bl-Target"
	HeaderClass       = "Bl-Class"
	HeaderFingerprint = "Bl-Fingerprint"
	HeaderKeyID       = "Bl-Key-Id"
	HeaderValidUntil  = "Bl-Valid-Until"
	HeaderURI         = "Bl-Uri"
	HeaderVerdict     = "Bl-Verdict"
	HeaderReason      = "Bl-Reason"
	HeaderGateClock   = "Bl-Gate-Clock"
	HeaderLoad        = "Bl-Load"
	HeaderLength      = "Bl-Length"
	HeaderComplete    = "Bl-Complete"
	// HeaderNotRun is set to "true" by a target that rejects a request without running it.
	HeaderNotRun = "Bl-Not-Run"
)

// Headers that a target receives.
const (
	HeaderTargetCustomer = "X-Customer-Id"
	HeaderTargetTimeout  = "X-Request-Timeout-Ms"
	// HeaderTargetAttempt carries the attempt id, which the target echoes in its response.
	HeaderTargetAttempt = "X-Attempt"
)

// headerPrefix is the prefix of every hop header.
const headerPrefix = "Bl-"

// connectionHeaders are the headers that apply to one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripConnection removes the headers that apply to one connection only, including those listed in Connection.
func StripConnection(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}

// StripReserved removes all headers that callers may not set. Underscores count as hyphens, because many servers
// do not distinguish the two.
func StripReserved(header http.Header) {
	for name := range header {
		if reserved(name) {
			delete(header, name)
		}
	}
}

// StripHop removes the hop headers.
func StripHop(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

// reserved reports whether the header may not be set by callers: hop headers, X-Forwarded-* and the headers that
// the fleet sets for targets.
func reserved(name string) bool {
	if len(name) < len(headerPrefix) {
		return false
	}
	if strings.Contains(name, "_") {
		name = http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	if strings.HasPrefix(name, headerPrefix) || strings.HasPrefix(name, "X-Forwarded-") {
		return true
	}
	return name == HeaderTargetCustomer || name == HeaderTargetTimeout || name == HeaderTargetAttempt
}
