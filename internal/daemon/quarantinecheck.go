package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// quarantineCheck adapts the quarantine to the entry.
type quarantineCheck struct {
	quarantine *quarantine.Shared
}

// Check implements entry.Quarantine.
func (c *quarantineCheck) Check(fingerprint string) entry.QuarantineVerdict {
	verdict := c.quarantine.Check(fingerprint)
	return entry.QuarantineVerdict{
		Quarantined: verdict == quarantine.Quarantined,
		Isolated:    verdict == quarantine.Suspect,
	}
}
