// Package catalogue holds the dynamic configuration that operators edit while
// traffic runs: hosts, services, routes, customers and keys.
//
// Every entry has an owner, a class and the revision of its last change. A
// Snapshot is immutable; a reader uses one snapshot for a whole request. The
// package does no I/O.
package catalogue
