package handover

// Result says how a handover ended.
type Result uint8

const (
	// NotTaken means that the receiver is not and cannot become responsible through this handover.
	NotTaken Result = iota + 1
	// HandedOver means that the receiver is responsible.
	HandedOver
	// Unsure means that the receiver may be responsible or may become so.
	Unsure
)

// String returns the name used in logs.
func (r Result) String() string {
	switch r {
	case NotTaken:
		return "not-taken"
	case HandedOver:
		return "handed-over"
	case Unsure:
		return "unsure"
	}
	return "invalid-result"
}
