// Package logging provides the daemon's loggers, which limit the rate of lines and never block a request on the output.
//
// Lines about decisions on requests are rate-limited, failures and successes separately, so that a flood of successes
// does not suppress the failures. Lines about events (start, stop, reload, lost and regained dependencies) are not
// limited. All lines go through a ring buffer; when the reader of the output is slow, the oldest lines are dropped and
// counted.
package logging
