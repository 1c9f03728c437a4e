//go:build !linux

package callerconn

// hasBacklog returns false: there is no portable way to know of connections that wait.
func hasBacklog(int) bool { return false }
