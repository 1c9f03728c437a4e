// Package dialect holds the names of the HTTP headers that callers and targets use. The platform adapter sets the names;
// the rest of the daemon depends only on what each header holds.
package dialect
