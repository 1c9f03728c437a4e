package cataloguestore

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

const (
	headKey        = "catalogue/head"
	snapshotKey    = "catalogue/snapshot"
	entryPrefix    = "catalogue/entry/"
	changePrefix   = "catalogue/change/"
	changeIDPrefix = "catalogue/changeid/"
	// snapshotObject is overwritten by every snapshot. Readers take the
	// revision from the object itself and continue with the change rows.
	snapshotObject = "catalogue/snapshot"
)

// entryKey returns the row key of an entry.
func entryKey(ref catalogue.Ref) string {
	return entryPrefix + string(ref.Kind) + "/" + ref.ID
}

// changeKey returns the row key of a change. The revision is padded so that
// keys sort by revision.
func changeKey(revision catalogue.Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, uint64(revision))
}

// changeIDKey returns the row key of a change id. Operator names contain no slash.
func changeIDKey(operator string, id catalogue.ChangeID) string {
	return changeIDPrefix + operator + "/" + string(id)
}
