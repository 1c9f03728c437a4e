// Package targetapi holds the messages between a target and the gate on its own host.
//
// A target sends an Announcement as JSON by POST to AnnouncePath on the gate's local address, every Period.
// A target that is silent for Expiry is forgotten. A gate answers 204 when it accepted the announcement and
// 400 with an Error body when it did not. A target that shuts down announces "draining" or "leaving" and
// keeps serving what it has; it gets no new work from that moment.
//
// A target that sheds a request without running it answers 503 with the header "Bl-Not-Run: true" and, if
// known, Retry-After. It must not set the header when any part of the request took effect.
package targetapi
