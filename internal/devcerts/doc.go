// Package devcerts creates a certificate authority and one daemon certificate for development.
//
// The private key of the authority is discarded, so it cannot issue further certificates; all daemons of a
// development fleet share one certificate. Existing files are overwritten. After an error the directory may
// contain only some of the new files.
package devcerts
