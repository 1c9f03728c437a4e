// Package tlsconfig provides TLS configurations from files that can be replaced while the process runs.
//
// Connections between daemons use mutual TLS: both ends present a certificate that the fleet's CA issued for the
// common peer name, so a certificate that the CA issued for another purpose is rejected. Callers are served the
// same certificate and do not need one of their own. A reload takes effect for new connections; if the new files
// are unusable, the previous certificates stay in use and the error is returned.
//
// Session resumption between daemons is disabled, because a resumed session is not verified against a replaced CA.
package tlsconfig
