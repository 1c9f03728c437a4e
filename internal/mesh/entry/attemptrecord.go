package entry

import (
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
}
