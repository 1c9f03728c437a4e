package admin

import (
	"flag"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// recorder records the failure of a check instead of failing the test.
type recorder struct {
	rapid.TB
	failed      atomic.Bool
	lastMessage atomic.Value
}

func (r *recorder) record(text string) {
	r.failed.Store(true)
	r.lastMessage.Store(text)
}

func (r *recorder) Fail()                             { r.record("") }
func (r *recorder) Failed() bool                      { return r.failed.Load() }
func (r *recorder) Error(args ...any)                 { r.record(fmt.Sprint(args...)) }
func (r *recorder) Errorf(format string, args ...any) { r.record(fmt.Sprintf(format, args...)) }
func (r *recorder) Fatal(args ...any)                 { r.Error(args...); r.FailNow() }
func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...); r.FailNow() }

func (r *recorder) FailNow() {
	r.failed.Store(true)
	runtime.Goexit()
}

// setFlag sets a flag of rapid for the rest of the test.
func setFlag(t *testing.T, name, value string) {
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// TestFleetNeedsMechanisms guards against a state machine test that does not
// detect a missing mechanism: it must fail with each one disabled.
func TestFleetNeedsMechanisms(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"change ids":       {changeIDs: true},
		"unknown outcomes": {unknownOutcomes: true},
	} {
		t.Run(name, func(t *testing.T) {
			setFlag(t, "rapid.seed", "1")
			setFlag(t, "rapid.checks", "300")
			setFlag(t, "rapid.nofailfile", "true")
			setFlag(t, "rapid.shrinktime", "0s")
			r := &recorder{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, func(t *rapid.T) { runFleet(t, disabled) })
			}()
			<-done
			if !r.failed.Load() {
				t.Fatal("the state machine test passed although the mechanism is disabled")
			}
			t.Logf("detected with seed 1: %v", r.lastMessage.Load())
		})
	}
}
