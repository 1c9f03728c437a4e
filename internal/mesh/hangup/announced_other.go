//go:build !linux

package hangup

// endAnnounced returns false: there is no portable way to know of an end behind unread bytes.
func endAnnounced(int) bool { return false }
