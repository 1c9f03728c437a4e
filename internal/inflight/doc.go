// Package inflight counts running requests and ends admission for a graceful shutdown. The shutdown waits for every
// request that was admitted; requests that arrive after the end of admission are not admitted.
package inflight
