package attempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// history records the events of one attempt, without the table's limits.
type history struct {
	arrived    bool
	dispatched bool
	ended      bool
	// declined says that the target declared that it did not run the attempt.
	declined       bool
	complete       bool
	reportedNotRun bool
	// firstSeen is the time of the first event.
	firstSeen clock.Time
	seen      bool
}

// model drives a small table with few attempt ids, so that races between arrival, resolution and expiry are
// frequent.
type model struct {
	table *attempt.Table
	now   clock.Time
	known map[id.AttemptID]*history
}

// pick draws an attempt.
func (m *model) pick(t *rapid.T) (id.AttemptID, *history) {
	a := id.AttemptID{byte(rapid.IntRange(0, 5).Draw(t, "attempt"))}
	h := m.known[a]
	if h == nil {
		h = &history{}
		m.known[a] = h
	}
	return a, h
}

// noteEvent records the time of an attempt's first event.
func (m *model) noteEvent(h *history) {
	if !h.seen {
		h.seen, h.firstSeen = true, m.now
	}
}

// verdictUsable reports whether a verdict on the attempt may still be used; entries discard later ones.
func (m *model) verdictUsable(h *history) bool {
	return m.now.Sub(h.firstSeen) < attempt.Retention
}

func (m *model) arrive(t *rapid.T) {
	a, h := m.pick(t)
	if h.seen && m.now.Sub(h.firstSeen) >= attempt.MinRetention {
		m.arriveLate(t, a, h)
		return
	}
	state := m.table.Add(m.now, a, true)
	if state == attempt.Full {
		return
	}
	m.noteEvent(h)
	if state != attempt.Unseen {
		return
	}
	if h.arrived {
		t.Fatalf("attempt %v is accepted twice", a)
	}
	if h.reportedNotRun {
		t.Fatalf("attempt %v is accepted after it was reported as not run", a)
	}
	h.arrived = true
}

// arriveLate is the arrival of a copy whose validity stamp has expired. The gate refuses it.
func (m *model) arriveLate(t *rapid.T, a id.AttemptID, h *history) {
	if m.table.Add(m.now, a, false) != attempt.Unseen {
		return
	}
	m.table.Finish(m.now, a, attempt.EndRefused)
	if m.verdictUsable(h) {
		h.reportedNotRun = true
		m.checkVerdict(t, a, h)
	}
}

func (m *model) dispatch(t *rapid.T) {
	a, h := m.pick(t)
	if !m.table.Dispatch(a) {
		return
	}
	if h.dispatched {
		t.Fatalf("attempt %v is dispatched twice", a)
	}
	if h.reportedNotRun {
		t.Fatalf("attempt %v is dispatched after it was reported as not run", a)
	}
	h.dispatched = true
}

func (m *model) finish(t *rapid.T) {
	a, h := m.pick(t)
	state := m.table.State(a)
	if h.ended || (state != attempt.Waiting && state != attempt.Dispatched) {
		t.Skip("the attempt is not in progress")
	}
	end := attempt.EndRefused
	if h.dispatched {
		end = rapid.SampledFrom([]attempt.End{attempt.EndDeclined, attempt.EndComplete, attempt.EndBroken}).Draw(t, "end")
	}
	h.ended = true
	h.declined = end == attempt.EndDeclined
	h.complete = end == attempt.EndComplete
	if m.table.Finish(m.now, a, end) == attempt.NotRun {
		h.reportedNotRun = true
	}
	m.checkVerdict(t, a, h)
}

func (m *model) resolve(t *rapid.T) {
	a, h := m.pick(t)
	m.noteEvent(h)
	switch m.table.Resolve(m.now, a) {
	case attempt.NotRun:
		if m.verdictUsable(h) {
			h.reportedNotRun = true
		}
	case attempt.Ran:
		if !h.complete {
			t.Fatalf("attempt %v is reported as run without a complete answer", a)
		}
	}
	if m.verdictUsable(h) {
		m.checkVerdict(t, a, h)
	}
}

func (m *model) passTime(t *rapid.T) {
	longest := rapid.SampledFrom([]int{10, 60, 900}).Draw(t, "longest")
	seconds := rapid.IntRange(1, longest).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
}

// checkVerdict fails when an attempt was reported as not run although it may have run.
func (m *model) checkVerdict(t *rapid.T, a id.AttemptID, h *history) {
	if h.reportedNotRun && h.dispatched && !h.declined {
		t.Fatalf("attempt %v ran, but was reported as not run", a)
	}
}

// TestTable guards against a second dispatch and against a false "not run". Attempts arrive, are resolved, end
// and expire in any order, with limits small enough that some are evicted.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := attempt.Limits{
			Finished: rapid.IntRange(1, 4).Draw(t, "finished limit"),
			Blocked:  rapid.IntRange(1, 4).Draw(t, "blocked limit"),
		}
		m := &model{table: attempt.NewTable(limits), known: map[id.AttemptID]*history{}}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "dispatch": m.dispatch, "finish": m.finish, "resolve": m.resolve, "pass time": m.passTime,
		})
	})
}

// TestLateCopyOfEvictedAttempt guards against a "not run" for an attempt that ran: its record was evicted, a late copy of
// it arrives and is refused, and its entry asks for the outcome.
func TestLateCopyOfEvictedAttempt(t *testing.T) {
	const limit = 4
	table := attempt.NewTable(attempt.Limits{Finished: limit})
	var now clock.Time
	run := func(a id.AttemptID) {
		if state := table.Add(now, a, true); state != attempt.Unseen {
			t.Fatalf("new attempt is %v", state)
		}
		table.Dispatch(a)
		table.Finish(now, a, attempt.EndBroken)
	}
	first := id.AttemptID{1}
	run(first)
	now = now.Add(attempt.MinRetention + time.Second)
	for n := range byte(limit) {
		run(id.AttemptID{2, n})
	}
	if state := table.State(first); state != attempt.Unseen {
		t.Fatalf("the first attempt is %v, not evicted", state)
	}
	if state := table.Add(now, first, false); state == attempt.Unseen {
		table.Finish(now, first, attempt.EndRefused)
	}
	if state := table.Add(now, id.AttemptID{3}, true); state != attempt.Unseen {
		t.Errorf("a new attempt is %v", state)
	}
	if state := table.Resolve(now, first); state != attempt.Unknown {
		t.Errorf("an attempt that may have run is resolved as %v", state)
	}
}
