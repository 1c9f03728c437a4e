// Package devcerts makes a certificate authority and one daemon identity for development.
//
// The private key of the authority is discarded, so no further certificate can be made with it; all daemons of
// a development fleet share the one identity. Existing files are replaced. After an error the directory may
// hold a part of the files.
package devcerts
