package settings

// Operator is a credential for the administration API.
type Operator struct {
	// Name appears in the audit trail. Required.
	Name string `toml:"name"`
	// TokenHash is the SHA-256 hash of the bearer token, in hexadecimal. Required.
	TokenHash string `toml:"token_hash"`
	// Groups lists the owner groups that the operator belongs to. Required.
	Groups []string `toml:"groups"`
}
