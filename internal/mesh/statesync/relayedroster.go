package statesync

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// relayedRoster is the body of a response at RosterPath.
type relayedRoster struct {
	// Through is the revision up to which the roster is complete.
	Through platform.Revision `json:"through"`
	// Rows are those that changed since the requester's revision, Removed the hosts whose rows were deleted since.
	Rows    []relayedRow `json:"rows,omitempty"`
	Removed []id.HostID  `json:"removed,omitempty"`
	// Full is set if the relay does not know all deletions since. Present then lists all hosts that have a row: names are
	// far shorter than records, most of which the requester knows.
	Full    bool        `json:"full,omitempty"`
	Present []id.HostID `json:"present,omitempty"`
	// AgeMS is how long ago the roster was confirmed by the store, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Policy is the version of the relay's policy, zero if it has none or does not say. PolicyAgeMS is how long ago the
	// store confirmed that there is no newer one, in milliseconds.
	Policy      policy.Version `json:"policy,omitempty"`
	PolicyAgeMS int64          `json:"policy_age_ms,omitempty"`
	// PolicyThrough is the revision up to which the relay knows the policy, AnswerMS how long the store took for its last answer
	// about it, in milliseconds.
	PolicyThrough platform.Revision `json:"policy_through,omitempty"`
	AnswerMS      int64             `json:"answer_ms,omitempty"`
	// Confirmations is the number of the relay's confirmations of its policy.
	Confirmations uint64 `json:"confirmations,omitempty"`
	// Packed is the relay's policy, compressed, if the requester's is older and the relay has not sent it to many hosts already.
	Packed []byte `json:"packed,omitempty"`
	// HeldMS is how long the relay has held the request, in milliseconds.
	HeldMS int64 `json:"held_ms,omitempty"`
	// Evacuation is what the relay knows of evacuated failure domains; nil if it does not know them or is of an earlier version.
	Evacuation *evacuationState `json:"evacuation,omitempty"`
}

// relayedRow is a record with the revision of its row.
type relayedRow struct {
	Record   roster.Record     `json:"record"`
	Revision platform.Revision `json:"revision"`
}
