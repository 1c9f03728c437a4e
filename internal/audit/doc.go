// Package audit reads the audit trail: who changed what, when, why, and under
// which change id, with the entries before and after.
//
// A record is written in the same commit as its change (see package
// cataloguestore), so there is exactly one per accepted change. Key hashes are
// left out of what it returns. Reads go to the platform; during an outage they
// fail with the platform's error.
package audit
