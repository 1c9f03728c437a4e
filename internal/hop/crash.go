package hop

import (
	"fmt"
	"runtime/debug"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// CrashOnViolation ends the process after a broken invariant. It must be deferred by HTTP handlers: net/http
// recovers from their panics and would go on with state that is known to be wrong. Other panics pass.
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
