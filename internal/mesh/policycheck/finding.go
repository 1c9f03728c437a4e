package policycheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Kind is the kind of a finding. Findings are sorted in the order of the kinds.
type Kind int

// The kinds. Only an Error means that daemons would not put the configuration in force as it is written.
const (
	Error Kind = iota
	Unmatched
	Conflict
	Change
)

// String returns the kind as it is printed.
func (k Kind) String() string {
	switch k {
	case Error:
		return "error"
	case Unmatched:
		return "never matches"
	case Conflict:
		return "conflict"
	case Change:
		return "change"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Finding is one thing that an operator should know about a configuration.
type Finding struct {
	Kind Kind
	// Item names the part of the configuration, for example "route r-1".
	Item   string
	Reason string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%v: %s: %s", f.Kind, f.Item, f.Reason)
}

// Sort sorts findings by kind, item and reason, and removes repeated ones.
func Sort(findings []Finding) []Finding {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Item, b.Item), cmp.Compare(a.Reason, b.Reason))
	})
	return slices.Compact(findings)
}

// Count returns the number of findings of some kinds.
func Count(findings []Finding, kinds ...Kind) int {
	n := 0
	for _, f := range findings {
		if slices.Contains(kinds, f.Kind) {
			n++
		}
	}
	return n
}

// list collects findings.
type list []Finding

// add records a finding.
func (l *list) add(kind Kind, item, format string, args ...any) {
	*l = append(*l, Finding{Kind: kind, Item: item, Reason: fmt.Sprintf(format, args...)})
}
