// Package fault defines the error type of code that does I/O: it names the
// step that failed and the peer that was involved, and wraps the cause.
package fault
