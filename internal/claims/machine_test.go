package claims

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// send is a send that waits for its decision or runs.
type send struct {
	daemon  int
	key     int
	decided chan ledger.Decision
	claim   ledger.ClaimID
}

// fleet is a set of daemons that share one table.
type fleet struct {
	table   *fakeTable
	clock   *clock.Fake
	random  *rand.Rand
	daemons []*Store
	waiting []send
	active  []send
	// runs counts the runs per key; responses are those passed to Finish; killed marks keys
	// that may have been claimed by a daemon that was killed.
	runs      [3]int
	responses [3]string
	killed    [3]bool
	// last is the latest decision per key.
	last [3]ledger.Kind
}

const customer = id.CustomerID("chubut")

func keyName(k int) string { return fmt.Sprint("order-", k) }

// start creates a new incarnation of a daemon.
func (f *fleet) start(i int) {
	settings := DefaultSettings()
	settings.CommitInterval = time.Millisecond
	settings.Window = 1000 * time.Hour
	s, err := New(Config{
		Table: f.table, Clock: f.clock, Random: f.random, Host: id.HostID(fmt.Sprint("host-", i)),
		Incarnation: id.Incarnation(f.random.Uint64()), Settings: settings,
	})
	if err != nil {
		panic(err)
	}
	f.daemons[i] = s
}

// send submits a request and handles an immediate decision.
func (f *fleet) send(t *rapid.T, daemon, key int) {
	s := f.daemons[daemon]
	hash := hashKey(customer, keyName(key))
	decided, d := s.submit(hash, "f")
	if decided == nil {
		f.checkDecision(t, send{daemon: daemon, key: key}, s.withResponse(context.Background(), hash, d))
		return
	}
	f.waiting = append(f.waiting, send{daemon: daemon, key: key, decided: decided})
}

// collect checks the decisions that have arrived.
func (f *fleet) collect(t *rapid.T) {
	f.waiting = slices.DeleteFunc(f.waiting, func(s send) bool {
		select {
		case d := <-s.decided:
			f.checkDecision(t, s, d)
			return true
		default:
			return false
		}
	})
}

// checkDecision checks a decision against the recorded runs and responses.
func (f *fleet) checkDecision(t *rapid.T, s send, d ledger.Decision) {
	f.last[s.key] = d.Kind
	switch d.Kind {
	case ledger.Run:
		for _, a := range f.active {
			if a.key == s.key {
				t.Fatalf("key %d may run at daemons %d and %d", s.key, a.daemon, s.daemon)
			}
		}
		if f.runs[s.key] > 0 {
			t.Fatalf("key %d may run again", s.key)
		}
		s.claim = d.Claim
		f.active = append(f.active, s)
	case ledger.Replay:
		if f.runs[s.key] != 1 || string(d.Response.Body) != f.responses[s.key] {
			t.Fatalf("key %d ran %d times, replays %q", s.key, f.runs[s.key], d.Response.Body)
		}
	case ledger.RanNotKept:
		if f.runs[s.key] != 1 {
			t.Fatalf("key %d ran %d times, answered as run", s.key, f.runs[s.key])
		}
	case ledger.KeyReused:
		t.Fatalf("key %d answered as reused", s.key)
	}
}

// finish finishes an active send.
func (f *fleet) finish(s send, outcome int) {
	store := f.daemons[s.daemon]
	switch outcome {
	case 0:
		store.Finish(s.claim, ledger.NotRun(ledger.GateVerdict))
	case 1:
		f.runs[s.key]++
		f.responses[s.key] = fmt.Sprint("answer ", s.claim.Serial, " of ", s.daemon)
		store.Finish(s.claim, ledger.Ran(ledger.Response{Status: 201, Body: []byte(f.responses[s.key])}))
	default:
		f.runs[s.key] += outcome - 2
		store.Finish(s.claim, ledger.UnknownOutcome())
	}
}

// kill replaces a daemon by a new incarnation; its active sends may have run.
func (f *fleet) kill(t *rapid.T, i int) {
	f.active = slices.DeleteFunc(f.active, func(s send) bool {
		if s.daemon == i {
			f.runs[s.key] += rapid.IntRange(0, 1).Draw(t, "ran before the kill")
		}
		return s.daemon == i
	})
	f.waiting = slices.DeleteFunc(f.waiting, func(s send) bool { return s.daemon == i })
	f.killed = [3]bool{true, true, true}
	f.start(i)
}

