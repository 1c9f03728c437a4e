package gate

// Admit says which attempts a target may get.
type Admit uint8

const (
	// AdmitNone keeps all attempts away.
	AdmitNone Admit = iota
	// AdmitTrial asks for one idempotent attempt while the target is otherwise idle.
	AdmitTrial
	// AdmitAll lets all attempts through.
	AdmitAll
)

// Eligibility is the judgement on a target.
type Eligibility struct {
	Admit Admit
	// Weight scales the target's free slots when targets are compared; between 0 and 1.
	Weight float64
}
