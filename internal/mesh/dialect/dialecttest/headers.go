// Package dialecttest provides header names for the tests of the mesh.
package dialecttest

import "buckthornlatch.example/buckthornlatch/internal/mesh/dialect"

// Headers returns names for tests. They differ from those of every platform.
func Headers() dialect.Headers {
	return dialect.Headers{
		RequestID: "Request-Id", Deadline: "Deadline", Seal: "Seal", Customer: "Customer", Target: "Target",
		Instance: "Instance", NotRun: "Not-Run", Caller: "Caller",
	}
}
