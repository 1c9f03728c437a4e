// Package problem writes refusals as RFC 9457 problem details with a stable
// code and a statement about whether the request ran.
package problem
