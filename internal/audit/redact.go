package audit

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// WithoutHashes returns a copy of the change whose keys have no hash.
func WithoutHashes(change *catalogue.Change) *catalogue.Change {
	c := *change
	c.Edits = make([]catalogue.Edit, 0, len(change.Edits))
	for _, e := range change.Edits {
		c.Edits = append(c.Edits, catalogue.Edit{Before: WithoutHash(e.Before), After: WithoutHash(e.After)})
	}
	return &c
}

// WithoutHash returns the entry, or a copy without its hash when it is a key.
func WithoutHash(entry catalogue.Entry) catalogue.Entry {
	key, ok := entry.(*catalogue.Key)
	if !ok {
		return entry
	}
	k := *key
	k.Hash = catalogue.KeyHash{}
	return &k
}
