package platform

// Counts are the calls since the process started.
type Counts struct {
	// Reads and Writes count the calls that took effect.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Refused counts calls refused because the platform was down or over a limit.
	Refused int64 `json:"refused"`
	// Lost counts writes whose response was lost.
	Lost int64 `json:"lost"`
}
