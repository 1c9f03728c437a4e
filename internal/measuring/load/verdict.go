package load

// Verdict compares a history with the runs that the targets counted.
type Verdict struct {
	// Duplicates counts non-idempotent requests that ran more than once.
	Duplicates int `json:"duplicates"`
	// Losses counts non-idempotent requests that were answered as served and never ran.
	Losses int `json:"losses"`
	// UntrueRefusals counts non-idempotent requests refused as not run that did run.
	UntrueRefusals int `json:"untrue_refusals"`
	// Mismatched counts answers that belong to another request or have another size.
	Mismatched int `json:"mismatched"`
}

// OK reports whether nothing was violated.
func (v Verdict) OK() bool {
	return v == Verdict{}
}

// Check compares the records with the targets' counts by request id.
func Check(history History, runs map[string]int) Verdict {
	var v Verdict
	for _, record := range history.Records {
		if record.Mismatched {
			v.Mismatched++
		}
		if record.Idempotent {
			continue
		}
		ran := runs[record.RequestID]
		switch {
		case ran > 1:
			v.Duplicates++
		case ran == 0 && record.Outcome == Served:
			v.Losses++
		case ran > 0 && record.Outcome == RefusedNotRun:
			v.UntrueRefusals++
		}
	}
	return v
}
