package hop

// Class says whether a request may run more than once.
type Class string

const (
	// Idempotent marks requests that may run more than once.
	Idempotent Class = "idempotent"
	// Once marks requests that must run at most once.
	Once Class = "once"
)

// valid reports whether the class is known.
func (c Class) valid() bool {
	return c == Idempotent || c == Once
}
