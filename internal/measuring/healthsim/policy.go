package healthsim

import (
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Policy names what decides about ejection.
type Policy string

// The policies.
const (
	// Judged is the project's policy: a judge per gate, and permits.
	Judged Policy = "judged"
	// NoEjection leaves every target in service.
	NoEjection Policy = "none"
	// Consecutive ejects after errors in a row, without permits.
	Consecutive Policy = "consecutive"
)

// Policies lists all policies in the order of the table.
func Policies() []Policy {
	return []Policy{Judged, NoEjection, Consecutive}
}

// newGuard returns a guard for one target.
func (p Policy) newGuard(target id.TargetID, service id.ServiceName) guard {
	switch p {
	case NoEjection:
		return unguarded{}
	case Consecutive:
		return &consecutive{}
	case Judged:
	}
	holder := ejection.Holder{Host: target.Host, Incarnation: 1}
	judge := ejection.NewDetector(holder, ejection.DefaultPolicy())
	judge.Announce(target, service, 0)
	return &judged{judge: judge, target: target}
}
