// Package dialecttest holds the header names that the specs of the mesh use.
package dialecttest

import "buckthornlatch.example/buckthornlatch/internal/mesh/dialect"

// Headers returns names that no platform uses.
func Headers() dialect.Headers {
	return dialect.Headers{
		RequestID: "Request-Id", Deadline: "Deadline", Seal: "Seal", Customer: "Customer", Target: "Target",
		Instance: "Instance", NotRun: "Not-Run", Caller: "Caller",
	}
}
