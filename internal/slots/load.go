package slots

// Load describes a service at one moment.
type Load struct {
	Capacity int
	InUse    int
	Waiting  int
}

// Free returns the number of unused slots.
func (l Load) Free() int {
	return max(l.Capacity-l.InUse, 0)
}
