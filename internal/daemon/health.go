package daemon

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// crashNotice is the time after a broken connection in which a crash of the
// target is noticed: the announcements of a crashed target expire by then.
const crashNotice = targetapi.Expiry + time.Second

// health passes what the gate observes on to the judge of targets and to the
// quarantine of requests. It is safe for concurrent use.
type health struct {
	clock      clock.Clock
	judge      *ejection.Shared
	quarantine *quarantine.Shared
	// probe connects to a target and reports ConnectFailed if that fails.
	probe func(id.TargetID)

	mu sync.Mutex
	// known are the targets that the judge judges.
	known map[id.TargetID]id.ServiceName
	// broken are runs whose connection broke. Whether the target crashed is not known yet.
	broken []brokenRun
}

// brokenRun is a run that a crash may have ended.
type brokenRun struct {
	target      id.TargetID
	fingerprint string
	at          clock.Time
}

// Observe implements gate.Health.
func (h *health) Observe(o gate.Observation) {
	switch o.Event {
	case gate.Dispatched:
		h.quarantine.With(func(q *quarantine.Quarantine, _ clock.Time) { q.Started(o.Fingerprint, o.Target) })
	case gate.Broken:
		h.keepBroken(o)
		go h.probe(o.Target)
	case gate.ConnectFailed, gate.Restarted, gate.Vanished:
		h.crashed(o.Target)
		h.forgive(o)
	default:
		h.ended(o.Fingerprint, o.Target, o.Event == gate.Completed)
	}
	h.tellJudge(o)
}

// tellJudge converts an observation for the judge.
func (h *health) tellJudge(o gate.Observation) {
	kind, ok := kindOf(o)
	if !ok {
		return
	}
	if kind == ejection.Refused && h.excused(o.Target) {
		return
	}
	h.judge.Observe(ejection.Observation{
		Target:   o.Target,
		Attempt:  o.Attempt,
		Kind:     kind,
		At:       o.At,
		Latency:  o.Latency,
		Deadline: o.Deadline,
		Source:   xxhash.Sum64String(string(o.Customer)),
	})
}

// kindOf converts an event; ok is false for events that are no attempt's.
func kindOf(o gate.Observation) (kind ejection.Kind, ok bool) {
	switch o.Event {
	case gate.Dispatched:
		return ejection.Started, true
	case gate.Completed:
		return kindOfStatus(o.Status), true
	case gate.Broken, gate.TimedOut:
		return ejection.TargetError, true
	case gate.Silent:
		if o.NewConnection {
			return ejection.SilentNew, true
		}
		return ejection.SilentReused, true
	case gate.ConnectFailed:
		return ejection.Refused, true
	case gate.Declined, gate.Cancelled:
		return ejection.Cancelled, true
	default:
		return 0, false
	}
}

// kindOfStatus converts the status of a complete answer.
func kindOfStatus(status int) ejection.Kind {
	switch {
	case status >= http.StatusInternalServerError:
		return ejection.TargetError
	case status >= http.StatusBadRequest:
		return ejection.RequestError
	default:
		return ejection.Succeeded
	}
}

// keepBroken notes a run that a crash may have ended.
func (h *health) keepBroken(o gate.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, brokenRun{target: o.Target, fingerprint: o.Fingerprint, at: o.At})
}

// crashed tells the quarantine of a crash; the target's broken runs count as in flight.
func (h *health) crashed(target id.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { q.Crashed(target, now) })
	kept := h.broken[:0]
	for _, run := range h.broken {
		if run.target != target {
			kept = append(kept, run)
		}
	}
	h.broken = kept
}

// forgive lets a restarted target start anew when a quarantined request explains
// its crash; the target is not to blame.
func (h *health) forgive(o gate.Observation) {
	if o.Event == gate.Restarted && h.excused(o.Target) {
		h.judge.With(func(j *ejection.Judge) { j.Announce(o.Target, o.Service, o.At) })
	}
}

// ended tells the quarantine that a run ended without a crash.
func (h *health) ended(fingerprint string, target id.TargetID, completed bool) {
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { q.Ended(fingerprint, target, completed, now) })
}

// excused reports whether a quarantined request explains the target's crashes.
func (h *health) excused(target id.TargetID) bool {
	excused := false
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { excused = q.Excused(target, now) })
	return excused
}

// tick ends the broken runs of targets that did not crash.
func (h *health) tick(now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.broken[:0]
	for _, run := range h.broken {
		if now.Sub(run.at) < crashNotice {
			kept = append(kept, run)
			continue
		}
		h.ended(run.fingerprint, run.target, false)
	}
	h.broken = kept
}

// Eligible implements gate.Health.
func (h *health) Eligible(t id.TargetID, now clock.Time) gate.Eligibility {
	judged := h.judge.Eligible(t, now)
	switch {
	case !judged.Admit:
		return gate.Eligibility{Admit: gate.AdmitNone}
	case judged.IdempotentOnly:
		return gate.Eligibility{Admit: gate.AdmitTrial, Weight: judged.Weight}
	default:
		return gate.Eligibility{Admit: gate.AdmitAll, Weight: judged.Weight}
	}
}

// MayStart implements gate.Quarantine.
func (h *health) MayStart(fingerprint string) bool {
	may := false
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { may = q.MayStart(fingerprint, now) })
	return may
}

// sync announces new targets to the judge and withdraws those that left.
func (h *health) sync(targets []gate.TargetStatus, now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := make(map[id.TargetID]bool, len(targets))
	for _, t := range targets {
		current[t.ID] = true
		if h.known[t.ID] == t.Service {
			continue
		}
		h.known[t.ID] = t.Service
		h.judge.With(func(j *ejection.Judge) { j.Announce(t.ID, t.Service, now) })
	}
	for t := range h.known {
		if !current[t] {
			delete(h.known, t)
			h.judge.With(func(j *ejection.Judge) { j.Withdraw(t, now) })
		}
	}
}
