// Package policycheck finds mistakes in an operator's configuration before it is sent: what daemons would not put in
// force, entries that can never match, limits that contradict each other, and what differs from the configuration in
// force. It does no I/O.
package policycheck
