package platform

// Revision is the number of a commit of the table; zero precedes the first commit. A table that is restored from an earlier copy
// gives out its numbers again and counts such restorations as eras. Its revisions begin with the era, so that each one is greater
// than all those of earlier eras.
type Revision uint64

const (
	// numberBits is the number of bits of a revision that hold the number of the commit.
	numberBits = 40
	// MaxNumber is the greatest number of a commit, MaxEra the greatest era.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(64-numberBits) - 1
)

// RevisionOf returns the revision of a commit of an era.
func RevisionOf(era, number uint64) Revision {
	return Revision(era<<numberBits | number)
}

// Era returns the era of the revision.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the commit in its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }
