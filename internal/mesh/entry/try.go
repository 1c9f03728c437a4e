package entry

import (
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// try is one attempt for the log.
type try struct {
	Host    id.HostID   `json:"host"`
	Verdict hop.Verdict `json:"verdict"`
	Reason  link.Reason `json:"reason"`
	TookMS  int64       `json:"took_ms"`
}
