package admin

import "slices"

// Operator is a user of the API.
type Operator struct {
	// Name identifies the operator in change ids and the audit trail; it
	// consists of the characters of catalogue identifiers.
	Name string
	// Groups are the owner groups whose entries the operator may change.
	Groups []string
}

// inGroup reports whether the operator is in the group.
func (o Operator) inGroup(group string) bool {
	return slices.Contains(o.Groups, group)
}
