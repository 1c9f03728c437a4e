// Package policy holds the operator's configuration as an immutable snapshot: routes, services, customers and their
// keys. The time of a lookup does not grow with the number of routes or customers.
package policy
