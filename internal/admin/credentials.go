package admin

import "crypto/subtle"

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

// ByTokenHash implements Operators. It compares the hash with every
// credential, each in constant time, so that timing does not reveal a match.
func (c Credentials) ByTokenHash(hash TokenHash) (Operator, bool) {
	var found Operator
	ok := false
	for _, credential := range c {
		if subtle.ConstantTimeCompare(credential.TokenHash[:], hash[:]) == 1 {
			found, ok = credential.Operator, true
		}
	}
	return found, ok
}
