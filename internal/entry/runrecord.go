package entry

import (
	"context"
	"net/http"
)

// maxRecordedBodyBytes is the largest answer body that is recorded.
const maxRecordedBodyBytes = 64 << 10

// recordedHeaders are the response headers that are recorded.
var recordedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified"}

// runRecord collects the answer and the outcome of a run.
type runRecord interface {
	// setHeader sets the status and header of the answer that is being delivered.
	setHeader(status int, header http.Header)
	// appendBody adds a part of the answer's body.
	appendBody(p []byte)
	// finish records the outcome of the run.
	finish(ctx context.Context, kind OutcomeKind)
}

// noRecord is the record of a run without a claim; it records nothing.
type noRecord struct{}

func (noRecord) setHeader(int, http.Header)          {}
func (noRecord) appendBody([]byte)                   {}
func (noRecord) finish(context.Context, OutcomeKind) {}

// claimRecord records a run in the ledger.
type claimRecord struct {
	ledger   Ledger
	id       ClaimID
	recorded RecordedResponse
	overflow bool
	finished bool
}

// newClaimRecord returns the record of a permitted run.
func newClaimRecord(ledger Ledger, id ClaimID) *claimRecord {
	return &claimRecord{ledger: ledger, id: id}
}

// setHeader implements runRecord.
func (c *claimRecord) setHeader(status int, header http.Header) {
	c.recorded.Status = status
	c.recorded.Header = http.Header{}
	for _, name := range recordedHeaders {
		if values, ok := header[name]; ok {
			c.recorded.Header[name] = values
		}
	}
}

// appendBody implements runRecord. A body above maxRecordedBodyBytes is not kept at all.
func (c *claimRecord) appendBody(p []byte) {
	if c.overflow || len(c.recorded.Body)+len(p) > maxRecordedBodyBytes {
		c.overflow = true
		c.recorded.Body = nil
		return
	}
	c.recorded.Body = append(c.recorded.Body, p...)
}

// finish implements runRecord. Only the first call has an effect.
func (c *claimRecord) finish(ctx context.Context, kind OutcomeKind) {
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

// abort records a run that was not finished, for example because of a panic, as unknown.
func (c *claimRecord) abort(ctx context.Context) {
	c.finish(ctx, RunUnknown)
}
