package platform

// decision is what happens to one call.
type decision int

const (
	proceed decision = iota
	proceedAndLose
	refusedDown
	refusedLimit
)
