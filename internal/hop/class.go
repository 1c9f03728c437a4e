package hop

// Class says whether an attempt may be repeated.
type Class string

const (
	// Idempotent requests may run more than once without harm.
	Idempotent Class = "idempotent"
	// Once marks requests that must run at most once.
	Once Class = "once"
)

// valid reports whether the class is known.
func (c Class) valid() bool {
	return c == Idempotent || c == Once
}
