package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

const (
	// staleBounds times the bound on the delay of a configuration is its age from which an unknown key or route gets a retryable
	// refusal: a newer configuration that this host has not received may contain it. While the store answers, the age stays
	// below one bound.
	staleBounds = 2
	// staleRetryAfter is the Retry-After of refusals by a host that may lack recent changes.
	staleRetryAfter = 500 * time.Millisecond
	// noPolicyRetryAfter is the Retry-After of refusals by a host that has no configuration yet.
	noPolicyRetryAfter = 250 * time.Millisecond
	// invalidRetryAfter is the Retry-After of refusals that last until the operator corrects the configuration.
	invalidRetryAfter = 5 * time.Second
	// DefaultTimeout applies to routes without a timeout.
	DefaultTimeout = 30 * time.Second
	// bearerScheme is the prefix of the Authorization header, compared without case.
	bearerScheme = "bearer "
)

// request is a caller's request with what the entry determined about it.
type request struct {
	requestID string
	started   time.Time
	// deadline is when the caller stops waiting for the answer, or when the route's timeout ends.
	deadline time.Time
	// expires is the deadline as a reading of the entry's clock.
	expires   clock.Time
	policy    *policy.Snapshot
	policyAge time.Duration
	route     *policy.Route
	customer  *policy.Customer
	service   id.ServiceName
	// regions are those to whose hosts the request may go.
	regions policy.Regions
	header  http.Header
	body    *link.Body
	// paced bounds the pauses of the caller while it sends the body; nil without a body.
	paced       *pacedBody
	httpRequest *http.Request
}

// authorise sets the request's route, customer, service and deadline, or returns the refusal to send.
func (e *Entry) authorise(req *request) *refusal {
	req.policy, req.policyAge = e.config.Policy.Policy()
	if req.policy == nil {
		return &refusal{code: problem.KeysStale, retryAfter: noPolicyRetryAfter}
	}
	if !strings.HasPrefix(req.httpRequest.RequestURI, "/") {
		// An absolute URL would select the host that the target sees.
		return &refusal{code: problem.BadRequest}
	}
	path, _, _ := strings.Cut(req.httpRequest.RequestURI, "?")
	req.route = req.policy.Match(req.httpRequest.Host, path)
	if req.route == nil {
		return e.denied(req, problem.RouteUnknown)
	}
	if req.route.Unservable != "" {
		return invalidConfiguration()
	}
	key, given := bearerToken(req.httpRequest.Header)
	if !req.route.Public && req.policy.KeysRequired() {
		if !given {
			return e.denied(req, problem.KeyMissing)
		}
		if req.customer = req.policy.ByKey(key); req.customer == nil {
			return e.denied(req, problem.KeyInvalid)
		}
		if req.customer.Unservable != "" {
			return invalidConfiguration()
		}
	}
	req.service = req.route.PickService(e.config.Random())
	req.deadline = e.deadline(req)
	left := time.Until(req.deadline)
	if left <= 0 {
		return &refusal{code: problem.DeadlineTooShort, status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter}
	}
	req.expires = e.config.Clock.Now().Add(left)
	if req.regions = req.allowedRegions(); req.regions.None() {
		return &refusal{code: problem.NoTarget, retryAfter: invalidRetryAfter}
	}
	return nil
}

// invalidConfiguration refuses a request whose route or customer has an invalid configuration.
func invalidConfiguration() *refusal {
	return &refusal{code: problem.ConfigurationInvalid, retryAfter: invalidRetryAfter}
}

// denied refuses a request for its route or key. If the configuration may be out of date, or lacks the customer that
// the key may belong to, the refusal is retryable.
func (e *Entry) denied(req *request, code problem.Code) *refusal {
	if code == problem.KeyInvalid && req.policy.CustomersMissing() {
		return invalidConfiguration()
	}
	if req.policyAge > staleBounds*e.config.PolicyBound() {
		return &refusal{code: problem.KeysStale, retryAfter: staleRetryAfter}
	}
	return &refusal{code: code}
}

// deadline returns the request's deadline. A caller can shorten the route's timeout but not extend it.
func (e *Entry) deadline(req *request) time.Time {
	limit := req.route.Timeout
	if limit <= 0 {
		limit = DefaultTimeout
	}
	given, err := strconv.ParseInt(req.httpRequest.Header.Get(e.config.Headers.Deadline), 10, 64)
	if err != nil || given <= 0 || given > int64(limit/time.Millisecond) {
		return req.started.Add(limit)
	}
	return req.started.Add(time.Duration(given) * time.Millisecond)
}

// bearerToken returns the caller's key from the Authorization header.
func bearerToken(header http.Header) (key string, given bool) {
	values := header["Authorization"]
	if len(values) != 1 || len(values[0]) <= len(bearerScheme) || !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	return strings.TrimSpace(values[0][len(bearerScheme):]), true
}

// paused reports whether the request ends because its caller paused for too long, and not because it has left.
func (req *request) paused() bool {
	return req.paced != nil && req.paced.paused.Load()
}

// rank returns the request's rank under load: its customer's if that has one, and otherwise its route's.
func (req *request) rank() int {
	if req.customer != nil && req.customer.HasRank {
		return req.customer.Rank
	}
	return req.route.Rank
}

// allowedRegions returns the regions that the route and the customer permit.
func (req *request) allowedRegions() policy.Regions {
	if req.customer == nil {
		return req.route.Regions
	}
	return req.route.Regions.And(req.customer.Regions)
}

// customerID returns the customer's ID, empty for a request without a customer.
func (req *request) customerID() id.CustomerID {
	if req.customer == nil {
		return ""
	}
	return req.customer.ID
}

// nested reports whether the request is taken to come from a target that is working on another request. Targets have no
// key and use public routes.
func (req *request) nested() bool {
	return req.customer == nil && req.route.Public
}
