// Package id holds the identifier types that the parts of the fleet share.
// All types are comparable values and may be used as map keys.
package id
