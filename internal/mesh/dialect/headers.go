package dialect

// Headers are the names of headers in their canonical form.
type Headers struct {
	// RequestID names one send of a caller. Targets echo it.
	RequestID string
	// Deadline holds the time that the sender will wait, in milliseconds.
	Deadline string
	// Seal is the target's signature of its answer.
	Seal string
	// Customer tells the target for whom it works.
	Customer string
	// Target names the target incarnation that is meant; another one declines.
	Target string
	// Instance names the target incarnation that answers.
	Instance string
	// NotRun says that the target did not run the request.
	NotRun string
	// Caller tells the target which service runs on the host where the request began.
	Caller string
}
