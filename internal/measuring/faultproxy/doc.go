// Package faultproxy is a byte-level TCP proxy for tests. It forwards
// connections to one server and can hold either direction, delay it, refuse
// new connections, silence the open ones for good and break them, all while it
// runs.
//
// A held direction loses nothing: as after a network partition that heals,
// the bytes arrive when the hold ends, in order and late. A silenced connection
// never delivers another byte, and neither of its ends is told.
package faultproxy
