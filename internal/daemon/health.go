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

// crashDetectionDelay is the longest time from a broken connection until a crash of the target is
// detected: by then the announcements of a crashed target have expired.
const crashDetectionDelay = targetapi.Expiry + time.Second

// health reports the gate's observations to the outlier detection of targets (the judge) and to
// the quarantine of requests. It is safe for concurrent use.
type health struct {
	clock      clock.Clock
	judge      *ejection.Shared
	quarantine *quarantine.Shared
	// probe connects to a target and reports ConnectFailed if that fails.
	probe func(id.TargetID)

	mu sync.Mutex
	// announced are the targets that the judge has, with their services.
	announced map[id.TargetID]id.ServiceName
	// brokenRuns are runs whose connection broke. Whether the target crashed is not known yet.
	brokenRuns []brokenRun
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
		h.addBrokenRun(o)
		go h.probe(o.Target)
	case gate.ConnectFailed, gate.Restarted, gate.Expired:
		h.crashed(o.Target)
		h.resetExcused(o)
	default:
		h.ended(o.Fingerprint, o.Target, o.Event == gate.Completed)
	}
	h.reportToJudge(o)
}

// reportToJudge reports an observation to the judge, except refused connections of a target whose
// crash is explained by a quarantined request.
func (h *health) reportToJudge(o gate.Observation) {
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

// kindOf converts an event; ok is false for events that do not belong to an attempt.
func kindOf(o gate.Observation) (kind ejection.Kind, ok bool) {
	switch o.Event {
	case gate.Dispatched:
		return ejection.Started, true
	case gate.Completed:
		return kindOfStatus(o.Status), true
	case gate.Broken, gate.TimedOut:
		return ejection.TargetError, true
	case gate.Stalled:
		if o.NewConnection {
			return ejection.StalledNew, true
		}
		return ejection.StalledReused, true
	case gate.ConnectFailed:
		return ejection.Refused, true
	case gate.Declined, gate.Cancelled:
		return ejection.Cancelled, true
	default:
		return 0, false
	}
}

// kindOfStatus converts the status of a complete response.
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

// addBrokenRun records a run that a crash may have ended.
func (h *health) addBrokenRun(o gate.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brokenRuns = append(h.brokenRuns, brokenRun{target: o.Target, fingerprint: o.Fingerprint, at: o.At})
}

// crashed reports a crash to the quarantine. The target's broken runs are dropped without being
// ended, so the quarantine counts them as in flight at the crash.
func (h *health) crashed(target id.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { q.Crashed(target, now) })
	kept := h.brokenRuns[:0]
	for _, run := range h.brokenRuns {
		if run.target != target {
			kept = append(kept, run)
		}
	}
	h.brokenRuns = kept
}

// resetExcused resets the judge's state of a restarted target when a quarantined request explains
// its crash, since the target is not at fault.
func (h *health) resetExcused(o gate.Observation) {
	if o.Event == gate.Restarted && h.excused(o.Target) {
		h.judge.With(func(j *ejection.Detector) { j.Announce(o.Target, o.Service, o.At) })
	}
}

// ended reports to the quarantine that a run ended without a crash.
func (h *health) ended(fingerprint string, target id.TargetID, completed bool) {
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { q.Ended(fingerprint, target, completed, now) })
}

// excused reports whether a quarantined request explains the target's crashes.
func (h *health) excused(target id.TargetID) bool {
	excused := false
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { excused = q.CrashExplained(target, now) })
	return excused
}

// tick ends the broken runs of targets that did not crash within crashDetectionDelay.
func (h *health) tick(now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.brokenRuns[:0]
	for _, run := range h.brokenRuns {
		if now.Sub(run.at) < crashDetectionDelay {
			kept = append(kept, run)
			continue
		}
		h.ended(run.fingerprint, run.target, false)
	}
	h.brokenRuns = kept
}

// Eligible implements gate.Health.
func (h *health) Eligible(t id.TargetID, now clock.Time) gate.Eligibility {
	eligibility := h.judge.Eligible(t, now)
	switch {
	case !eligibility.Admit:
		return gate.Eligibility{Admit: gate.AdmitNone}
	case eligibility.IdempotentOnly:
		return gate.Eligibility{Admit: gate.AdmitTrial, Weight: eligibility.Weight}
	default:
		return gate.Eligibility{Admit: gate.AdmitAll, Weight: eligibility.Weight}
	}
}

// MayStart implements gate.Quarantine.
func (h *health) MayStart(fingerprint string) bool {
	may := false
	h.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { may = q.MayStart(fingerprint, now) })
	return may
}

// sync announces new targets to the judge and withdraws those that are gone.
func (h *health) sync(targets []gate.TargetStatus, now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := make(map[id.TargetID]bool, len(targets))
	for _, t := range targets {
		current[t.ID] = true
		if h.announced[t.ID] == t.Service {
			continue
		}
		h.announced[t.ID] = t.Service
		h.judge.With(func(j *ejection.Detector) { j.Announce(t.ID, t.Service, now) })
	}
	for t := range h.announced {
		if !current[t] {
			delete(h.announced, t)
			h.judge.With(func(j *ejection.Detector) { j.Withdraw(t, now) })
		}
	}
}
