package audit

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// WithoutHashes returns a copy of the change with the key hashes cleared.
func WithoutHashes(change *catalogue.Change) *catalogue.Change {
	c := *change
	c.Edits = make([]catalogue.Edit, 0, len(change.Edits))
	for _, e := range change.Edits {
		c.Edits = append(c.Edits, catalogue.Edit{Before: WithoutHash(e.Before), After: WithoutHash(e.After)})
	}
	return &c
}

// WithoutHash returns the entry itself, or, if it is a key, a copy with its hash cleared.
func WithoutHash(entry catalogue.Entry) catalogue.Entry {
	key, ok := entry.(*catalogue.Key)
	if !ok {
		return entry
	}
	k := *key
	k.Hash = catalogue.KeyHash{}
	return &k
}
