package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Ledger holds the claims of one epoch of one host slot.
type Ledger struct {
	at       Location
	secret   Secret
	settings Settings

	slab    slab
	index   map[Random]uint32
	expiry  expiryLists
	stored  storedResponses
	clients customers

	// offset turns the holder's clock into ledger time, which continues across handovers.
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
	balance    runBalance
}

// New returns the empty ledger of a new epoch. The secret must be fresh random bytes.
func New(at Location, secret Secret, settings Settings) (*Ledger, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Ledger{
		at:         at,
		secret:     secret,
		settings:   settings,
		index:      map[Random]uint32{},
		expiry:     newExpiryLists(settings.keep()),
		clients:    customers{index: map[id.CustomerID]uint32{}},
		nextSerial: 1,
	}, nil
}

// Location returns the slot and epoch whose tickets the ledger decides.
func (l *Ledger) Location() Location {
	return l.at
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

// Issue returns the text of a new ticket. random must be fresh random bytes.
// It returns *IssueError or ErrNameTooLong.
func (l *Ledger) Issue(customer id.CustomerID, random Random, now clock.Time) (string, error) {
	at := l.advance(now)
	if l.phase != phaseActive || l.received {
		return "", &IssueError{Kind: HandedOver}
	}
	if l.full(customer) {
		return "", &IssueError{Kind: Full}
	}
	return newTicketText(&l.secret, Ticket{
		Host: l.at.Host, Epoch: l.at.Epoch, Customer: customer, Issued: at, Random: random,
	})
}

// Begin decides one send of a request with a ticket. fingerprint identifies the request's content.
func (l *Ledger) Begin(customer id.CustomerID, ticket, fingerprint string, now clock.Time) Decision {
	at := l.advance(now)
	t, err := Parse(ticket)
	if err != nil {
		return Decision{Kind: Invalid}
	}
	named := Location{Host: t.Host, Epoch: t.Epoch}
	if named != l.at {
		return Decision{Kind: Forward, At: named}
	}
	if !t.verify(&l.secret) || t.Customer != customer || t.Issued > at {
		return Decision{Kind: Invalid}
	}
	if at.Sub(t.Issued) >= l.settings.keep() {
		return Decision{Kind: Expired}
	}
	if slot, ok := l.index[t.Random]; ok {
		return l.answer(l.slab.at(slot), hashFingerprint(fingerprint), at)
	}
	return l.start(t, hashFingerprint(fingerprint), at)
}

// answer decides a send whose ticket has a claim.
func (l *Ledger) answer(c *claim, fingerprint [fingerprintBytes]byte, at clock.Time) Decision {
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
		return l.moved()
	}
	if at.Sub(c.claimed) >= l.settings.MaxRun {
		return Decision{Kind: Unknown}
	}
	return Decision{Kind: InProgress}
}

// start decides a send whose ticket has no claim.
func (l *Ledger) start(t Ticket, fingerprint [fingerprintBytes]byte, at clock.Time) Decision {
	if l.phase != phaseActive {
		return l.moved()
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
	l.balance.granted++
	l.checkRun(c, at)
	return Decision{Kind: Run, Claim: ClaimID{At: l.at, Key: c.random, Serial: c.serial}}
}

// checkRun asserts what must hold whenever a run is allowed.
func (l *Ledger) checkRun(c claim, at clock.Time) {
	invariant.Check(l.phase == phaseActive, "ledger-run-active",
		"run allowed by ledger %v in phase %d", l.at, l.phase)
	invariant.Check(at.Sub(c.issued) < l.settings.Window, "ledger-run-unexpired",
		"run allowed %s after issue, window %s", at.Sub(c.issued), l.settings.Window)
	invariant.Check(l.balance.live() == len(l.index), "ledger-run-once",
		"%d runs neither released nor expired, %d claims", l.balance.live(), len(l.index))
}

// Finish ends a claim with its outcome. A repeated, late or foreign Finish changes nothing.
func (l *Ledger) Finish(id ClaimID, outcome Outcome, now clock.Time) FinishResult {
	l.advance(now)
	if id.At != l.at {
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
	l.end(slot, c, outcome)
	if l.phase != phaseActive {
		return RecordedSealed
	}
	return Recorded
}

// end applies an outcome to a running claim.
func (l *Ledger) end(slot uint32, c *claim, outcome Outcome) {
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
		l.balance.released++
		l.drop(slot)
	default:
		c.state = Undetermined
	}
}

// Expire drops claims whose time has passed. Begin, Issue and Finish do it too;
// an idle ledger needs a call now and then.
func (l *Ledger) Expire(now clock.Time) {
	l.advance(now)
}
