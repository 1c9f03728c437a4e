// Package problem writes refusals as RFC 9457 problem details, extended by a
// stable code and by whether the request may have run.
package problem
