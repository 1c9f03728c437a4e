// Package catalogue holds the dynamic configuration that operators edit while
// traffic runs: hosts, services, routes, customers and keys.
//
// Every entry names an owner, a class and its limits, and carries the revision
// of its last change. A Snapshot is immutable; readers hold one for the length
// of a request. The package does no I/O.
package catalogue
