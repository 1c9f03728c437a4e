// Package lag measures how late the process notices what happens, because it is short of processor time.
//
// A periodic task of the process waits for its turn like any other. By how much its latest turns came late bounds how long ago
// something happened that is only noticed now, such as a stop signal: nothing tells when a signal was sent. The package does no
// I/O and starts no goroutines; its user calls Tick periodically.
package lag
