package platform

// Revision is the number of a commit of the table; zero precedes the first commit.
type Revision uint64
