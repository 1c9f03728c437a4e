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
