package dialect

// Headers holds the header names in their canonical form.
type Headers struct {
	// RequestID identifies one transmission of a request by its caller. Targets echo it.
	RequestID string
	// Deadline holds how long the sender will wait for the answer, in milliseconds.
	Deadline string
	// Seal holds the target's signature of its answer.
	Seal string
	// Customer holds the customer of the request and is set for the target.
	Customer string
	// Target identifies the target incarnation that an attempt is meant for. Another incarnation declines it.
	Target string
	// Instance identifies the target incarnation that answers.
	Instance string
	// NotRun marks an answer whose target did not run the request.
	NotRun string
	// Caller holds the service on the host whose entry accepted the request, and is set for the target.
	Caller string
}
