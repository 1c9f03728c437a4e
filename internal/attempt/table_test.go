package attempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// history is what really happened to one attempt, kept without the table's bounds.
type history struct {
	arrived    bool
	dispatched bool
	ended      bool
	// declined says that the target proved not-run.
	declined   bool
	complete   bool
	saidNotRun bool
	// firstSeen is the time of the first event.
	firstSeen clock.Time
	seen      bool
}

// machine drives a small table with few ids, so that races between arrival, resolution and expiry are frequent.
type machine struct {
	table *attempt.Table
	now   clock.Time
	known map[id.AttemptID]*history
}

// pick draws an attempt.
func (m *machine) pick(t *rapid.T) (id.AttemptID, *history) {
	a := id.AttemptID{byte(rapid.IntRange(0, 5).Draw(t, "attempt"))}
	h := m.known[a]
	if h == nil {
		h = &history{}
		m.known[a] = h
	}
	return a, h
}

// touch notes an event.
func (m *machine) touch(h *history) {
	if !h.seen {
		h.seen, h.firstSeen = true, m.now
	}
}

// within reports whether statements about the attempt are still used: entries discard them later.
func (m *machine) within(h *history) bool {
	return m.now.Sub(h.firstSeen) < attempt.Retention
}

func (m *machine) arrive(t *rapid.T) {
	a, h := m.pick(t)
	if h.seen && m.now.Sub(h.firstSeen) >= attempt.MinRetention {
		t.Skip("the gate refuses the stamp of an attempt this old")
	}
	state := m.table.Arrive(m.now, a)
	if state == attempt.Full {
		return
	}
	m.touch(h)
	if state != attempt.Unseen {
		return
	}
	if h.arrived {
		t.Fatalf("attempt %v is accepted twice", a)
	}
	if h.saidNotRun {
		t.Fatalf("attempt %v is accepted after it was reported as not run", a)
	}
	h.arrived = true
}

func (m *machine) dispatch(t *rapid.T) {
	a, h := m.pick(t)
	if !m.table.Dispatch(a) {
		return
	}
	if h.dispatched {
		t.Fatalf("attempt %v is dispatched twice", a)
	}
	if h.saidNotRun {
		t.Fatalf("attempt %v is dispatched after it was reported as not run", a)
	}
	h.dispatched = true
}

func (m *machine) finish(t *rapid.T) {
	a, h := m.pick(t)
	state := m.table.State(a)
	if h.ended || (state != attempt.Waiting && state != attempt.Dispatched) {
		t.Skip("nothing runs")
	}
	end := attempt.EndRefused
	if h.dispatched {
		end = rapid.SampledFrom([]attempt.End{attempt.EndDeclined, attempt.EndComplete, attempt.EndBroken}).Draw(t, "end")
	}
	h.ended = true
	h.declined = end == attempt.EndDeclined
	h.complete = end == attempt.EndComplete
	if m.table.Finish(m.now, a, end) == attempt.NotRun {
		h.saidNotRun = true
	}
	m.checkStatement(t, a, h)
}

func (m *machine) resolve(t *rapid.T) {
	a, h := m.pick(t)
	m.touch(h)
	switch m.table.Resolve(m.now, a) {
	case attempt.NotRun:
		if m.within(h) {
			h.saidNotRun = true
		}
	case attempt.Ran:
		if !h.complete {
			t.Fatalf("attempt %v is reported as run without a complete answer", a)
		}
	}
	if m.within(h) {
		m.checkStatement(t, a, h)
	}
}

func (m *machine) pass(t *rapid.T) {
	longest := rapid.SampledFrom([]int{10, 60, 900}).Draw(t, "longest")
	seconds := rapid.IntRange(1, longest).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
}

// checkStatement fails when a not-run statement is false.
func (m *machine) checkStatement(t *rapid.T, a id.AttemptID, h *history) {
	if h.saidNotRun && h.dispatched && !h.declined {
		t.Fatalf("attempt %v ran, but was reported as not run", a)
	}
}

// TestTable guards against a second dispatch and against a false "not run", under arrivals, resolutions,
// endings and time in any order, with bounds small enough that attempts are dropped early.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := attempt.Limits{
			Finished: rapid.IntRange(1, 4).Draw(t, "finished limit"),
			Blocked:  rapid.IntRange(1, 4).Draw(t, "blocked limit"),
		}
		m := &machine{table: attempt.NewTable(limits), known: map[id.AttemptID]*history{}}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "dispatch": m.dispatch, "finish": m.finish, "resolve": m.resolve, "pass": m.pass,
		})
	})
}
