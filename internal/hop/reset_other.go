//go:build !linux

package hop

// wasReset reports false: only Linux is supported for operation.
func wasReset(int) bool { return false }
