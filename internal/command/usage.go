package command

// UsageError is an error in what the operator gave: arguments, settings or
// catalogue files. The binary exits with code 2.
type UsageError interface {
	error
	// Usage marks the error.
	Usage()
}
