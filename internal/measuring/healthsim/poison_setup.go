package healthsim

import (
	"time"
)

// PoisonSetup describes an experiment with a request that crashes each target that runs it.
type PoisonSetup struct {
	Hosts int
	// Resend is the time after which the caller sends the request again, to a random entry.
	Resend time.Duration
	// Copies is the number of callers that send the request at the same time.
	Copies int
	// Relay says that daemons pass new evidence on at once; otherwise only the exchanges carry it
	// beyond the first pushes.
	Relay bool
	// Isolate says that suspects run only on the target that all daemons choose alike.
	Isolate bool
}

// PoisonResult is what one run showed.
type PoisonResult struct {
	// Crashed is the number of targets that the poison took.
	Crashed int
	// InnocentsRefused counts the refused sends of innocent requests, out of InnocentsSent.
	InnocentsRefused int
	InnocentsSent    int
	// InnocentsHeld counts the innocent fingerprints that some daemon still refuses at the end.
	InnocentsHeld int
}
