package entry

import (
	"context"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// waitingAttempt returns an attempt whose host has not acknowledged it, and its session and context.
func waitingAttempt() (*attempt, *session, context.Context) {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &attempt{host: "h0", cancel: cancel, acceptTimer: time.NewTimer(time.Hour)}
	s := &session{events: newEventQueue(), active: map[id.HostID]*attempt{"h0": a}}
	return a, s, ctx
}

// TestAcknowledgedJustInTime guards against an attempt that is cancelled although its gate has taken it, because the word
// of the gate arrived when the time for it had just ended: an upload was lost that way, whose body was on its way.
func TestAcknowledgedJustInTime(t *testing.T) {
	for name, acknowledge := range map[string]func(*signals){"queued": (*signals).Queued, "started": (*signals).Started} {
		a, s, ctx := waitingAttempt()
		timeout := event{kind: eventAcceptTimeout, attempt: a}
		acknowledge(&signals{session: s, attempt: a})
		s.handle(context.Background(), timeout)
		if ctx.Err() != nil {
			t.Errorf("%s: the attempt was cancelled", name)
		}
	}
}

// TestBodyOfGivenUpAttempt guards against a body that is sent although the attempt was given up, so that it may have run
// and cannot be tried elsewhere.
func TestBodyOfGivenUpAttempt(t *testing.T) {
	a, s, ctx := waitingAttempt()
	s.handle(context.Background(), event{kind: eventAcceptTimeout, attempt: a})
	if ctx.Err() == nil || a.acceptance.acknowledge() {
		t.Fatal("the attempt goes on without an acknowledgement")
	}
	b, s, ctx := waitingAttempt()
	if !b.acceptance.acknowledge() {
		t.Fatal("the body was not released")
	}
	s.handle(context.Background(), event{kind: eventAcceptTimeout, attempt: b})
	if ctx.Err() != nil {
		t.Fatal("the attempt was cancelled after its body was released")
	}
}
