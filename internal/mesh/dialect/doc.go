// Package dialect holds the names of the headers that callers and targets use. The adapter of the platform fills them
// in; the parts of the daemon know only what each header holds.
package dialect
