// Package policy holds the operator's configuration as an immutable snapshot: routes, services, customers and their
// keys. A snapshot answers in time that does not grow with the number of routes or customers.
package policy
