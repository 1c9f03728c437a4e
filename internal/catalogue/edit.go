package catalogue

// Edit creates, replaces or deletes one entry.
type Edit struct {
	// Before is the entry that is replaced; nil when the edit creates the entry.
	Before Entry
	// After is the new entry; nil when the edit deletes the entry.
	After Entry
}

// Ref names the edited entry. At least one of Before and After must be set.
func (e Edit) Ref() Ref {
	if e.After != nil {
		return e.After.Ref()
	}
	return e.Before.Ref()
}
