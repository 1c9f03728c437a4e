package clock

// Clock reads monotonic time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current reading; it never decreases.
	Now() Time
}
