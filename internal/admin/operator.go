package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
)

// TokenHash is the SHA-256 hash of an operator's token.
type TokenHash [sha256.Size]byte

// Operator is somebody who may use the API.
type Operator struct {
	// Name identifies the operator in change ids and the audit trail; it
	// consists of the characters of catalogue identifiers.
	Name string
	// Groups are the owner groups whose entries the operator may change.
	Groups []string
}

// in reports whether the operator is in the group.
func (o Operator) in(group string) bool {
	return slices.Contains(o.Groups, group)
}

// Operators finds operators by their tokens.
type Operators interface {
	// ByTokenHash returns the operator with the token's hash.
	ByTokenHash(hash TokenHash) (Operator, bool)
}

// Credential is an operator and the hash of the operator's token.
type Credential struct {
	Operator
	TokenHash TokenHash
}

// Credentials is a fixed list of operators, usually from the static settings.
type Credentials []Credential

// ByTokenHash implements Operators. It compares with every entry in constant time.
func (c Credentials) ByTokenHash(hash TokenHash) (Operator, bool) {
	var found Operator
	ok := false
	for _, one := range c {
		if subtle.ConstantTimeCompare(one.TokenHash[:], hash[:]) == 1 {
			found, ok = one.Operator, true
		}
	}
	return found, ok
}
