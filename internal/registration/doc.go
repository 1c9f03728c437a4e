// Package registration registers the process of a host slot with the platform
// and reads the registrations of all slots.
//
// The row owner/<host> holds the slot's current epoch, incarnation and
// addresses. A registration raises the epoch by one in a conditional commit,
// so two processes never get the same epoch. A commit whose outcome is unknown
// is resolved by reading the row back: only this process writes its own
// incarnation. While the platform is unavailable nobody can register; the
// daemon then serves without duties.
package registration
