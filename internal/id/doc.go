// Package id defines the identifier types that several packages share.
// All types are comparable and can be used as map keys.
package id
