package platform

// Condition requires a row to be at a given revision.
type Condition struct {
	Key string
	// Revision is the row's required revision; zero requires that the row does not exist.
	Revision Revision
}

// Put writes one row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction: either every condition holds and all writes are applied, or none are.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}
