package hop

import (
	"fmt"
	"runtime/debug"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// CrashOnViolation ends the process after an invariant violation. HTTP handlers must defer it, because net/http
// recovers from their panics and would continue with invalid state. Other panics are passed on.
func CrashOnViolation() {
	cause := recover()
	if cause == nil {
		return
	}
	if violation, ok := cause.(*invariant.Violation); ok {
		report := fmt.Sprintf("%v\n%s", violation, debug.Stack())
		go panic(report)
		select {}
	}
	panic(cause)
}
