// Package logging writes the daemon's lines: bounded in number, and never making a request wait for the output.
//
// Lines about decisions on requests are sampled by rate, failures and successes apart, so that a flood of successes
// does not push out the failures. Lines about events (start, stop, reload, lost and regained dependencies) are not
// sampled. All go through a ring buffer; when the reader of the output is slow, the oldest lines are lost and counted.
package logging
