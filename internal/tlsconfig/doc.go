// Package tlsconfig provides TLS configurations from files that may be replaced while the process runs.
//
// Between daemons both ends present a certificate of the fleet's own CA that carries the common peer name, so
// a certificate that the CA issued for another purpose is not accepted. Callers see the certificate and are
// not asked for one. A reload takes effect for new connections; when the new files are unusable the previous
// ones stay in force and the error is returned.
//
// Sessions between daemons are not resumed, because a resumed session would not be checked against a replaced CA.
package tlsconfig
