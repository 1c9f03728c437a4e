package catalogue

// Revision numbers the accepted changes of the whole catalogue in commit order.
// Zero is the empty catalogue.
type Revision uint64
