package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// log writes the log line of an attempt and records its metrics.
func (e *execution) log(r *link.Result) {
	ended := time.Now()
	waited, worked := ended.Sub(e.arrived), time.Duration(0)
	if !e.started.IsZero() {
		waited, worked = e.started.Sub(e.arrived), ended.Sub(e.started)
	}
	e.gate.config.Metrics.Attempt(string(r.Verdict), string(r.Reason), waited, worked)
	if m := e.gate.config.AdmissionMetrics; m != nil && r.Verdict == hop.NotRun {
		m.Refused(e.demand.Class(), string(r.Reason))
	}
	event := e.gate.config.AttemptLog.Info()
	if r.Verdict != hop.Ran {
		event = e.gate.config.AttemptLog.Warn()
	}
	if event == nil {
		return
	}
	event.Str("request", e.attempt.RequestID).Str("route", string(e.attempt.Route)).Str("customer", string(e.attempt.Customer)).
		Dur("customer_work", e.attempt.CustomerWork).
		Int("rank", e.attempt.Rank).Bool("nested", e.attempt.Nested).Bool("idempotent", e.attempt.Idempotent).Bool("repeat", e.attempt.Repeat).Bool("forced", e.attempt.Forced).
		Dur("remaining", e.attempt.Remaining).Dur("patience", e.attempt.MaxQueueWait).
		Uint64("entry_policy", uint64(e.attempt.Policy)).Uint64("policy", uint64(r.Policy)).
		Int("in_use", r.Load.InUse).Int("waiting", r.Load.Waiting).Int("slots", r.Load.Slots).Int("reserved", e.reserved).
		Str("verdict", string(r.Verdict)).Str("reason", string(r.Reason)).Int("status", r.Status).
		Dur("waited", waited).Dur("worked", worked)
	if e.target != nil {
		event.Str("target", e.target.incarnation.ID)
	}
	event.AnErr("cause", r.Err).Msg("gate: attempt ended")
}
