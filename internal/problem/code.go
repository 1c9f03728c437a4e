package problem

import "net/http"

// Code is the stable identifier of a refusal reason. docs/callers.md lists every code.
type Code string

// The codes that callers can receive.
const (
	KeyMissing            Code = "key-missing"
	KeyInvalid            Code = "key-invalid"
	KeysStale             Code = "keys-stale"
	RouteUnknown          Code = "route-unknown"
	RouteForbidden        Code = "route-forbidden"
	ConfigurationInvalid  Code = "configuration-invalid"
	RateExceeded          Code = "rate-exceeded"
	RateUnconfirmed       Code = "rate-unconfirmed"
	QueueFull             Code = "queue-full"
	DeadlineTooShort      Code = "deadline-too-short"
	NoTarget              Code = "no-target"
	Draining              Code = "draining"
	RequestQuarantined    Code = "request-quarantined"
	TicketsUnavailable    Code = "tickets-unavailable"
	TicketInvalid         Code = "ticket-invalid"
	TicketExpired         Code = "ticket-expired"
	IssuerLost            Code = "issuer-lost"
	KeyReused             Code = "idempotency-key-reused"
	InProgress            Code = "in-progress"
	OutcomeUnknown        Code = "outcome-unknown"
	AnswerNotKept         Code = "answer-not-kept"
	ClaimStoreUnavailable Code = "claim-store-unavailable"
	BodyTooLarge          Code = "body-too-large"
	BodyTimeout           Code = "body-timeout"
	BadRequest            Code = "bad-request"
	AttemptBlocked        Code = "attempt-blocked"
	ValidityExpired       Code = "validity-expired"
	TargetFailed          Code = "target-failed"
)

// codeSpec is the status and title of a code.
type codeSpec struct {
	status int
	title  string
}

// specs maps every code to its status and title.
var specs = map[Code]codeSpec{
	KeyMissing:            {http.StatusUnauthorized, "The request carries no key"},
	KeyInvalid:            {http.StatusUnauthorized, "The key is unknown or revoked"},
	KeysStale:             {http.StatusServiceUnavailable, "The daemon cannot confirm that keys are current"},
	RouteUnknown:          {http.StatusNotFound, "No route matches the request"},
	RouteForbidden:        {http.StatusForbidden, "The route is not open to this customer"},
	ConfigurationInvalid:  {http.StatusServiceUnavailable, "The configuration of the route or customer is invalid"},
	RateExceeded:          {http.StatusTooManyRequests, "The customer's rate is used up"},
	RateUnconfirmed:       {http.StatusServiceUnavailable, "The homes of the customer's rate cannot be reached"},
	QueueFull:             {http.StatusServiceUnavailable, "The queue before the targets is full"},
	DeadlineTooShort:      {http.StatusGatewayTimeout, "The remaining time is too short"},
	NoTarget:              {http.StatusServiceUnavailable, "No target can take the request"},
	Draining:              {http.StatusServiceUnavailable, "The daemon is shutting down"},
	RequestQuarantined:    {http.StatusUnprocessableEntity, "The request crashed targets and is quarantined"},
	TicketsUnavailable:    {http.StatusServiceUnavailable, "The daemon cannot issue tickets now"},
	TicketInvalid:         {http.StatusBadRequest, "The ticket is malformed or belongs to another customer"},
	TicketExpired:         {http.StatusConflict, "The ticket has expired"},
	IssuerLost:            {http.StatusConflict, "The issuer of the ticket is lost"},
	KeyReused:             {http.StatusUnprocessableEntity, "The idempotency key was used for a different request"},
	InProgress:            {http.StatusConflict, "A request with this idempotency key is in progress"},
	OutcomeUnknown:        {http.StatusBadGateway, "The outcome of the request is unknown"},
	AnswerNotKept:         {http.StatusConflict, "The request ran, but its answer was not kept"},
	ClaimStoreUnavailable: {http.StatusServiceUnavailable, "The idempotency key cannot be recorded"},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, "The request body is too large"},
	BodyTimeout:           {http.StatusRequestTimeout, "The request body did not arrive in time"},
	BadRequest:            {http.StatusBadRequest, "The request is malformed"},
	AttemptBlocked:        {http.StatusConflict, "The attempt was blocked before it was dispatched"},
	ValidityExpired:       {http.StatusServiceUnavailable, "The permission to run the request expired on the way"},
	TargetFailed:          {http.StatusBadGateway, "The target failed"},
}

// spec returns the status and title of a code. A code that is not listed gets status 500.
func (c Code) spec() codeSpec {
	if s, ok := specs[c]; ok {
		return s
	}
	return codeSpec{http.StatusInternalServerError, "Internal error"}
}
