// Package catalogsync keeps a daemon's copy of the catalogue current.
//
// A Syncer polls the platform for changes and applies them in revision order.
// Daemons also exchange changes with each other, so that a daemon that cannot
// reach the platform still receives them. All updates go through one Replica,
// whose revision never decreases: a change applies only if it is the next one,
// and a whole snapshot only if it is newer and keeps every revoked key revoked.
//
// When the platform is unavailable the copy stays as it is and its age grows;
// the age counts from before the last successful read began, so it never
// understates how old the copy may be. Polls back off with jitter, up to
// Config.MaxBackoff. Data from peers never makes the copy confirmed; package
// freshness decides how evidence from peers counts.
package catalogsync
