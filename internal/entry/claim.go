package entry

import (
	"context"
	"net/http"
)

// keptAnswer is the largest answer body that is recorded, in bytes.
const keptAnswer = 64 << 10

// keptHeaders are the answer's headers that are recorded.
var keptHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified"}

// record receives what happens to a run.
type record interface {
	// answering notes the header of the answer that is being delivered.
	answering(status int, header http.Header)
	// wrote notes a piece of the answer's body.
	wrote(p []byte)
	// finish ends the run.
	finish(ctx context.Context, kind OutcomeKind)
}

// noClaim records nothing.
type noClaim struct{}

func (noClaim) answering(int, http.Header)          {}
func (noClaim) wrote([]byte)                        {}
func (noClaim) finish(context.Context, OutcomeKind) {}

// claim records a run in the ledger.
type claim struct {
	ledger   Ledger
	id       ClaimID
	recorded Recorded
	overflow bool
	finished bool
}

// newClaim returns the record of a permitted run.
func newClaim(ledger Ledger, id ClaimID) *claim {
	return &claim{ledger: ledger, id: id}
}

// answering implements record.
func (c *claim) answering(status int, header http.Header) {
	c.recorded.Status = status
	c.recorded.Header = http.Header{}
	for _, name := range keptHeaders {
		if values, ok := header[name]; ok {
			c.recorded.Header[name] = values
		}
	}
}

// wrote implements record.
func (c *claim) wrote(p []byte) {
	if c.overflow || len(c.recorded.Body)+len(p) > keptAnswer {
		c.overflow = true
		c.recorded.Body = nil
		return
	}
	c.recorded.Body = append(c.recorded.Body, p...)
}

// finish implements record.
func (c *claim) finish(ctx context.Context, kind OutcomeKind) {
	if c.finished {
		return
	}
	c.finished = true
	outcome := Outcome{Kind: kind}
	if kind == RunAnswered && c.recorded.Status != 0 && !c.overflow {
		outcome.Kept = true
		outcome.Recorded = c.recorded
	}
	c.ledger.Finish(ctx, c.id, outcome)
}

// abort ends a run that left no record, for example by a panic.
func (c *claim) abort(ctx context.Context) {
	c.finish(ctx, RunUnknown)
}
