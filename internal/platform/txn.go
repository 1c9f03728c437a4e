package platform

// Condition requires a row to be unchanged.
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

// Txn is a transaction: the writes apply together if every condition holds.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}
