// Package codec converts catalogue entries, changes and snapshots to and from
// their protobuf form, which is used in the platform's table rows, the object
// store and the messages between daemons.
//
// Decoding checks every bound, since the bytes come from outside the process,
// and fails with *DecodeError. Owners, classes, failure domains, services and
// customers are interned, because thousands of entries share few of them.
package codec
