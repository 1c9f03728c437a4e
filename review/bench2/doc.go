// Command bench2 plays the cases of the second independent review: it starts daemons as separate processes on loopback
// addresses, beside a store, upstreams and callers that follow the pages of the platform, and checks what these have seen.
package main
