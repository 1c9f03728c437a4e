// Package apikey issues callers' keys and checks presented ones.
//
// A key is the prefix "blk_" and 256 random bits. Only its SHA-256 hash is
// stored; a fast hash is enough because the key cannot be guessed. Keys are
// looked up by hash and the hash found is compared in constant time, so that
// timing reveals nothing from which a key could be derived. No error or string
// form contains a key. The package does no I/O.
package apikey
