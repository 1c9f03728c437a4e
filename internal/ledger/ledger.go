package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Ledger holds the claims of one epoch of one host slot.
type Ledger struct {
	location Location
	secret   Secret
	settings Settings

	slab      slab
	index     map[Random]uint32
	expiry    expiryLists
	stored    storedResponses
	customers customers

	// offset is added to the holder's clock to give ledger time, which continues across handovers.
	offset time.Duration
	// latest is the highest ledger time seen.
	latest     clock.Time
	nextSerial uint64
	phase      phase
	seal       SealID
	receiver   id.HostID
	// received is set for a ledger that was handed over to this process at receivedAt, in ledger time.
	received   bool
	receivedAt clock.Time
	runs       runCounts
}

// New returns an empty ledger for a new epoch. The secret must be newly drawn random bytes.
func New(at Location, secret Secret, settings Settings) (*Ledger, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Ledger{
		location:   at,
		secret:     secret,
		settings:   settings,
		index:      map[Random]uint32{},
		expiry:     newExpiryLists(settings.retention()),
		customers:  customers{index: map[id.CustomerID]uint32{}},
		nextSerial: 1,
	}, nil
}

// Location returns the slot and epoch to which the ledger belongs.
func (l *Ledger) Location() Location {
	return l.location
}

// Len returns the number of claims.
func (l *Ledger) Len() int {
	return len(l.index)
}

// StoredBytes returns the size of all stored responses.
func (l *Ledger) StoredBytes() int {
	return l.stored.bytes
}

// IssueError says why no ticket was issued.
type IssueError struct {
	// Kind is Full or HandedOver.
	Kind Kind
}

// Error implements error.
func (e *IssueError) Error() string {
	return "no ticket issued: ledger is " + e.Kind.String()
}

// Issue returns the text of a new ticket. random must be newly drawn random bytes.
// The error is *IssueError or ErrNameTooLong.
func (l *Ledger) Issue(customer id.CustomerID, random Random, now clock.Time) (string, error) {
	at := l.advance(now)
	if l.phase != phaseActive || l.received {
		return "", &IssueError{Kind: HandedOver}
	}
	if l.full(customer) {
		return "", &IssueError{Kind: Full}
	}
	return newTicketText(&l.secret, Ticket{
		Host: l.location.Host, Epoch: l.location.Epoch, Customer: customer, Issued: at, Random: random,
	})
}

// Begin decides one send of a request with a ticket, and records a claim if the send may run.
// fingerprint identifies the request's content.
func (l *Ledger) Begin(customer id.CustomerID, ticket, fingerprint string, now clock.Time) Decision {
	at := l.advance(now)
	t, err := Parse(ticket)
	if err != nil {
		return Decision{Kind: Invalid}
	}
	named := Location{Host: t.Host, Epoch: t.Epoch}
	if named != l.location {
		return Decision{Kind: Forward, At: named}
	}
	if !t.verify(&l.secret) || t.Customer != customer || t.Issued > at {
		return Decision{Kind: Invalid}
	}
	if at.Sub(t.Issued) >= l.settings.retention() {
		return Decision{Kind: Expired}
	}
	if slot, ok := l.index[t.Random]; ok {
		return l.decideClaimed(l.slab.at(slot), hashFingerprint(fingerprint), at)
	}
	return l.decideUnclaimed(t, hashFingerprint(fingerprint), at)
}

// decideClaimed decides a send whose ticket has a claim.
func (l *Ledger) decideClaimed(c *claim, fingerprint [fingerprintBytes]byte, at clock.Time) Decision {
	if c.fingerprint != fingerprint {
		return Decision{Kind: KeyReused}
	}
	switch c.state {
	case Finished:
		return Decision{Kind: Replay, Response: c.stored.response}
	case FinishedNotKept:
		return Decision{Kind: RanNotKept, Response: Response{Status: int(c.status)}}
	case Undetermined:
		return Decision{Kind: Unknown}
	}
	if l.phase != phaseActive {
		return l.handedOver()
	}
	if at.Sub(c.claimed) >= l.settings.MaxRun {
		return Decision{Kind: Unknown}
	}
	return Decision{Kind: InProgress}
}

// decideUnclaimed decides a send whose ticket has no claim. If it may run, it gets a claim.
func (l *Ledger) decideUnclaimed(t Ticket, fingerprint [fingerprintBytes]byte, at clock.Time) Decision {
	if l.phase != phaseActive {
		return l.handedOver()
	}
	if at.Sub(t.Issued) >= l.settings.Window {
		return Decision{Kind: Expired}
	}
	if l.full(t.Customer) {
		return Decision{Kind: Full}
	}
	c := claim{
		random: t.Random, fingerprint: fingerprint, serial: l.nextSerial,
		issued: t.Issued, claimed: at, state: Running,
	}
	l.nextSerial++
	l.insert(c, t.Customer)
	l.runs.granted++
	l.checkRun(c, at)
	return Decision{Kind: Run, Claim: ClaimID{At: l.location, Key: c.random, Serial: c.serial}}
}

// checkRun checks the invariants of an allowed run.
func (l *Ledger) checkRun(c claim, at clock.Time) {
	invariant.Check(l.phase == phaseActive, "ledger-run-active",
		"run allowed by ledger %v in phase %d", l.location, l.phase)
	invariant.Check(at.Sub(c.issued) < l.settings.Window, "ledger-run-unexpired",
		"run allowed %s after issue, window %s", at.Sub(c.issued), l.settings.Window)
	invariant.Check(l.runs.live() == len(l.index), "ledger-run-once",
		"%d runs neither released nor expired, %d claims", l.runs.live(), len(l.index))
}

// Finish ends a claim with its outcome. It changes nothing when the claim has already ended, was
// dropped or belongs to another ledger.
func (l *Ledger) Finish(id ClaimID, outcome Outcome, now clock.Time) FinishResult {
	l.advance(now)
	if id.At != l.location {
		return Ignored
	}
	if l.phase == phaseHandedOver {
		return Moved
	}
	slot, ok := l.index[Random(id.Key)]
	if !ok {
		return Ignored
	}
	c := l.slab.at(slot)
	if c.serial != id.Serial || c.state != Running {
		return Ignored
	}
	l.applyOutcome(slot, c, outcome)
	if l.phase != phaseActive {
		return RecordedSealed
	}
	return Recorded
}

// applyOutcome applies an outcome to a running claim.
func (l *Ledger) applyOutcome(slot uint32, c *claim, outcome Outcome) {
	switch outcome.Result {
	case OutcomeRan:
		l.keepResponse(slot, c, outcome.Response)
	case OutcomeRanNotKept:
		c.state = FinishedNotKept
		c.status = uint16(outcome.Response.Status)
	case OutcomeNotRun:
		if outcome.Proof == NoProof {
			c.state = Undetermined
			return
		}
		l.runs.released++
		l.drop(slot)
	default:
		c.state = Undetermined
	}
}

// Expire drops expired claims. Begin, Issue and Finish do so too; an idle ledger needs
// periodic calls.
func (l *Ledger) Expire(now clock.Time) {
	l.advance(now)
}
