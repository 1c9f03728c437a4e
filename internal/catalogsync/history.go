package catalogsync

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

const (
	// maxHistoryChanges bounds the changes kept for peers: about a third of a day's changes.
	maxHistoryChanges = 512
	// maxHistoryBytes bounds the encoded size of these changes.
	maxHistoryBytes = 2 << 20
)

// history keeps the latest changes, which are consecutive, in their encoded form.
type history struct {
	// last is the revision of the last change kept.
	last    catalogue.Revision
	changes [][]byte
	bytes   int
}

// add appends the change that created the revision. If it does not follow the
// last one, the changes kept so far are dropped.
func (h *history) add(revision catalogue.Revision, data []byte) {
	if revision != h.last+1 {
		h.reset()
	}
	h.last = revision
	h.changes = append(h.changes, data)
	h.bytes += len(data)
	for len(h.changes) > maxHistoryChanges || h.bytes > maxHistoryBytes {
		h.bytes -= len(h.changes[0])
		h.changes[0] = nil
		h.changes = h.changes[1:]
	}
}

// reset drops all changes.
func (h *history) reset() {
	*h = history{}
}

// since returns the changes after the revision up to current; ok is false when
// some of them are not kept.
func (h *history) since(revision, current catalogue.Revision) ([][]byte, bool) {
	if revision >= current {
		return nil, true
	}
	missing := int(min(uint64(current-revision), maxHistoryChanges+1))
	if h.last != current || missing > len(h.changes) {
		return nil, false
	}
	return append([][]byte(nil), h.changes[len(h.changes)-missing:]...), true
}
