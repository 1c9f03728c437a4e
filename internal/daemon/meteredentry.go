package daemon

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// withMetrics wraps the entry's dependencies with counters.
func withMetrics(deps entry.Deps, set *metrics.Set) entry.Deps {
	deps.Quarantine = meteredQuarantine{deps.Quarantine, set}
	deps.Admitter = meteredAdmitter{deps.Admitter, set}
	deps.Ledger = meteredLedger{deps.Ledger, set}
	deps.Tickets = meteredTickets{deps.Tickets, set}
	deps.Picker = meteredPicker{deps.Picker, set}
	deps.Sender = meteredSender{deps.Sender, set}
	return deps
}

// codeLabel returns the label of a refusal's code, or of any other error.
func codeLabel(err error) string {
	var refusal *entry.Refusal
	if errors.As(err, &refusal) {
		return string(refusal.Code)
	}
	return metrics.Other
}

// meteredQuarantine counts quarantined requests.
type meteredQuarantine struct {
	entry.Quarantine
	set *metrics.Set
}

// Check implements entry.Quarantine.
func (m meteredQuarantine) Check(fingerprint string) entry.QuarantineVerdict {
	verdict := m.Quarantine.Check(fingerprint)
	if verdict.Quarantined {
		m.set.Quarantined.Inc(1)
	}
	return verdict
}

// meteredAdmitter counts rate-limit admissions by result.
type meteredAdmitter struct {
	entry.Admitter
	set *metrics.Set
}

// Admit implements entry.Admitter.
func (m meteredAdmitter) Admit(ctx context.Context, customer id.CustomerID) (entry.Admission, error) {
	admission, err := m.Admitter.Admit(ctx, customer)
	if err != nil {
		m.set.Rate.Inc(codeLabel(err))
		return admission, err
	}
	m.set.Rate.Inc(metrics.OK)
	return admission, nil
}

// meteredLedger counts the decisions on idempotency keys.
type meteredLedger struct {
	entry.Ledger
	set *metrics.Set
}

// Begin implements entry.Ledger.
func (m meteredLedger) Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (entry.Decision, error) {
	decision, err := m.Ledger.Begin(ctx, customer, key, fingerprint)
	if err != nil {
		m.set.Claims.Inc(codeLabel(err))
		return decision, err
	}
	m.set.Claims.Inc(decisionLabel(decision.Kind))
	return decision, nil
}

// decisionLabel returns the label of a decision.
func decisionLabel(kind entry.DecisionKind) string {
	switch kind {
	case entry.Run:
		return "run"
	case entry.Replay:
		return "replay"
	default:
		return metrics.Other
	}
}

// meteredTickets counts requests for tickets.
type meteredTickets struct {
	entry.Tickets
	set *metrics.Set
}

// Issue implements entry.Tickets.
func (m meteredTickets) Issue(customer id.CustomerID, count int) ([]string, error) {
	tickets, err := m.Tickets.Issue(customer, count)
	m.set.Tickets.Inc(resultLabel(err))
	return tickets, err
}

// resultLabel returns the label of success or failure.
func resultLabel(err error) string {
	if err != nil {
		return metrics.Failed
	}
	return metrics.OK
}

// meteredPicker counts retries: picks that exclude an earlier target.
type meteredPicker struct {
	entry.Picker
	set *metrics.Set
}

// Pick implements entry.Picker.
func (m meteredPicker) Pick(service id.ServiceName, exclude []id.TargetID, idempotent bool) (entry.Candidate, bool) {
	candidate, ok := m.Picker.Pick(service, exclude, idempotent)
	if ok && len(exclude) > 0 {
		m.set.Retries.Inc(1)
	}
	return candidate, ok
}

// meteredSender counts attempts by class and verdict.
type meteredSender struct {
	entry.Sender
	set *metrics.Set
}

// Do implements entry.Sender.
func (m meteredSender) Do(ctx context.Context, call hop.Call) (*hop.AttemptResponse, error) {
	answer, err := m.Sender.Do(ctx, call)
	verdict := metrics.Broken
	if err == nil {
		verdict = string(answer.Verdict)
	}
	m.set.Attempts.Of(call.Request.Class).Inc(verdict)
	return answer, err
}
