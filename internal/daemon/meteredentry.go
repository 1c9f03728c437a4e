package daemon

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// metered returns the entry's parts with counters around them.
func metered(deps entry.Deps, set *metrics.Set) entry.Deps {
	deps.Quarantine = meteredQuarantine{deps.Quarantine, set}
	deps.Admitter = meteredAdmitter{deps.Admitter, set}
	deps.Ledger = meteredLedger{deps.Ledger, set}
	deps.Tickets = meteredTickets{deps.Tickets, set}
	deps.Picker = meteredPicker{deps.Picker, set}
	deps.Sender = meteredSender{deps.Sender, set}
	return deps
}

// codeOf returns the code of a refusal, or the general failure.
func codeOf(err error) string {
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

// meteredAdmitter counts requests for tokens.
type meteredAdmitter struct {
	entry.Admitter
	set *metrics.Set
}

// Admit implements entry.Admitter.
func (m meteredAdmitter) Admit(ctx context.Context, customer id.CustomerID) (entry.Admission, error) {
	admission, err := m.Admitter.Admit(ctx, customer)
	if err != nil {
		m.set.Rate.Inc(codeOf(err))
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
		m.set.Claims.Inc(codeOf(err))
		return decision, err
	}
	m.set.Claims.Inc(decisionName(decision.Kind))
	return decision, nil
}

// decisionName returns the label of a decision that is no error.
func decisionName(kind entry.DecisionKind) string {
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
	m.set.Tickets.Inc(resultName(err))
	return tickets, err
}

// resultName returns the label of a result.
func resultName(err error) string {
	if err != nil {
		return metrics.Failed
	}
	return metrics.OK
}

// meteredPicker counts retries: the choices that exclude an earlier one.
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

// meteredSender counts attempts.
type meteredSender struct {
	entry.Sender
	set *metrics.Set
}

// Do implements entry.Sender.
func (m meteredSender) Do(ctx context.Context, call hop.Call) (*hop.Answer, error) {
	answer, err := m.Sender.Do(ctx, call)
	verdict := metrics.Broken
	if err == nil {
		verdict = string(answer.Verdict)
	}
	m.set.Attempts.Of(call.Request.Class).Inc(verdict)
	return answer, err
}
