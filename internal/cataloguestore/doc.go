// Package cataloguestore stores the catalogue in the platform's table and object store.
//
// Rows:
//
//	catalogue/head                        the catalogue's revision
//	catalogue/entry/<kind>/<id>           the current state of an entry
//	catalogue/change/<revision>           an accepted change: its edits and its audit record
//	catalogue/changeid/<operator>/<id>    the revision under which a change id was accepted
//	catalogue/snapshot                    the revision of the stored snapshot object
//
// One transaction writes the head, the entries, the change row and the change
// id row. It is conditional on the head and the entries being unchanged, so
// that revisions have no gaps, and on the absence of the change id row, so that
// a change is accepted at most once. Change rows are never modified or removed:
// reading them in key order yields every change in revision order.
//
// Errors are those of package platform, and *codec.DecodeError for a row that
// cannot be decoded.
package cataloguestore
