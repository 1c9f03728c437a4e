package admin

import (
	"flag"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// recorder notes whether a check failed instead of failing the test.
type recorder struct {
	rapid.TB
	failed atomic.Bool
	last   atomic.Value
}

func (r *recorder) note(text string) {
	r.failed.Store(true)
	r.last.Store(text)
}

func (r *recorder) Fail()                             { r.note("") }
func (r *recorder) Failed() bool                      { return r.failed.Load() }
func (r *recorder) Error(args ...any)                 { r.note(fmt.Sprint(args...)) }
func (r *recorder) Errorf(format string, args ...any) { r.note(fmt.Sprintf(format, args...)) }
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

// TestFleetNeedsMechanisms guards against a state machine that would not
// notice the loss of a mechanism: it must fail with each one switched off.
func TestFleetNeedsMechanisms(t *testing.T) {
	for name, off := range map[string]mechanismsOff{
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
				rapid.Check(r, func(t *rapid.T) { runFleet(t, off) })
			}()
			<-done
			if !r.failed.Load() {
				t.Fatal("the state machine does not notice")
			}
			t.Logf("noticed with seed 1: %v", r.last.Load())
		})
	}
}
