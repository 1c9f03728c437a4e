// Package audit reads the audit trail: who changed what, when, why, and under
// which change id, with the catalogue entries before and after.
//
// A record is written in the same commit as its change (see package
// cataloguestore), so there is exactly one per accepted change. The changes
// returned have no key hashes. Every read goes to the platform; during an
// outage of the platform it fails with the platform's error.
package audit
