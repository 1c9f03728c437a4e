package hop_test

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// sample is a complete request.
func sample() hop.Request {
	return hop.Request{
		Attempt: id.AttemptID{1, 2, 3}, Remaining: 1500 * time.Millisecond, Customer: "alpha", Service: "walks",
		Target: "t1", Class: hop.Once, Fingerprint: "00ff", KeyID: "key-1",
		ValidUntil: hop.GateClock{Incarnation: 7, Millis: 1234}, URI: "/book?seat=2",
	}
}

// TestRequestRoundTrip guards against a field that is lost in encoding or decoding.
func TestRequestRoundTrip(t *testing.T) {
	header := http.Header{}
	sample().Encode(header)
	got, err := hop.DecodeRequest(header)
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Fatalf("decoded %+v, %v", got, err)
	}
}

// TestDecodeRequestStrict guards against accepting ambiguous or malformed headers.
func TestDecodeRequestStrict(t *testing.T) {
	cases := map[string][]string{
		"Bl-Attempt":      {"xyz"},
		"Bl-Remaining-Ms": {"-1"},
		"Bl-Customer":     {""},
		"Bl-Class":        {"twice"},
		"Bl-Valid-Until":  {"7"},
		"Bl-Uri":          {"http://other/"},
		"Bl-Service":      {"a", "b"},
		"Bl-Key-Id":       nil,
	}
	for name, values := range cases {
		header := http.Header{}
		sample().Encode(header)
		header[name] = values
		if _, err := hop.DecodeRequest(header); err == nil {
			t.Errorf("%s %q is accepted", name, values)
		}
	}
}

// TestStamp guards against accepting a stamp for another process, an expired one or one too far ahead.
func TestStamp(t *testing.T) {
	now := hop.GateClock{Incarnation: 7, Millis: 1000}
	cases := []struct {
		stamp hop.GateClock
		want  bool
	}{
		{hop.GateClock{Incarnation: 7, Millis: 1000}, true},
		{hop.GateClock{Incarnation: 7, Millis: 999}, false},
		{hop.GateClock{Incarnation: 8, Millis: 2000}, false},
		{hop.GateClock{Incarnation: 7, Millis: 1000 + hop.MaxValidity.Milliseconds()}, true},
		{hop.GateClock{Incarnation: 7, Millis: 1001 + hop.MaxValidity.Milliseconds()}, false},
	}
	for _, c := range cases {
		if got := c.stamp.Permits(now); got != c.want {
			t.Errorf("%v permits %t", c.stamp, got)
		}
	}
}

// TestWatchdogPause guards against a slow caller that is mistaken for a stalled peer.
func TestWatchdogPause(t *testing.T) {
	fired := make(chan struct{}, 1)
	w := hop.NewWatchdog(50*time.Millisecond, func() { fired <- struct{}{} })
	w.Pause()
	select {
	case <-fired:
		t.Fatal("paused watchdog fired")
	case <-time.After(150 * time.Millisecond):
	}
	w.Resume()
	select {
	case <-fired:
	case <-time.After(5 * time.Second):
		t.Fatal("resumed watchdog did not fire")
	}
}

// FuzzDecodeRequest guards against panics and against headers that are decoded wrongly: an accepted request must
// not change when it is encoded and decoded again.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("01020300000000000000000000000000", "1500", "alpha", "walks", "t1", "once", "00ff", "key-1", "7:1234", "/book?seat=2")
	f.Add("", "99999999999999999999", "\x00", "", "", "idempotent", "", "", ":", "//\n")
	f.Fuzz(func(t *testing.T, attempt, remaining, customer, service, target, class, print, key, until, uri string) {
		header := http.Header{
			"Bl-Attempt": {attempt}, "Bl-Remaining-Ms": {remaining}, "Bl-Customer": {customer}, "Bl-Service": {service},
			"Bl-Target": {target}, "Bl-Class": {class}, "Bl-Fingerprint": {print}, "Bl-Key-Id": {key},
			"Bl-Valid-Until": {until}, "Bl-Uri": {uri},
		}
		request, err := hop.DecodeRequest(header)
		if err != nil {
			return
		}
		if request.Remaining < 0 || request.Remaining > hop.MaxRemaining {
			t.Fatalf("remaining time %v", request.Remaining)
		}
		again := http.Header{}
		request.Encode(again)
		second, err := hop.DecodeRequest(again)
		if err != nil || second != request {
			t.Fatalf("%+v becomes %+v, %v", request, second, err)
		}
	})
}

// FuzzDecodeResponse guards against panics and against an accepted response with a negative length or load.
func FuzzDecodeResponse(f *testing.F) {
	f.Add("01020300000000000000000000000000", "ran", "", "7:1234", "3/2", "12")
	f.Fuzz(func(t *testing.T, attempt, verdict, reason, clock, load, length string) {
		response, err := hop.DecodeResponse(http.Header{
			"Bl-Attempt": {attempt}, "Bl-Verdict": {verdict}, "Bl-Reason": {reason}, "Bl-Gate-Clock": {clock},
			"Bl-Load": {load}, "Bl-Length": {length},
		})
		if err == nil && (response.Length < -1 || response.Load.FreeSlots < 0 || response.Load.Queued < 0) {
			t.Fatalf("accepted %+v", response)
		}
	})
}
