package gate_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// violationVariable makes the test binary play the process with the broken invariant.
const violationVariable = "BUCKTHORNLATCH_TEST_VIOLATION"

// TestViolationEndsProcess guards against a broken invariant that net/http turns into a broken link, in a process that goes
// on, possibly with the gate's lock held.
func TestViolationEndsProcess(t *testing.T) {
	if os.Getenv(violationVariable) != "" {
		server := httptest.NewServer(gate.New(gate.Config{
			Host: "h", Service: "walks", Headers: headers, Clock: clock.NewSystem(), EventLog: zerolog.Nop(), AttemptLog: zerolog.Nop(), Metrics: noMetrics{},
			PolicyVersion: func() policy.Version {
				invariant.Check(false, "for-the-test", "version asked for")
				return 0
			},
		}))
		defer server.Close()
		request, err := http.NewRequest(http.MethodGet, server.URL+"/browse/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		(&link.Attempt{Service: "walks", Caller: "desk", Route: "browse", Remaining: time.Second, Objective: time.Second, Method: http.MethodGet}).Encode(request.Header)
		if response, err := http.DefaultClient.Do(request); err == nil {
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
