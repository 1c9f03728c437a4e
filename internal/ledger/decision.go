package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// retryDelay is the Retry-After of refusals that are temporary: an earlier send finishes, the
// handover of the records ends, space becomes free or a daemon or the platform can be reached again.
const retryDelay = time.Second

// Location identifies a ledger by the slot and epoch that issued its tickets.
type Location struct {
	Host  id.HostID
	Epoch id.Epoch
}

// Decision is the decision about one send.
type Decision struct {
	Kind Kind
	// Claim is set for Run and must be passed to Finish.
	Claim ClaimID
	// Response is complete for Replay; RanNotKept has only the status.
	Response Response
	// At is set for Forward and HandedOver; its Host is empty while the receiver is not known.
	At Location
}

// Refusal returns the problem details for a decision that neither runs the
// request nor returns its recorded response. ok is false for Run, Replay and
// Forward.
func (d Decision) Refusal() (details problem.Details, ok bool) {
	switch d.Kind {
	case RanNotKept:
		return sendNotRun(problem.AnswerNotKept, "an earlier send ran"), true
	case InProgress:
		return withRetryAfter(sendNotRun(problem.InProgress, "an earlier send is running")), true
	case Unknown:
		return sendNotRun(problem.OutcomeUnknown, "an earlier send may have run"), true
	case Expired:
		return sendNotRun(problem.TicketExpired, "the resend window has passed"), true
	case Invalid:
		return problem.New(problem.TicketInvalid, problem.NotRun, ""), true
	case KeyReused:
		return sendNotRun(problem.KeyReused, "an earlier send carried a different request"), true
	case Full:
		return withRetryAfter(problem.New(problem.ClaimStoreUnavailable, problem.NotRun, "the claim table is full")), true
	case HandedOver:
		return withRetryAfter(sendNotRun(problem.Draining, "the records of the ticket are moving")), true
	case IssuerLost:
		return sendNotRun(problem.IssuerLost, "no daemon has the records of the ticket"), true
	case StoreUnavailable:
		return withRetryAfter(sendNotRun(problem.ClaimStoreUnavailable, "the platform does not answer")), true
	case Unreachable:
		return withRetryAfter(sendNotRun(problem.OutcomeUnknown, "the holder of the ticket's records does not answer")), true
	default:
		return problem.Details{}, false
	}
}

// sendNotRun returns problem details that say that this send did not run, while earlier sends with
// the same key may have.
func sendNotRun(code problem.Code, detail string) problem.Details {
	p := problem.New(code, problem.Unknown, detail)
	p.Send = problem.NotRun
	return p
}

// withRetryAfter adds the delay after which a resend may get another decision.
func withRetryAfter(p problem.Details) problem.Details {
	p.RetryAfter = retryDelay
	return p
}
