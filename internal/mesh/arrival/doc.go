// Package arrival tells how long ago the kernel received what a connection has delivered. The process may have been paused
// since, for however short a time, or may have had no processor: what it reads now is as old as the kernel says, and not new.
//
// The kernel knows when the last bytes of a connection came, so that the age of a request is at least that. It does not count
// a suspension of the whole machine.
package arrival
