package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// timeoutHeader holds the caller's timeout in milliseconds.
const timeoutHeader = "Request-Timeout-Ms"

// idempotencyHeader holds a ticket or an idempotency key of the caller's own.
const idempotencyHeader = "Idempotency-Key"

// maxIdempotencyKeyBytes is the largest length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// request is an authenticated request of a caller.
type request struct {
	// key is the caller's key, never empty.
	key      string
	identity Identity
	// expiry is when the permission to run the request ends.
	expiry clock.Time

	route   catalogue.Route
	service catalogue.Service
	method  string
	host    string
	uri     string
	// header holds the end-to-end headers without the key.
	header       http.Header
	body         *body
	fingerprints fingerprints
	// idempotencyKey is empty when there is none or the route is idempotent.
	idempotencyKey string
	// claimed says that the ledger permitted this send to run.
	claimed  bool
	deadline clock.Time
}

// class returns hop.Idempotent if the request may run more than once, or else hop.Once.
func (q *request) class() hop.Class {
	if q.route.Idempotent {
		return hop.Idempotent
	}
	return hop.Once
}

// prepare checks the request, matches its route, reads the prefix of its body and checks the quarantine.
func (e *Entry) prepare(q *request, c *callerConn, r *http.Request) *Refusal {
	if refusal := q.readRequestLine(r); refusal != nil {
		return refusal
	}
	if refusal := e.matchRoute(q, r); refusal != nil {
		return refusal
	}
	if refusal := e.readHeaders(q, r); refusal != nil {
		return refusal
	}
	body, err := readBody(r, c, q.service.MaxBodyBytes, q.key)
	if err != nil {
		return bodyRefusal(err)
	}
	q.body = body
	q.fingerprints = newFingerprints(q.identity.Customer, q.route.ID, q.method, r.URL.Path, r.URL.RawQuery, body)
	if v := e.deps.Quarantine.Check(q.fingerprints.crash); v.Quarantined {
		return &Refusal{Code: problem.RequestQuarantined, RetryAfter: v.RetryAfter}
	}
	return nil
}

// readRequestLine stores and checks the method, the host and the URI.
func (q *request) readRequestLine(r *http.Request) *Refusal {
	q.method, q.host, q.uri = r.Method, r.Host, r.URL.RequestURI()
	switch {
	case r.Method == http.MethodConnect, r.Method == http.MethodTrace, !strings.HasPrefix(q.uri, "/"):
		return &Refusal{Code: problem.BadRequest, Detail: "the request form is not supported"}
	case strings.HasPrefix(r.RequestURI, "/") && q.uri != r.RequestURI:
		// It would not reach the target byte for byte.
		return &Refusal{Code: problem.BadRequest, Detail: "the request URI has characters that must be percent-encoded"}
	case !hop.ValidURI(q.uri):
		return &Refusal{Code: problem.BadRequest, Detail: "the request URI is too long or malformed"}
	case ambiguousPath(r.URL.Path):
		return &Refusal{Code: problem.BadRequest, Detail: "the path has dot segments or backslashes"}
	case containsKey(q.uri, q.key):
		return &Refusal{Code: problem.BadRequest, Detail: "the request URI contains the key"}
	}
	return nil
}

// ambiguousPath reports whether a target might resolve the path to one of another route than the matched one.
func ambiguousPath(path string) bool {
	if strings.ContainsAny(path, "\\\x00") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// matchRoute finds the route and checks that it is open to the customer.
func (e *Entry) matchRoute(q *request, r *http.Request) *Refusal {
	route, service, ok := e.deps.Router.Match(r.Method, r.Host, r.URL.EscapedPath())
	if !ok {
		return &Refusal{Code: problem.RouteUnknown}
	}
	if !route.OpenToAll && !e.deps.Router.ListsCustomer(route.ID, q.identity.Customer) {
		return &Refusal{Code: problem.RouteForbidden}
	}
	q.route, q.service = route, service
	return nil
}

// readHeaders reads the timeout and the idempotency key and stores the end-to-end headers.
func (e *Entry) readHeaders(q *request, r *http.Request) *Refusal {
	timeout, ok := e.requestTimeout(q.service, r.Header)
	if !ok {
		return &Refusal{Code: problem.BadRequest, Detail: timeoutHeader + " is not a positive number"}
	}
	q.deadline = e.deps.Clock.Now().Add(timeout)
	keys := r.Header[idempotencyHeader]
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxIdempotencyKeyBytes)) {
		return &Refusal{Code: problem.BadRequest, Detail: idempotencyHeader + " is repeated, empty or too long"}
	}
	q.header = r.Header.Clone()
	hop.StripConnection(q.header)
	hop.StripReserved(q.header)
	delete(q.header, timeoutHeader)
	removeKeyHeaders(q.header, q.key)
	if len(keys) == 1 && !q.route.Idempotent {
		q.idempotencyKey = keys[0]
	}
	return nil
}

// requestTimeout returns the caller's timeout, limited to the service's. It reports false if the header
// is not a positive number.
func (e *Entry) requestTimeout(service catalogue.Service, header http.Header) (time.Duration, bool) {
	limit := min(e.config.DefaultTimeout, hop.MaxRemaining)
	if service.RequestTimeout > 0 {
		limit = min(service.RequestTimeout, hop.MaxRemaining)
	}
	stated := header.Get(timeoutHeader)
	if stated == "" {
		return limit, true
	}
	ms, err := strconv.ParseInt(stated, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	if ms > limit.Milliseconds() {
		return limit, true
	}
	return time.Duration(ms) * time.Millisecond, true
}