// settle applies all delayed commits, finishes all sends without faults, and checks how
// resends of the keys are decided.
func (f *fleet) settle(t *rapid.T) {
	f.table.injected, f.table.failNextRead = faultNone, false
	for len(f.table.delayed) > 0 {
		f.table.ApplyDelayed(0)
	}
	for _, a := range f.active {
		f.finish(a, 1)
	}
	f.active = nil
	f.flushAll(t)
	for key := range f.runs {
		for daemon := range f.daemons {
			f.send(t, daemon, key)
			f.flushAll(t)
			for _, a := range f.active {
				f.finish(a, 1)
			}
			f.active = nil
		}
		if f.responses[key] != "" && !f.killed[key] && f.last[key] != ledger.Replay {
			t.Fatalf("key %d ran and was answered, and its resend is answered %s", key, f.last[key])
		}
		if f.responses[key] == "" && !f.killed[key] && f.runs[key] == 0 {
			f.checkRowUnknown(t, key)
		}
	}
}

// checkRowUnknown fails unless the row of a key that did not run says unknown. If
// no daemon was killed, only a reported unknown outcome may keep such a key from running.
func (f *fleet) checkRowUnknown(t *rapid.T, key int) {
	row := decodeRow(f.table.rows[hashKey(customer, keyName(key)).rowKey()].Value)
	if row.State != rowUnknown {
		t.Fatalf("key %d did not run and its row says %s", key, row.State)
	}
}

func (f *fleet) flushAll(t *rapid.T) {
	for range 8 {
		f.clock.Advance(10 * time.Millisecond)
		for _, s := range f.daemons {
			s.Flush(context.Background())
		}
		f.collect(t)
	}
}

// Guards against a second run of a request with a caller's own key, and against wrong decisions,
// under outages, lost and late commits, killed daemons and callers that disconnect.
func TestOwnKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			table: newFakeTable(), clock: &clock.Fake{}, daemons: make([]*Store, 3),
			random: rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<30).Draw(t, "ids")))),
		}
		for i := range f.daemons {
			f.start(i)
		}
		daemon := rapid.IntRange(0, len(f.daemons)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { f.collect(t) },
			"send": func(t *rapid.T) {
				f.send(t, daemon.Draw(t, "daemon"), rapid.IntRange(0, len(f.runs)-1).Draw(t, "key"))
			},
			"flush": func(t *rapid.T) {
				f.clock.Advance(10 * time.Millisecond)
				f.table.injected = fault(rapid.IntRange(int(faultNone), int(faultReadLost)).Draw(t, "fault"))
				f.daemons[daemon.Draw(t, "daemon")].Flush(context.Background())
			},
			"flush without fault": func(t *rapid.T) {
				f.clock.Advance(10 * time.Millisecond)
				f.table.injected = faultNone
				f.daemons[daemon.Draw(t, "daemon")].Flush(context.Background())
			},
			"late commit arrives": func(t *rapid.T) {
				if n := len(f.table.delayed); n > 0 {
					f.table.ApplyDelayed(rapid.IntRange(0, n-1).Draw(t, "commit"))
				}
			},
			"waits time out": func(*rapid.T) { f.clock.Advance(DefaultMaxWait) },
			"caller disconnects": func(t *rapid.T) {
				if n := len(f.waiting); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "send")
					s := f.waiting[i]
					f.waiting = slices.Delete(f.waiting, i, i+1)
					f.daemons[s.daemon].cancel(hashKey(customer, keyName(s.key)), s.decided)
				}
			},
			"end": func(t *rapid.T) {
				if n := len(f.active); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "send")
					s := f.active[i]
					f.active = slices.Delete(f.active, i, i+1)
					f.finish(s, rapid.IntRange(0, 3).Draw(t, "outcome"))
				}
			},
			"kill": func(t *rapid.T) { f.kill(t, daemon.Draw(t, "daemon")) },
		})
		f.settle(t)
	})
}
