// Package inflight counts running requests and ends admission for a graceful stop. A request that was
// admitted is always waited for; one that comes after the end of admission is not admitted.
package inflight
