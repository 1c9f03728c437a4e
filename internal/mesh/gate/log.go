package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// log writes the line of an attempt and counts it.
func (w *work) log(r *link.Result) {
	ended := time.Now()
	waited, worked := ended.Sub(w.arrived), time.Duration(0)
	if !w.started.IsZero() {
		waited, worked = w.started.Sub(w.arrived), ended.Sub(w.started)
	}
	w.gate.config.Metrics.Attempt(string(r.Verdict), string(r.Reason), waited, worked)
	event := w.gate.config.Log.Info()
	if r.Verdict != hop.Ran {
		event = w.gate.config.Log.Warn()
	}
	if event == nil {
		return
	}
	event.Str("request", w.attempt.RequestID).Str("route", string(w.attempt.Route)).Str("customer", string(w.attempt.Customer)).
		Int("rank", w.attempt.Rank).Bool("idempotent", w.attempt.Idempotent).Bool("repeat", w.attempt.Repeat).Bool("forced", w.attempt.Forced).
		Dur("remaining", w.attempt.Remaining).Dur("patience", w.attempt.Patience).
		Uint64("entry_policy", uint64(w.attempt.Policy)).Uint64("policy", uint64(r.Policy)).
		Int("in_use", r.Load.InUse).Int("waiting", r.Load.Waiting).Int("slots", r.Load.Slots).
		Str("verdict", string(r.Verdict)).Str("reason", string(r.Reason)).Int("status", r.Status).
		Dur("waited", waited).Dur("worked", worked)
	if w.target != nil {
		event.Str("target", w.target.incarnation.ID)
	}
	event.AnErr("cause", r.Err).Msg("gate: attempt ended")
}
