package platform

// Revision numbers the commits of the table; zero is the empty table.
type Revision uint64
