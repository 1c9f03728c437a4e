package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// retryDelay is the Retry-After of refusals that end when records have moved or space is free.
const retryDelay = time.Second

// Location names a ledger by the slot and epoch that issued its tickets.
type Location struct {
	Host  id.HostID
	Epoch id.Epoch
}

// Decision answers one send.
type Decision struct {
	Kind Kind
	// Claim is set for Run and must be passed to Finish.
	Claim ClaimID
	// Response is complete for Replay; RanNotKept has only the status.
	Response Response
	// At is set for Forward and HandedOver.
	At Location
}

// Refusal returns the problem details for a decision that neither runs the
// request nor returns its recorded response. ok is false for Run, Replay and
// Forward.
func (d Decision) Refusal() (details problem.Details, ok bool) {
	switch d.Kind {
	case RanNotKept:
		return notThisSend(problem.AnswerNotKept, "an earlier send ran"), true
	case InProgress:
		return retry(notThisSend(problem.InProgress, "an earlier send is running")), true
	case Unknown:
		return notThisSend(problem.OutcomeUnknown, "an earlier send may have run"), true
	case Expired:
		return notThisSend(problem.TicketExpired, "the resend window has passed"), true
	case Invalid:
		return problem.New(problem.TicketInvalid, problem.NotRun, ""), true
	case KeyReused:
		return notThisSend(problem.KeyReused, "an earlier send carried a different request"), true
	case Full:
		return retry(problem.New(problem.ClaimStoreUnavailable, problem.NotRun, "the claim table is full")), true
	case HandedOver:
		return retry(notThisSend(problem.Draining, "the records of the ticket are moving")), true
	case IssuerLost:
		return notThisSend(problem.IssuerLost, "no daemon has the records of the ticket"), true
	case StoreUnavailable:
		return retry(notThisSend(problem.ClaimStoreUnavailable, "the platform does not answer")), true
	case Unreachable:
		return retry(notThisSend(problem.OutcomeUnknown, "the holder of the ticket's records does not answer")), true
	default:
		return problem.Details{}, false
	}
}

// notThisSend describes a key whose earlier sends may have run while this one did not.
func notThisSend(code problem.Code, detail string) problem.Details {
	p := problem.New(code, problem.Unknown, detail)
	p.Send = problem.NotRun
	return p
}

// retry adds the delay after which a resend may be answered differently.
func retry(p problem.Details) problem.Details {
	p.RetryAfter = retryDelay
	return p
}
