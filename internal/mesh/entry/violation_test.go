package entry_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/mesh/entry"
)

// violationVariable makes the test binary play the process with the broken invariant.
const violationVariable = "BUCKTHORNLATCH_TEST_VIOLATION"

// brokenMetrics breaks an invariant at each request.
type brokenMetrics struct{ entry.Metrics }

// Begin implements entry.Metrics.
func (brokenMetrics) Begin() { invariant.Check(false, "for-the-test", "request begun") }

// TestViolationEndsProcess guards against a broken invariant that net/http turns into a connection that ends without an
// answer, in a process that goes on.
func TestViolationEndsProcess(t *testing.T) {
	if os.Getenv(violationVariable) != "" {
		server := httptest.NewServer(entry.New(entry.Config{Clock: clock.NewSystem(), Metrics: brokenMetrics{}}))
		defer server.Close()
		if response, err := http.Get(server.URL); err == nil {
			_ = response.Body.Close()
		}
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestViolationEndsProcess$")
	cmd.Env = append(os.Environ(), violationVariable+"=1")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "panic: invariant for-the-test violated") {
		t.Fatalf("the process went on: %v: %s", err, out)
	}
}
