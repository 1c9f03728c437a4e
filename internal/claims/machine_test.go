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

// send is a send that waits for its decision, or runs.
type send struct {
	daemon  int
	key     int
	decided chan ledger.Decision
	claim   ledger.ClaimID
}

// fleet is several daemons before one table.
type fleet struct {
	table   *fakeTable
	clock   *clock.Fake
	random  *rand.Rand
	daemons []*Store
	waiting []send
	active  []send
	// runs counts dispatches per key; answers are the recorded responses; lost marks keys
	// whose daemon was killed.
	runs    [3]int
	answers [3]string
	lost    [3]bool
	// last is the newest decision per key.
	last [3]ledger.Kind
}

const customer = id.CustomerID("chubut")

func keyName(k int) string { return fmt.Sprint("order-", k) }

// boot starts a new incarnation of a daemon.
func (f *fleet) boot(i int) {
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
		f.decided(t, send{daemon: daemon, key: key}, s.withResponse(context.Background(), hash, d))
		return
	}
	f.waiting = append(f.waiting, send{daemon: daemon, key: key, decided: decided})
}

// collect handles the decisions that arrived.
func (f *fleet) collect(t *rapid.T) {
	f.waiting = slices.DeleteFunc(f.waiting, func(s send) bool {
		select {
		case d := <-s.decided:
			f.decided(t, s, d)
			return true
		default:
			return false
		}
	})
}

// decided checks a decision against what really happened.
func (f *fleet) decided(t *rapid.T, s send, d ledger.Decision) {
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
		if f.runs[s.key] != 1 || string(d.Response.Body) != f.answers[s.key] {
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

// end finishes an active send.
func (f *fleet) end(s send, outcome int) {
	store := f.daemons[s.daemon]
	switch outcome {
	case 0:
		store.Finish(s.claim, ledger.NotRun(ledger.GateVerdict))
	case 1:
		f.runs[s.key]++
		f.answers[s.key] = fmt.Sprint("answer ", s.claim.Serial, " of ", s.daemon)
		store.Finish(s.claim, ledger.Ran(ledger.Response{Status: 201, Body: []byte(f.answers[s.key])}))
	default:
		f.runs[s.key] += outcome - 2
		store.Finish(s.claim, ledger.UnknownOutcome())
	}
}

// kill replaces a daemon; its active sends may have run.
func (f *fleet) kill(t *rapid.T, i int) {
	f.active = slices.DeleteFunc(f.active, func(s send) bool {
		if s.daemon == i {
			f.runs[s.key] += rapid.IntRange(0, 1).Draw(t, "ran before the kill")
		}
		return s.daemon == i
	})
	f.waiting = slices.DeleteFunc(f.waiting, func(s send) bool { return s.daemon == i })
	f.lost = [3]bool{true, true, true}
	f.boot(i)
}

// settle lets everything arrive and be written without faults, and checks that the keys
// resolve as promised.
func (f *fleet) settle(t *rapid.T) {
	f.table.next, f.table.readDown = faultNone, false
	for len(f.table.delayed) > 0 {
		f.table.Arrive(0)
	}
	for _, a := range f.active {
		f.end(a, 1)
	}
	f.active = nil
	f.flushAll(t)
	for key := range f.runs {
		for daemon := range f.daemons {
			f.send(t, daemon, key)
			f.flushAll(t)
			for _, a := range f.active {
				f.end(a, 1)
			}
			f.active = nil
		}
		if f.answers[key] != "" && !f.lost[key] && f.last[key] != ledger.Replay {
			t.Fatalf("key %d ran and was answered, and its resend is answered %s", key, f.last[key])
		}
		if f.answers[key] == "" && !f.lost[key] && f.runs[key] == 0 {
			f.checkUnknown(t, key)
		}
	}
}

// checkUnknown fails when a key that was never dispatched and whose daemons live cannot run.
func (f *fleet) checkUnknown(t *rapid.T, key int) {
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

// Guards against a second run of a request with a caller's own key, and against false answers,
// under outages, lost and late commits, kills and callers that stop waiting.
func TestOwnKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			table: newFakeTable(), clock: &clock.Fake{}, daemons: make([]*Store, 3),
			random: rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<30).Draw(t, "ids")))),
		}
		for i := range f.daemons {
			f.boot(i)
		}
		daemon := rapid.IntRange(0, len(f.daemons)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { f.collect(t) },
			"send": func(t *rapid.T) {
				f.send(t, daemon.Draw(t, "daemon"), rapid.IntRange(0, len(f.runs)-1).Draw(t, "key"))
			},
			"flush": func(t *rapid.T) {
				f.clock.Advance(10 * time.Millisecond)
				f.table.next = fault(rapid.IntRange(int(faultNone), int(faultReadLost)).Draw(t, "fault"))
				f.daemons[daemon.Draw(t, "daemon")].Flush(context.Background())
			},
			"flush without fault": func(t *rapid.T) {
				f.clock.Advance(10 * time.Millisecond)
				f.table.next = faultNone
				f.daemons[daemon.Draw(t, "daemon")].Flush(context.Background())
			},
			"late commit arrives": func(t *rapid.T) {
				if n := len(f.table.delayed); n > 0 {
					f.table.Arrive(rapid.IntRange(0, n-1).Draw(t, "commit"))
				}
			},
			"waits end": func(*rapid.T) { f.clock.Advance(DefaultMaxWait) },
			"caller leaves": func(t *rapid.T) {
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
					f.end(s, rapid.IntRange(0, 3).Draw(t, "outcome"))
				}
			},
			"kill": func(t *rapid.T) { f.kill(t, daemon.Draw(t, "daemon")) },
		})
		f.settle(t)
	})
}
