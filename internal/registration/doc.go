// Package registration registers the process of a host slot with the platform
// and reads the registrations of all slots.
//
// The row owner/<host> holds the slot's current epoch, incarnation and
// address. A registration raises the epoch by one in a conditional commit, so
// two processes never get the same epoch. After a commit with an unknown
// outcome, the repeated call reads the row and finds out whether the commit
// took effect: only this process writes its own incarnation. While the platform
// is unavailable no process can register; the daemon then serves without duties.
package registration
