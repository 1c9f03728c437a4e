package entry

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// attemptRecord describes a finished attempt in the log.
type attemptRecord struct {
	Host    id.HostID   `json:"host"`
	Verdict hop.Verdict `json:"verdict"`
	Reason  link.Reason `json:"reason"`
	TookMS  int64       `json:"took_ms"`
	// Cause tells why an attempt that may have run has no result, if the cause arose on this host.
	Cause string `json:"cause,omitempty"`
}

// newAttemptRecord describes the end of an attempt.
func newAttemptRecord(a *attempt, result *link.Result) attemptRecord {
	record := attemptRecord{Host: a.host, Verdict: result.Verdict, Reason: result.Reason, TookMS: time.Since(a.sentAt).Milliseconds()}
	if result.Verdict == hop.Unknown && result.Err != nil {
		record.Cause = result.Err.Error()
	}
	return record
}
