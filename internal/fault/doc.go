// Package fault defines the error type that the shells return: it names the
// step that failed and the peer at which it failed, and wraps the cause.
package fault
