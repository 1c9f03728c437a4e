package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

const (
	// staleAfter is the age of the configuration from which an unknown key or route is not denied for good: a newer
	// configuration that this host did not get may hold it. It is twice the time in which an idle watch of the
	// store reports.
	staleAfter = 3 * time.Second
	// staleRetry is when a caller should come back to a host that is behind.
	staleRetry = 500 * time.Millisecond
	// noPolicyRetry is when a caller should come back to a host that has no configuration yet.
	noPolicyRetry = 250 * time.Millisecond
	// defaultTimeout bounds requests without a deadline on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// bearerScheme precedes the key in Authorization.
	bearerScheme = "bearer "
)

// query is a request on its way.
type query struct {
	requestID string
	started   time.Time
	// deadline is when the answer must be there.
	deadline time.Time
	// byCaller says that the caller's own deadline is the deadline, not the route's timeout.
	byCaller  bool
	policy    *policy.Snapshot
	policyAge time.Duration
	route     *policy.Route
	customer  *policy.Customer
	service   id.ServiceName
	header    http.Header
	body      *link.Body
	request   *http.Request
}

// authorise names the request's route and customer.
func (e *Entry) authorise(q *query) *refusal {
	q.policy, q.policyAge = e.config.Policy.Policy()
	if q.policy == nil {
		return &refusal{code: problem.KeysStale, retryAfter: noPolicyRetry}
	}
	path, _, _ := strings.Cut(q.request.RequestURI, "?")
	q.route = q.policy.Match(q.request.Host, path)
	if q.route == nil {
		return q.denied(problem.RouteUnknown)
	}
	key, given := bearer(q.request.Header)
	if !q.route.Public && q.policy.HasCustomers() {
		if !given {
			return q.denied(problem.KeyMissing)
		}
		if q.customer = q.policy.ByKey(key); q.customer == nil {
			return q.denied(problem.KeyInvalid)
		}
	}
	q.service = q.route.Service(e.config.Draw())
	q.deadline, q.byCaller = e.deadline(q)
	return nil
}

// denied refuses a request for its route or key. A host that may be behind does not deny for good.
func (q *query) denied(code problem.Code) *refusal {
	if q.policyAge > staleAfter {
		return &refusal{code: problem.KeysStale, retryAfter: staleRetry}
	}
	return &refusal{code: code}
}

// deadline returns when the answer must be there, and whether it is the caller's own deadline.
func (e *Entry) deadline(q *query) (time.Time, bool) {
	limit := q.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	given, err := strconv.ParseInt(q.request.Header.Get(e.config.Headers.Deadline), 10, 64)
	if err != nil || given <= 0 || given > int64(limit/time.Millisecond) {
		return q.started.Add(limit), false
	}
	return q.started.Add(time.Duration(given) * time.Millisecond), true
}

// bearer returns the caller's key.
func bearer(header http.Header) (key string, given bool) {
	values := header["Authorization"]
	if len(values) != 1 || len(values[0]) <= len(bearerScheme) || !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	return strings.TrimSpace(values[0][len(bearerScheme):]), true
}

// rank returns the request's rank under load.
func (q *query) rank() int {
	if q.customer != nil && q.customer.Ranked {
		return q.customer.Rank
	}
	return q.route.Rank
}

// customerID returns the customer, empty for a public route.
func (q *query) customerID() id.CustomerID {
	if q.customer == nil {
		return ""
	}
	return q.customer.ID
}

// nested reports whether a target makes the request for one that it is working on. Targets hold no key and use routes
// that need none.
func (q *query) nested() bool {
	return q.customer == nil && q.route.Public
}
