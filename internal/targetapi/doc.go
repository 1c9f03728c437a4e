// Package targetapi defines the messages that a target and the gate on its host exchange.
//
// A target sends an Announcement as JSON by POST to AnnouncePath on the gate's local address, every Period.
// The gate removes a target that has not announced itself for longer than Expiry. It responds with 204 when it
// accepts an announcement and with 400 and an Error body when it does not. A target that shuts down announces
// "draining" or "leaving" and finishes its running requests; in these states it gets no new ones. A process that has announced
// that it is leaving gets none any more, whatever arrives later in its name.
//
// Each response names the gate's process in the header HeaderGate, which the next announcement repeats. A target gets requests
// from its first announcement on that does so; one that does not, after three announcements over 2 s. A target should announce
// itself at once when the header changes, and send an Instance: without it, its next process cannot be told from one that left.
//
// A target that sheds a request without running it responds with 503, the header "Bl-Not-Run: true" and, if it
// can tell when to retry, Retry-After. It must not set the header when any part of the request took effect.
//
// A request carries the id of its attempt in the header X-Attempt. A target should echo it in every response: it shows
// to which request a response belongs. The connections of a target that does not echo it carry one request each.
package targetapi
