package gate

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// healthTimeout bounds a question to a target's health page.
const healthTimeout = time.Second

// HealthError reports an answer of a health page that does not show that a target runs.
type HealthError struct {
	Status int
	// Target is the target that the answer names, empty if it names none.
	Target string
}

// Error implements error.
func (e *HealthError) Error() string {
	return fmt.Sprintf("status %d of target %q", e.Status, e.Target)
}

// healthClient keeps no connections: a gate asks a target at most a few times.
var healthClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// askHealth asks the health page at an address whether the named target runs there and is not leaving. A header of the answer
// names the target. It returns a *HealthError if it does not.
func askHealth(ctx context.Context, address, path, header, target string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fault.New("ask target", address, err)
	}
	response, err := healthClient.Do(request)
	if err != nil {
		return fault.New("ask target", address, err)
	}
	// The body is not read, and its connection is not used again.
	_ = response.Body.Close()
	if named := response.Header.Get(header); response.StatusCode != http.StatusOK || named != target {
		return fault.New("ask target", address, &HealthError{Status: response.StatusCode, Target: named})
	}
	return nil
}
