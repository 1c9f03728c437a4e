package platform

// Rows is the result of a read.
type Rows struct {
	Rows []Row
	// Through is the revision as of which the rows were read. For Changes with
	// More set it is the revision of the last row returned.
	Through Revision
	// More reports that rows were left out because of the limit.
	More bool
}
